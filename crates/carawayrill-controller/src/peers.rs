//! Questions to routers.

use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use carawayrill_core::id::ControllerId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::evidence::StandbyStatus;
use carawayrill_core::time::millis;
use carawayrill_proto::wire;
use carawayrill_proto::wire::router_client::RouterClient;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::Error;
use crate::service::observe;
use crate::service::stamp;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an answer may take beyond the requests in flight.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// The routers, as the controller asks them.
#[async_trait]
pub trait Peers: Debug + Send + Sync {
    /// Asks a home to give up shards, or to pledge their owner.
    ///
    /// # Errors
    ///
    /// Fails if the router can't be reached or does not answer in time.
    async fn release(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
        drain: Duration,
    ) -> Result<(RouterIncarnation, Vec<ReleaseStatus>), Error>;

    /// Asks a standby home for its promise.
    ///
    /// # Errors
    ///
    /// As for [`release`](Self::release).
    async fn promise(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
    ) -> Result<(RouterIncarnation, Vec<StandbyStatus>), Error>;
}

/// The routers by gRPC, one connection an address.
#[derive(Debug)]
pub struct GrpcPeers {
    me: ControllerId,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl GrpcPeers {
    /// Makes clients without connections.
    #[must_use]
    pub fn new(me: ControllerId) -> Self {
        Self {
            me,
            channels: Mutex::default(),
        }
    }

    fn client(&self, address: SocketAddr) -> Result<RouterClient<Channel>, Error> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(RouterClient::new(channel.clone()));
        }
        let endpoint = Endpoint::try_from(format!("http://{address}")).map_err(Error::peer)?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(address, channel.clone());
        Ok(RouterClient::new(channel))
    }
}

#[async_trait]
impl Peers for GrpcPeers {
    async fn release(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
        drain: Duration,
    ) -> Result<(RouterIncarnation, Vec<ReleaseStatus>), Error> {
        let (shards, tokens) = split(rows);
        let mut req = tonic::Request::new(wire::ReleaseRequest {
            stamp: stamp(),
            from: self.me.to_string(),
            shards,
            tokens,
            drain_ms: millis(drain),
        });
        req.set_timeout(drain + ANSWER_SLACK);
        let reply = self.client(address)?.release(req).await;
        let reply = reply.map_err(Error::peer)?.into_inner();
        observe(reply.stamp);
        let run = run(&reply.router, reply.incarnation)?;
        let rows = reply.released.iter().map(released);
        Ok((run, rows.collect::<Result<_, _>>()?))
    }

    async fn promise(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
    ) -> Result<(RouterIncarnation, Vec<StandbyStatus>), Error> {
        let (shards, tokens) = split(rows);
        let mut req = tonic::Request::new(wire::PromiseRequest {
            stamp: stamp(),
            from: self.me.to_string(),
            shards,
            tokens,
            ask_only: false,
        });
        req.set_timeout(ANSWER_SLACK);
        let reply = self.client(address)?.promise(req).await;
        let reply = reply.map_err(Error::peer)?.into_inner();
        observe(reply.stamp);
        let run = run(&reply.router, reply.incarnation)?;
        let rows = reply.promised.iter().map(standing);
        Ok((run, rows.collect::<Result<_, _>>()?))
    }
}

/// Writes shards and their tokens as two lists.
fn split(rows: &[AssignmentRef]) -> (Vec<String>, Vec<String>) {
    rows.iter()
        .map(|row| (row.shard.to_string(), row.token.to_string()))
        .unzip()
}

/// Reads who answered.
fn run(router: &str, incarnation: u64) -> Result<RouterIncarnation, Error> {
    let router: RouterId = router.parse().map_err(Error::peer)?;
    Ok(RouterIncarnation {
        router,
        incarnation: Incarnation(incarnation),
    })
}

/// Reads a shard and its token.
fn claimed(shard: &str, token: &str) -> Result<AssignmentRef, Error> {
    Ok(AssignmentRef {
        shard: shard.parse().map_err(Error::peer)?,
        token: token.parse().map_err(Error::peer)?,
    })
}

/// Reads a home's answer for one shard.
fn released(row: &wire::Released) -> Result<ReleaseStatus, Error> {
    let server = (!row.server.is_empty()).then(|| row.server.parse());
    Ok(ReleaseStatus {
        claimed: claimed(&row.shard, &row.token)?,
        stopped: row.stopped,
        pledged: row.pledged,
        highest: row.highest.parse().map_err(Error::peer)?,
        server: server.transpose().map_err(Error::peer)?,
        revoked: row.revoked,
        grant_left: row.grant_left_ms,
    })
}

/// Reads a standby home's answer for one shard.
fn standing(row: &wire::Promised) -> Result<StandbyStatus, Error> {
    Ok(StandbyStatus {
        claimed: claimed(&row.shard, &row.token)?,
        acted: row.acted,
        promised: row.promised,
    })
}
