//! Forwards the heartbeats of a data centre's routers to the controller.
//!
//! The relay of a data centre does this in addition to serving watches and version checks for the
//! other routers.

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

/// The timeout of one report to the controller.
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

    /// Stores a heartbeat. Loads accumulate until they are reported.
    pub fn put(&self, router: RouterId, mut heartbeat: wire::HeartbeatRequest) {
        let mut rows = self.lock();
        if let Some(previous) = rows.remove(&router) {
            heartbeat.loads.extend(previous.loads);
        }
        rows.insert(router, heartbeat);
    }

    /// Removes and returns all heartbeats.
    fn take(&self) -> Vec<wire::HeartbeatRequest> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }
}

/// Forwards the heartbeats of the data centre to the controller while this router is the relay.
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

/// Reads the lease over the first block of control work, which names its holder.
async fn read_lease(cx: &Context) -> Option<ControllerLease> {
    let name = format_compact!("{LEASES}0");
    let object = cx.store.get(&name).await.ok()??;
    serde_json::from_slice(&object.value).ok()
}

/// Sends one report. Returns false if the receiver does not hold the lease or does not answer.
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
