//! The health of servers, as reported by their homes or, for servers that own no shard, as found by
//! the controller's own probes.
//!
//! A home probes only servers that own shards. Without its own probes the controller would consider
//! a lost server that has lost its shards as live and idle, and would move shards to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::id::ServerId;

use crate::heartbeats::ServerReport;

/// Consecutive successful probes after which a lost server counts as live.
const PROBES_TO_LIVE: u32 = 2;
/// Consecutive failed probes after which a live server counts as lost.
const PROBES_TO_LOST: u32 = 3;

#[derive(Debug, Clone, Copy, Default)]
struct ServerHealth {
    lost: bool,
    draining: bool,
    /// Consecutive successful probes.
    succeeded: u32,
    /// Consecutive failed probes.
    failed: u32,
}

/// The health of all servers.
#[derive(Debug, Default)]
pub struct ServerTable {
    rows: BTreeMap<ServerId, ServerHealth>,
}

impl ServerTable {
    /// Stores the state of a server as reported by its home.
    pub fn on_home_report(&mut self, report: &ServerReport) {
        let row = ServerHealth {
            lost: report.lost,
            draining: report.draining,
            ..ServerHealth::default()
        };
        self.rows.insert(report.server.clone(), row);
    }

    /// Processes the result of a probe. `draining` says whether the server is draining, or is
    /// `None` if the server didn't respond.
    pub fn on_probe(&mut self, server: &ServerId, draining: Option<bool>) {
        let is_first = !self.rows.contains_key(server);
        let row = self.rows.entry(server.clone()).or_default();
        let Some(draining) = draining else {
            row.succeeded = 0;
            row.failed += 1;
            row.lost |= is_first || row.failed >= PROBES_TO_LOST;
            return;
        };
        row.failed = 0;
        row.succeeded += 1;
        row.draining = draining;
        row.lost &= row.succeeded < PROBES_TO_LIVE;
    }

    /// Returns whether a server has been reported or probed.
    #[must_use]
    pub fn is_known(&self, server: &ServerId) -> bool {
        self.rows.contains_key(server)
    }

    /// Returns whether a server counts as lost. An unknown server doesn't.
    #[must_use]
    pub fn is_lost(&self, server: &ServerId) -> bool {
        self.rows.get(server).is_some_and(|row| row.lost)
    }

    /// Returns whether a server accepts no new work.
    #[must_use]
    pub fn is_draining(&self, server: &ServerId) -> bool {
        self.rows.get(server).is_some_and(|row| row.draining)
    }

    /// Removes servers that are no longer declared.
    pub fn retain_declared(&mut self, declared: &BTreeSet<&ServerId>) {
        self.rows.retain(|server, _| declared.contains(server));
    }
}
