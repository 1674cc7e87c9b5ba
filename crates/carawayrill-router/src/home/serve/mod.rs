//! Serves the requests that reached their home, until their final answer.

pub mod authority;
mod claims;
mod convert;
pub mod driver;
pub mod exchange;
mod limits;
mod loads;
mod metrics;
mod mirror;
pub mod route;
mod send;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::ShardId;
use carawayrill_core::object::block_name;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::route::block_of;
use carawayrill_proto::wire;
use compact_str::CompactString;
use tokio::sync::Semaphore;

use crate::context::Context;
use crate::home::ownership::OwnServer;
use crate::home::ownership::OwnershipDriver;
use crate::home::serve::authority::Authority;
use crate::home::serve::driver::ServingDriver;
use crate::home::serve::loads::Loads;
use crate::home::serve::route::Route;
use crate::message::Answer;
use crate::message::Request;

/// The maximum time that a request waits for a move or a failover of its shard.
const MAX_MOVE_WAIT: Duration = Duration::from_secs(1);
/// The maximum number of requests that wait for a move or a failover at a time.
const MAX_MOVE_WAITERS: usize = 2_000;

/// The home role of one router.
#[derive(Debug)]
pub struct Home {
    ownership: Arc<OwnershipDriver>,
    serving: Arc<ServingDriver>,
    loads: Loads,
    move_waiters: Semaphore,
}

impl Home {
    /// Creates the home role. It serves no shard until ownership permits it.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new(ownership: Arc<OwnershipDriver>) -> Result<Self, reqwest::Error> {
        let authority = Arc::clone(&ownership) as Arc<dyn Authority>;
        let serving = ServingDriver::new(authority, Arc::clone(&ownership.servers))?;
        Ok(Self::with_serving(ownership, Arc::new(serving)))
    }

    /// Creates the home role with a serving driver that may have another source of authority.
    #[must_use]
    pub fn with_serving(ownership: Arc<OwnershipDriver>, serving: Arc<ServingDriver>) -> Self {
        Self {
            ownership,
            serving,
            loads: Loads::default(),
            move_waiters: Semaphore::new(MAX_MOVE_WAITERS),
        }
    }

    /// Returns the driver of authority and grants.
    #[must_use]
    pub fn ownership(&self) -> &Arc<OwnershipDriver> {
        &self.ownership
    }

    /// Returns the driver of the requests at this home.
    #[must_use]
    pub fn serving(&self) -> &Arc<ServingDriver> {
        &self.serving
    }

    /// Serves a request and returns its final answer. Refuses it if this router is not the home.
    pub async fn serve(&self, cx: &Arc<Context>, req: Request) -> Answer {
        let route = match self.route(cx, &req).await {
            Ok(route) => route,
            Err(answer) => return *answer,
        };
        self.loads.count(&req.shard, req.key);
        let in_flight_guard = self.ownership.in_flight.begin(&req.shard);
        self.serving.answer(cx, req, route, in_flight_guard).await
    }

    async fn route(&self, cx: &Context, req: &Request) -> Result<Route, Box<Answer>> {
        if let Some(on_behalf) = req.on_behalf.clone() {
            return Ok(Route::OnBehalf(on_behalf));
        }
        if !agrees_on_shard(cx, req) {
            return Err(Box::new(Answer::from(RefusalReason::Moving)));
        }
        let denial = match self.serving.authority.permit(cx.now(), &req.shard) {
            Ok(permit) => return Ok(Route::Home(permit)),
            Err(denial) => denial,
        };
        let Ok(_waiter) = self.move_waiters.try_acquire() else {
            return Err(Box::new(refusal_answer(&denial)));
        };
        let limit = req.deadline.min(cx.now() + MAX_MOVE_WAIT);
        let permit = self.ownership.permit_within(cx, &req.shard, limit).await;
        permit
            .map(Route::Home)
            .map_err(|denial| Box::new(refusal_answer(&denial)))
    }

    /// Cancels a request that was forwarded here.
    pub fn cancel(&self, cx: &Arc<Context>, request: &str) {
        if let Ok(request) = RequestId::try_from(request) {
            self.serving.stop_request(cx, &request);
        }
    }

    /// Stores copies of another home's claims.
    #[must_use]
    pub fn store_mirrored_claims(
        &self,
        cx: &Context,
        claims: wire::MirrorRequest,
    ) -> wire::MirrorReply {
        self.serving.store_claim_copies(cx, claims)
    }

    /// Hands over the claims of released shards to the next homes, which the intents in the store
    /// name. Without an intent the claims are not handed over, and the next home refuses requests
    /// that must not run twice for the length of the claim window.
    pub async fn hand_over(&self, cx: &Arc<Context>, released: &[ReleaseStatus]) {
        let shards = released.iter().filter(|row| row.stopped);
        let shards: Vec<_> = shards.map(|row| row.claimed.shard.clone()).collect();
        for next in intended_assignments(cx, &shards).await {
            let lineage = Lineage::of(&next);
            if next.home != cx.settings.router {
                let (shard, to) = (&next.shard, &next.home);
                self.serving.hand_over(cx, shard, to, lineage).await;
            }
        }
    }

    /// Returns the state of the servers whose home this router is, for the controller.
    #[must_use]
    pub fn server_statuses(&self, cx: &Context) -> Vec<wire::ServerSeen> {
        let to_wire = |own: OwnServer| {
            let (in_flight, queued) = self.serving.load_of(&own.server);
            wire::ServerSeen {
                server: own.server.to_string(),
                incarnation: own.incarnation.0,
                lost: own.lost,
                draining: own.draining,
                in_flight,
                queued,
            }
        };
        self.ownership
            .own_servers(cx)
            .into_iter()
            .map(to_wire)
            .collect()
    }

    /// Counts the bytes of a request or an answer between two regions. Returns the number of bytes
    /// that crossed regions.
    pub fn count_bytes(&self, shard: &ShardId, from: &RegionId, to: &RegionId, bytes: u64) -> u64 {
        self.loads.count_bytes(shard, from, to, bytes)
    }

    /// Returns and resets the loads since the last heartbeat.
    #[must_use]
    pub fn take_loads(&self, cx: &Context) -> Vec<wire::ShardLoad> {
        metrics::report_cross_region_traffic(cx, &self.loads.cross_region_traffic());
        self.loads.take()
    }
}

