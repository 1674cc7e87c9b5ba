//! Authority and grants of this home: the I/O around `carawayrill_core::ownership`.

use std::sync::Arc;

use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::token::Token;
use carawayrill_proto::wire;
use carawayrill_store::port::ServerControl;

use crate::context::Context;
use crate::relay::VersionReader;

/// Leave to send one request.
#[derive(Debug, Clone)]
pub struct Permit {
    /// The server that owns the shard.
    pub server: ServerId,
    /// The token of its grant.
    pub token: Token,
    /// The server's own home, if that is another router.
    pub via: Option<RouterId>,
}

/// Authority and grants.
#[derive(Debug)]
pub struct Control {
    servers: Arc<dyn ServerControl>,
    versions: Arc<VersionReader>,
}

impl Control {
    /// Makes the control of a router that is the home of nothing.
    #[must_use]
    pub fn new(
        _cx: &Context,
        servers: Arc<dyn ServerControl>,
        versions: Arc<VersionReader>,
    ) -> Self {
        Self { servers, versions }
    }

    /// Finds the owner of a shard.
    ///
    /// # Errors
    ///
    /// Fails if this router may not send for the shard now.
    pub fn permit(&self, _cx: &Context, _shard: &ShardId) -> Result<Permit, Refusal> {
        Err(RefusalReason::NotHome.into())
    }

    /// Checks a permit directly before the send.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn confirm(&self, _cx: &Context, _permit: &Permit) -> Result<(), Refusal> {
        Err(RefusalReason::NoAuthority.into())
    }

    /// Gives up shards by plan.
    pub async fn release(&self, _cx: &Context, _req: wire::ReleaseRequest) -> Vec<wire::Released> {
        Vec::new()
    }

    /// Promises not to use the reserved term of shards.
    pub async fn promise(&self, _cx: &Context, _req: wire::PromiseRequest) -> Vec<wire::Promised> {
        Vec::new()
    }

    /// Tells what is seen of the servers whose home this is.
    #[must_use]
    pub fn servers_seen(&self) -> Vec<wire::ServerSeen> {
        Vec::new()
    }

    /// Tells whether this router is the home of nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Renews grants and authority for as long as the process runs.
    pub async fn run(&self, _cx: Arc<Context>) {
        let _unused = (&self.servers, &self.versions);
    }
}
