//! What the relay of a data centre does for its routers, besides passing watches on: it reads
//! versions from the store once for all of them, and sends their heartbeats on to the controller.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::id::RouterId;
use carawayrill_core::id::Version;
use carawayrill_core::object::ControllerLease;
use carawayrill_core::object::LEASES;
use carawayrill_core::time::Time;
use carawayrill_proto::wire;
use carawayrill_store::Error;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_util::future::join_all;

use crate::context::Context;
use crate::feed;
use crate::peer::convert;

/// A read of a version that started at most this long ago is passed on again.
const SHARED_READ: Duration = Duration::from_millis(200);
/// The time limit of one report to the controller.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// One read of an object's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRead {
    /// The version; 0 if there is no such object.
    pub version: Version,
    /// When the read started, on this router's clock.
    pub started: Time,
}

/// Reads versions from the store, once for all routers that ask at about the same time.
#[derive(Debug, Default)]
pub struct VersionReader {
    /// Held for the length of a read, so that those who ask meanwhile share its answer.
    reads: tokio::sync::Mutex<HashMap<CompactString, VersionRead>>,
}

impl VersionReader {
    /// Returns the versions of the named objects, each with the start of its read.
    ///
    /// # Errors
    ///
    /// Fails if any of them can't be read.
    pub async fn check(
        &self,
        cx: &Context,
        names: &[CompactString],
    ) -> Result<Vec<VersionRead>, Error> {
        let mut reads = self.reads.lock().await;
        let now = cx.now();
        let is_fresh = |name: &&CompactString| {
            reads
                .get(*name)
                .is_some_and(|read| now.since(read.started) <= SHARED_READ)
        };
        let stale: Vec<_> = names
            .iter()
            .filter(|name| !is_fresh(name))
            .cloned()
            .collect();
        let answers = join_all(stale.iter().map(|name| cx.store.version(name))).await;
        for (name, answer) in stale.into_iter().zip(answers) {
            let read = VersionRead {
                version: answer?,
                started: now,
            };
            reads.insert(name, read);
        }
        Ok(names
            .iter()
            .filter_map(|name| reads.get(name).copied())
            .collect())
    }
}

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
    pub fn put(&self, router: RouterId, mut beat: wire::HeartbeatRequest) {
        let mut rows = self.lock();
        if let Some(former) = rows.remove(&router) {
            beat.loads.extend(former.loads);
        }
        rows.insert(router, beat);
    }

    /// Takes all heartbeats out.
    fn take(&self) -> Vec<wire::HeartbeatRequest> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }
}

/// Sends the heartbeats of the data centre on to the controller, for as long as this router is its
/// relay.
pub async fn report(cx: Arc<Context>, beats: Arc<HeartbeatTable>) {
    let mut lease = None;
    loop {
        tokio::time::sleep(cx.heartbeat_every()).await;
        if feed::relay_of(&cx).as_ref() != Some(&cx.settings.router) {
            continue;
        }
        if lease.is_none() {
            lease = read_lease(&cx).await;
        }
        let Some(holder) = &lease else { continue };
        if !send_report(&cx, holder, beats.take()).await {
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
