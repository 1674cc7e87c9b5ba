//! Finds out when a front that was cut off reaches the servers again.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::servers::Server;
use rand::RngExt;

use crate::state::Shared;
use crate::upstream::Upstream;

/// The interval between two attempts to open a connection to a server while this front is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Opens connections to servers from time to time while this front is cut off from them, since its
/// requests go to other fronts. Never returns.
pub async fn run_probes(shared: Arc<Shared>, upstream: Arc<Upstream>, peers: Arc<Upstream>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        peers.evict_idle(|front| shared.tables().peers.contains(front.as_str()));
        if !shared.is_cut_off() {
            continue;
        }
        if let Some(server) = any_server(&shared) {
            let connected = upstream.can_connect(server.address).await;
            shared.metrics.connections.inc();
            shared.record_connect(&server.id, connected);
        }
    }
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
