//! Finds out whether a front is cut off from the servers, and when it reaches them again.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::reach;
use carawayrill_core::direct::reach::ReachChange;
use carawayrill_core::direct::reach::ServiceSizes;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use rand::RngExt;
use tokio::task::JoinSet;

use crate::clock;
use crate::state::Shared;
use crate::state::Tables;
use crate::upstream::Upstream;

/// The interval between two attempts to open a connection to a server while this front is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

impl Shared {
    /// Records whether a connection to a server could be opened.
    pub fn record_connect(&self, server: &ServerId, connected: bool) {
        let now = clock::now();
        let change = {
            let tables = &mut *self.tables();
            if connected {
                tables.reach.record_connected(now)
            } else if let Some(service) = service_of(tables, server) {
                let sizes = service_sizes(tables);
                tables.reach.record_failed_of(server, &service, &sizes, now)
            } else {
                // Its entry was removed meanwhile.
                None
            }
        };
        match change {
            Some(ReachChange::Lost(servers)) => {
                self.metrics.cut_offs.inc();
                emit(EventKind::ServersUnreachable { servers });
            }
            Some(ReachChange::Regained(after)) => {
                self.forget_unreached();
                emit(EventKind::ServersReachable {
                    after_ms: millis(after),
                });
            }
            None if !connected => self.reach_suspected.notify_one(),
            None => {}
        }
    }

    /// Forgets which servers this front has not reached while it was cut off.
    fn forget_unreached(&self) {
        for load in self.tables().loads.values_mut() {
            load.forget_unreached();
        }
        self.waiting.wake_up();
    }
}

fn service_of(tables: &Tables, server: &ServerId) -> Option<ServiceId> {
    tables
        .servers
        .get(server)
        .map(|server| server.service.clone())
}

fn service_sizes(tables: &Tables) -> ServiceSizes {
    let mut sizes = ServiceSizes::new();
    for server in tables.servers.iter().filter(|server| !server.draining) {
        *sizes.entry(server.service.clone()).or_insert(0) += 1;
    }
    sizes
}

/// Opens connections to servers while this front is cut off from them, since its requests go to other
/// fronts, and to servers of other services while it reaches none of one. Never returns.
pub async fn run_probes(shared: Arc<Shared>, upstream: Arc<Upstream>, peers: Arc<Upstream>) {
    let mut next_probe = tokio::time::Instant::now() + PROBE_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next_probe) => {
                next_probe = tokio::time::Instant::now() + PROBE_INTERVAL;
                peers.evict_idle(|front| shared.tables().peers.contains(front.as_str()));
                probe_any(&shared, &upstream).await;
            }
            () = shared.reach_suspected.notified() => {}
        }
        probe_other_services(&shared, &upstream).await;
    }
}

async fn probe_any(shared: &Shared, upstream: &Upstream) {
    if !shared.is_cut_off() {
        return;
    }
    if let Some(server) = any_server(shared) {
        probe(shared, upstream, &server).await;
    }
}

/// Finds out whether servers of other services are reached, if servers of one service are not.
async fn probe_other_services(shared: &Arc<Shared>, upstream: &Arc<Upstream>) {
    let (suspected, servers) = {
        let tables = &mut *shared.tables();
        let Some(suspected) = tables.reach.begin_probe(clock::now()) else {
            return;
        };
        let servers = reach::choose_probes(tables.servers.iter(), &suspected, &mut tables.rng);
        let servers: Vec<Server> = servers.into_iter().cloned().collect();
        (suspected, servers)
    };
    let mut probes = JoinSet::new();
    for server in servers {
        let (shared, upstream) = (Arc::clone(shared), Arc::clone(upstream));
        probes.spawn(async move { probe(&shared, &upstream, &server).await });
    }
    if probes.join_all().await.contains(&true) {
        emit(EventKind::ServiceUnreachable { service: suspected });
    }
}

/// Opens a connection to a server and records the result, which is returned.
async fn probe(shared: &Shared, upstream: &Upstream, server: &Server) -> bool {
    let connected = upstream.can_connect(server.address).await;
    let outcome = if connected { "connected" } else { "failed" };
    shared.metrics.connections.inc();
    shared
        .metrics
        .reach_probes
        .with_label_values(&[outcome])
        .inc();
    shared.record_connect(&server.id, connected);
    connected
}

fn any_server(shared: &Shared) -> Option<Server> {
    let tables = &mut *shared.tables();
    let count = tables.servers.iter().count();
    if count == 0 {
        return None;
    }
    let at = tables.rng.random_range(0..count);
    tables.servers.iter().nth(at).cloned()
}
