//! The gRPC service through which other processes call the controller.

use std::sync::Arc;

use carawayrill_core::hlc;
use carawayrill_core::id::RouterId;
use carawayrill_proto::wire;
use carawayrill_proto::wire::controller_server::Controller;
use serde::Serialize;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::heartbeats::Heartbeat;
use crate::state::State;

/// The gRPC service of a controller.
#[derive(Debug, Clone)]
pub struct Service {
    /// The tables.
    pub state: Arc<State>,
}

/// The controller's part of the status page.
#[derive(Debug, Serialize)]
struct ControllerStatus {
    controller: String,
    leading: bool,
    ready: bool,
    generation: u64,
    servers: Vec<carawayrill_core::placement::ServerRow>,
    routers: Vec<carawayrill_core::placement::RouterRow>,
    shards: usize,
    intents: usize,
    pending: usize,
    unreadable: Vec<String>,
}

#[tonic::async_trait]
impl Controller for Service {
    async fn report(
        &self,
        request: Request<wire::ReportRequest>,
    ) -> Result<Response<wire::ReportReply>, Status> {
        let req = request.into_inner();
        observe(req.stamp);
        let relay: RouterId = req.relay.parse().map_err(invalid_argument)?;
        let heartbeats = req.routers.into_iter().map(Heartbeat::try_from);
        let heartbeats = heartbeats
            .collect::<Result<Vec<_>, _>>()
            .map_err(invalid_argument)?;
        let now = self.state.now();
        let mut tables = self.state.tables();
        tables.on_report(now, &relay, heartbeats);
        let leading = tables.lease.is_held(now);
        Ok(Response::new(wire::ReportReply {
            stamp: stamp(),
            leading,
        }))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusReply>, Status> {
        observe(request.into_inner().stamp);
        let json = serde_json::to_vec(&self.current_status())
            .map_err(|err| Status::internal(err.to_string()))?;
        Ok(Response::new(wire::StatusReply {
            stamp: stamp(),
            node: self.state.me.to_string(),
            json: json.into(),
        }))
    }
}

impl Service {
    /// Returns the present status for operators.
    fn current_status(&self) -> ControllerStatus {
        let now = self.state.now();
        let tables = self.state.tables();
        let fleet = tables.fleet(now).unwrap_or_default();
        let blocks = tables.view.blocks.values();
        let deployment = tables.view.deployment.as_ref();
        ControllerStatus {
            controller: self.state.me.to_string(),
            leading: tables.lease.is_held(now),
            ready: tables.is_ready(now),
            generation: deployment.map_or(0, |deployment| deployment.generation.0),
            servers: fleet.servers,
            routers: fleet.routers,
            shards: tables.view.rows().count(),
            intents: blocks.map(|block| block.value.intents.len()).sum(),
            pending: tables.planner.pending(),
            unreadable: tables
                .view
                .unreadable
                .iter()
                .map(|(name, reason)| format!("{name}: {reason}"))
                .collect(),
        }
    }
}

/// Returns a clock stamp for a message to be sent.
#[must_use]
pub fn stamp() -> Option<wire::Stamp> {
    let hlc::Stamp { wall, count } = carawayrill_telemetry::stamp();
    Some(wire::Stamp { wall, count })
}

/// Advances the clock by the stamp of a received message.
pub fn observe(stamp: Option<wire::Stamp>) {
    if let Some(wire::Stamp { wall, count }) = stamp {
        carawayrill_telemetry::observe(hlc::Stamp { wall, count });
    }
}

/// Converts a parse error of a request into a gRPC status.
#[expect(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
fn invalid_argument(err: carawayrill_core::Error) -> Status {
    Status::invalid_argument(err.to_string())
}
