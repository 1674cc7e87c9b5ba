//! The gRPC service of a router for other processes.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::id::Revision;
use carawayrill_core::id::RouterId;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::home::Input;
use carawayrill_proto::wire;
use carawayrill_proto::wire::router_server::Router;
use compact_str::CompactString;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::context::Context;
use crate::home::Home;
use crate::home::ownership::Reply;
use crate::peer::authority;
use crate::peer::convert;
use crate::relay::HeartbeatTable;
use crate::status;
use crate::versions::VersionReader;

/// The maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// The time that an answer about authority may take in addition to the drain of requests in flight.
const REPLY_MARGIN: Duration = Duration::from_millis(500);

fn assignment_refs(shards: &[String], tokens: &[String]) -> Result<Vec<AssignmentRef>, Status> {
    authority::assignment_refs_from_wire(shards, tokens)
        .map_err(|err| Status::invalid_argument(err.to_string()))
}

/// The gRPC service of a router.
#[derive(Debug, Clone)]
pub struct PeerService {
    cx: Arc<Context>,
    home: Arc<Home>,
    versions: Arc<VersionReader>,
    heartbeats: Arc<HeartbeatTable>,
}

impl PeerService {
    /// Creates the service.
    #[must_use]
    pub fn new(
        cx: Arc<Context>,
        home: Arc<Home>,
        versions: Arc<VersionReader>,
        heartbeats: Arc<HeartbeatTable>,
    ) -> Self {
        Self {
            cx,
            home,
            versions,
            heartbeats,
        }
    }
}

#[tonic::async_trait]
impl Router for PeerService {
    async fn forward(
        &self,
        request: Request<wire::ForwardRequest>,
    ) -> Result<Response<wire::ForwardReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let id = wire.request_id.clone();
        let req = convert::request_from_wire(wire, self.cx.now())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let answer = self.home.serve(&self.cx, req).await;
        Ok(Response::new(convert::answer_to_wire(&id, &answer)))
    }

    async fn cancel(
        &self,
        request: Request<wire::CancelRequest>,
    ) -> Result<Response<wire::CancelReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        self.home.cancel(&self.cx, &wire.request_id);
        Ok(Response::new(wire::CancelReply {}))
    }

    async fn mirror(
        &self,
        request: Request<wire::MirrorRequest>,
    ) -> Result<Response<wire::MirrorReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        Ok(Response::new(
            self.home.store_mirrored_claims(&self.cx, wire),
        ))
    }

    async fn heartbeat(
        &self,
        request: Request<wire::HeartbeatRequest>,
    ) -> Result<Response<wire::HeartbeatReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let router = RouterId::try_from(wire.router.as_str())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        if wire.data_centre == self.cx.settings.data_centre.as_str() {
            self.heartbeats.put(router, wire);
        }
        Ok(Response::new(wire::HeartbeatReply {
            stamp: convert::stamp(),
            router: self.cx.settings.router.to_string(),
            incarnation: self.cx.incarnation.0,
            generation: self.cx.generation().0,
        }))
    }

    async fn check_versions(
        &self,
        request: Request<wire::CheckVersionsRequest>,
    ) -> Result<Response<wire::CheckVersionsReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let names: Vec<_> = wire.names.into_iter().map(CompactString::from).collect();
        let seen = |name: &str| self.cx.caches.assignments.known_version(name);
        let read = self.versions.check(&names, seen).await;
        let read = read.map_err(|err| Status::unavailable(err.to_string()))?;
        let age = self.cx.now().since(read.started);
        let versions =
            names
                .iter()
                .zip(&read.versions)
                .map(|(name, version)| wire::ObjectVersion {
                    name: name.to_string(),
                    version: version.0,
                });
        Ok(Response::new(wire::CheckVersionsReply {
            stamp: convert::stamp(),
            versions: versions.collect(),
            age_ms: carawayrill_core::time::millis(age),
        }))
    }

    async fn watch(
        &self,
        request: Request<wire::WatchRequest>,
    ) -> Result<Response<wire::WatchReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let cache =
            self.cx.caches.find(&wire.prefix).ok_or_else(|| {
                Status::not_found(format!("no copy of `{}` is kept", wire.prefix))
            })?;
        let wait = Duration::from_millis(wire.wait_ms).min(MAX_WATCH_WAIT);
        let changes = cache.wait_for_changes(Revision(wire.after), wait).await;
        Ok(Response::new(convert::changes_to_wire(changes)))
    }

    async fn release(
        &self,
        request: Request<wire::ReleaseRequest>,
    ) -> Result<Response<wire::ReleaseReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let rows = assignment_refs(&wire.shards, &wire.tokens)?;
        let limit = Duration::from_millis(wire.drain_ms) + REPLY_MARGIN;
        let input = |ask| Input::Release { ask, rows };
        match self.home.ownership().query(&self.cx, limit, input).await {
            Some(Reply::Released(rows)) => {
                self.home.hand_over(&self.cx, &rows).await;
                Ok(Response::new(wire::ReleaseReply {
                    stamp: convert::stamp(),
                    released: authority::release_statuses_to_wire(rows),
                    router: self.cx.settings.router.to_string(),
                    incarnation: self.cx.incarnation.0,
                }))
            }
            _ => Err(Status::deadline_exceeded("requests are still in flight")),
        }
    }

    async fn promise(
        &self,
        request: Request<wire::PromiseRequest>,
    ) -> Result<Response<wire::PromiseReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        let rows = assignment_refs(&wire.shards, &wire.tokens)?;
        let promise = !wire.ask_only;
        let input = |ask| Input::Standby { ask, promise, rows };
        match self
            .home
            .ownership()
            .query(&self.cx, REPLY_MARGIN, input)
            .await
        {
            Some(Reply::Standby(rows)) => Ok(Response::new(wire::PromiseReply {
                stamp: convert::stamp(),
                promised: authority::standby_statuses_to_wire(rows),
                router: self.cx.settings.router.to_string(),
                incarnation: self.cx.incarnation.0,
            })),
            _ => Err(Status::unavailable("there is no configuration here yet")),
        }
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusReply>, Status> {
        let wire = request.into_inner();
        convert::observe(wire.stamp);
        Ok(Response::new(wire::StatusReply {
            stamp: convert::stamp(),
            node: self.cx.settings.router.to_string(),
            json: status::page(&self.cx, &wire.shard).into(),
        }))
    }
}