/// Returns whether this router maps a request's key to the same shard as the entry did. The two
/// differ while a hot key is split out of its range or merged back. A request sent under the wrong
/// shard could then run concurrently with one at another owner.
fn agrees_on_shard(cx: &Context, req: &Request) -> bool {
    let deployment = cx.deployment.load();
    let service = deployment
        .as_ref()
        .and_then(|deployment| deployment.service(&req.service));
    service.is_some_and(|service| {
        cx.routes().shard_of(&service.id, req.key, service.shards) == req.shard
    })
}

/// Returns the intended next assignments of `shards`, read from the store.
async fn intended_assignments(cx: &Context, shards: &[ShardId]) -> Vec<Assignment> {
    let mut next = BTreeMap::new();
    for name in block_names(cx, shards) {
        let Ok(Some(object)) = cx.store.get(&name).await else {
            continue;
        };
        let Ok(block) = serde_json::from_slice::<Block>(&object.value) else {
            continue;
        };
        for shard in shards {
            if let Some(intent) = block.intent(shard) {
                next.insert(shard.clone(), intent.next.clone());
            }
        }
    }
    next.into_values().collect()
}

/// Returns the object names of the blocks that contain `shards`.
fn block_names(cx: &Context, shards: &[ShardId]) -> BTreeSet<CompactString> {
    let Some(deployment) = cx.deployment.load_full() else {
        return BTreeSet::new();
    };
    let name = |shard: &ShardId| {
        let service = deployment.service(&shard.service)?;
        let block = block_of(shard, service.shards, service.shards_per_block);
        Some(block_name(&block))
    };
    shards.iter().filter_map(name).collect()
}

/// Returns the refusal reason for a denial.
pub(crate) fn reason_of(denial: &Denial) -> RefusalReason {
    match denial {
        Denial::NotHome { .. } => RefusalReason::NotHome,
        Denial::NoAuthority => RefusalReason::NoAuthority,
        Denial::NoGrant => RefusalReason::NoGrant,
        Denial::Moving | Denial::Changed => RefusalReason::Moving,
    }
}

/// Returns the refusal for a denial, with a hint at the home if that is known.
fn refusal_answer(denial: &Denial) -> Answer {
    let mut answer = Answer::from(reason_of(denial));
    if let Denial::NotHome { home } = denial {
        answer.home_hint.clone_from(home);
    }
    answer
}
