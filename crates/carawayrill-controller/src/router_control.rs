//! Calls from the controller to routers.

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

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a response in addition to the time for in-flight requests.
const RESPONSE_SLACK: Duration = Duration::from_secs(1);

/// Calls to routers.
#[async_trait]
pub trait RouterControl: Debug + Send + Sync {
    /// Asks a home to release shards, or to pledge their owner. `drain` is the maximum time for
    /// in-flight requests.
    ///
    /// # Errors
    ///
    /// Fails if the router can't be reached, doesn't respond in time or sends an invalid response.
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
    /// Fails in the same cases as [`release`](Self::release).
    async fn promise(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
    ) -> Result<(RouterIncarnation, Vec<StandbyStatus>), Error>;
}

/// Calls to routers by gRPC, with one connection per address.
#[derive(Debug)]
pub struct GrpcRouterControl {
    me: ControllerId,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl GrpcRouterControl {
    /// Creates a client without connections.
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
        let endpoint = Endpoint::try_from(format!("http://{address}")).map_err(Error::router)?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(address, channel.clone());
        Ok(RouterClient::new(channel))
    }
}

#[async_trait]
impl RouterControl for GrpcRouterControl {
    async fn release(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
        drain: Duration,
    ) -> Result<(RouterIncarnation, Vec<ReleaseStatus>), Error> {
        let (shards, tokens) = encode_rows(rows);
        let mut req = tonic::Request::new(wire::ReleaseRequest {
            stamp: stamp(),
            from: self.me.to_string(),
            shards,
            tokens,
            drain_ms: millis(drain),
        });
        req.set_timeout(drain + RESPONSE_SLACK);
        let reply = self.client(address)?.release(req).await;
        let reply = reply.map_err(Error::router)?.into_inner();
        observe(reply.stamp);
        let responder = decode_responder(&reply.router, reply.incarnation)?;
        let rows = reply.released.iter().map(decode_release_status);
        Ok((responder, rows.collect::<Result<_, _>>()?))
    }

    async fn promise(
        &self,
        address: SocketAddr,
        rows: &[AssignmentRef],
    ) -> Result<(RouterIncarnation, Vec<StandbyStatus>), Error> {
        let (shards, tokens) = encode_rows(rows);
        let mut req = tonic::Request::new(wire::PromiseRequest {
            stamp: stamp(),
            from: self.me.to_string(),
            shards,
            tokens,
            ask_only: false,
        });
        req.set_timeout(RESPONSE_SLACK);
        let reply = self.client(address)?.promise(req).await;
        let reply = reply.map_err(Error::router)?.into_inner();
        observe(reply.stamp);
        let responder = decode_responder(&reply.router, reply.incarnation)?;
        let rows = reply.promised.iter().map(decode_standby_status);
        Ok((responder, rows.collect::<Result<_, _>>()?))
    }
}

/// Encodes assignments as a list of shards and a list of their tokens.
fn encode_rows(rows: &[AssignmentRef]) -> (Vec<String>, Vec<String>) {
    rows.iter()
        .map(|row| (row.shard.to_string(), row.token.to_string()))
        .unzip()
}

/// Decodes the router incarnation that sent a response.
fn decode_responder(router: &str, incarnation: u64) -> Result<RouterIncarnation, Error> {
    let router: RouterId = router.parse().map_err(Error::router)?;
    Ok(RouterIncarnation {
        router,
        incarnation: Incarnation(incarnation),
    })
}

fn decode_assignment_ref(shard: &str, token: &str) -> Result<AssignmentRef, Error> {
    Ok(AssignmentRef {
        shard: shard.parse().map_err(Error::router)?,
        token: token.parse().map_err(Error::router)?,
    })
}

fn decode_release_status(row: &wire::Released) -> Result<ReleaseStatus, Error> {
    let server = (!row.server.is_empty()).then(|| row.server.parse());
    Ok(ReleaseStatus {
        claimed: decode_assignment_ref(&row.shard, &row.token)?,
        stopped: row.stopped,
        pledged: row.pledged,
        highest: row.highest.parse().map_err(Error::router)?,
        server: server.transpose().map_err(Error::router)?,
        revoked: row.revoked,
        grant_left: row.grant_left_ms,
    })
}

fn decode_standby_status(row: &wire::Promised) -> Result<StandbyStatus, Error> {
    Ok(StandbyStatus {
        claimed: decode_assignment_ref(&row.shard, &row.token)?,
        acted: row.acted,
        promised: row.promised,
    })
}
