//! What the relay of a data centre does for its routers, besides passing watches and version checks
//! on: it sends their heartbeats on to the controller.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::id::RouterId;
use carawayrill_core::object::ControllerLease;
use carawayrill_core::object::LEASES;
use carawayrill_proto::wire;
use compact_str::format_compact;

use crate::context::Context;
use crate::feed;
use crate::peer::convert;

/// The time limit of one report to the controller.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The latest heartbeat of each router of this data centre.
#[derive(Debug, Default)]
pub struct HeartbeatTable {
    rows: Mutex<BTreeMap<RouterId, wire::HeartbeatRequest>>,
}

impl HeartbeatTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RouterId, wire::HeartbeatRequest>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a heartbeat in. Loads add up until they are reported.
    pub fn put(&self, router: RouterId, mut heartbeat: wire::HeartbeatRequest) {
        let mut rows = self.lock();
        if let Some(previous) = rows.remove(&router) {
            heartbeat.loads.extend(previous.loads);
        }
        rows.insert(router, heartbeat);
    }

    /// Takes all heartbeats out.
    fn take(&self) -> Vec<wire::HeartbeatRequest> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }
}

/// Sends the heartbeats of the data centre on to the controller, for as long as this router is its
/// relay.
pub async fn report(cx: Arc<Context>, heartbeats: Arc<HeartbeatTable>) {
    let mut lease = None;
    loop {
        tokio::time::sleep(cx.heartbeat_every()).await;
        if feed::relay_router(&cx).as_ref() != Some(&cx.settings.router) {
            continue;
        }
        if lease.is_none() {
            lease = read_lease(&cx).await;
        }
        let Some(holder) = &lease else { continue };
        if !send_report(&cx, holder, heartbeats.take()).await {
            lease = None;
        }
    }
}

/// Reads who holds the lease over the first block of control work.
async fn read_lease(cx: &Context) -> Option<ControllerLease> {
    let name = format_compact!("{LEASES}0");
    let object = cx.store.get(&name).await.ok()??;
    serde_json::from_slice(&object.value).ok()
}

/// Sends one report; returns false if the receiver is not the holder or does not answer.
async fn send_report(
    cx: &Context,
    lease: &ControllerLease,
    routers: Vec<wire::HeartbeatRequest>,
) -> bool {
    let mut req = tonic::Request::new(wire::ReportRequest {
        stamp: convert::stamp(),
        relay: cx.settings.router.to_string(),
        data_centre: cx.settings.data_centre.to_string(),
        routers,
    });
    req.set_timeout(REPORT_TIMEOUT);
    let reply = cx.peers.controller(lease.peer).report(req).await;
    reply.is_ok_and(|reply| reply.into_inner().leading)
}
