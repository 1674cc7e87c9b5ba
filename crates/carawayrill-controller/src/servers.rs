//! What is known of servers: by the word of their homes, and for those that own nothing, by the
//! controller's own probes.
//!
//! A home probes only servers that own shards. Without probes of its own, the controller would
//! take a server that was lost and has lost its shards for a live one with no load, and move
//! shards to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::id::ServerId;

use crate::heartbeats::ServerReport;

/// Probes in a row that have to succeed before a lost server counts as live again.
const PROBES_TO_LIVE: u32 = 2;
/// Probes in a row that have to fail before a live server counts as lost.
const PROBES_TO_LOST: u32 = 3;

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
struct ServerHealth {
    lost: bool,
    draining: bool,
    /// Probes in a row that succeeded or failed.
    succeeded: u32,
    failed: u32,
}

/// What is known of all servers.
#[derive(Debug, Default)]
pub struct ServerTable {
    rows: BTreeMap<ServerId, ServerHealth>,
}

impl ServerTable {
    /// Takes in what a home says of one of its servers.
    pub fn on_home_report(&mut self, report: &ServerReport) {
        let row = ServerHealth {
            lost: report.lost,
            draining: report.draining,
            ..ServerHealth::default()
        };
        self.rows.insert(report.server.clone(), row);
    }

    /// Takes in the result of a probe: whether the server asks for no new work, or nothing if it
    /// did not answer.
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

    /// Tells whether anything is known of a server.
    #[must_use]
    pub fn is_known(&self, server: &ServerId) -> bool {
        self.rows.contains_key(server)
    }

    /// Tells whether a server is held to be lost. One that nothing is known of is not.
    #[must_use]
    pub fn is_lost(&self, server: &ServerId) -> bool {
        self.rows.get(server).is_some_and(|row| row.lost)
    }

    /// Tells whether a server asks for no new work.
    #[must_use]
    pub fn is_draining(&self, server: &ServerId) -> bool {
        self.rows.get(server).is_some_and(|row| row.draining)
    }

    /// Drops servers that are not declared any more.
    pub fn retain_declared(&mut self, declared: &BTreeSet<&ServerId>) {
        self.rows.retain(|server, _| declared.contains(server));
    }
}
