//! Probes of servers that own no shard.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::ServerId;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::leader::Leader;

/// Interval between rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_CONCURRENT_PROBES: usize = 64;

impl Leader {
    /// Probes the servers that own no shard while this controller leads, in an endless loop.
    pub async fn probe_servers(&self) {
        loop {
            let servers = self.servers_without_shards();
            for chunk in servers.chunks(MAX_CONCURRENT_PROBES) {
                self.probe(chunk).await;
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Returns the declared servers that own no shard, or an empty list if this controller isn't a
    /// leader that has read the store.
    fn servers_without_shards(&self) -> Vec<(ServerId, SocketAddr)> {
        let now = self.state.now();
        let mut tables = self.state.tables();
        if !tables.is_ready(now) {
            return Vec::new();
        }
        let Some(deployment) = tables.view.deployment.clone() else {
            return Vec::new();
        };
        let declared = deployment.servers.iter().map(|server| &server.id).collect();
        tables.servers.retain_declared(&declared);
        let owners: BTreeSet<&ServerId> = tables.view.rows().map(|row| &row.owner).collect();
        let rows = deployment.servers.iter();
        rows.filter(|server| !owners.contains(&server.id))
            .map(|server| (server.id.clone(), server.address))
            .collect()
    }

    /// Probes servers concurrently and stores the results.
    async fn probe(&self, servers: &[(ServerId, SocketAddr)]) {
        let mut probes = JoinSet::new();
        for (server, address) in servers.iter().cloned() {
            let control = std::sync::Arc::clone(&self.servers);
            probes.spawn(async move {
                let reply = control.order(address, Vec::new(), PROBE_TIMEOUT).await;
                (server, reply.ok())
            });
        }
        while let Some(probed) = probes.join_next().await {
            let Ok((server, reply)) = probed else {
                continue;
            };
            // Another server may listen on the address by now.
            let reply = reply.filter(|reply| reply.server == server);
            let draining = reply.map(|reply| reply.load.draining);
            self.state.tables().servers.on_probe(&server, draining);
        }
    }
}
