//! Decides which server incarnations may get grants.
//!
//! A restarted server has lost what it acknowledged, including a fence by which the standby home
//! took over without the store. Therefore an incarnation gets a grant only if, after it was first
//! seen, the store was read (rule 6 of the ownership design) and there is evidence that the standby
//! home has not taken over. The evidence comes from the standby home itself or from the other
//! server, if that server's incarnation was already trusted.

use std::collections::BTreeMap;

use super::HomeTable;
use super::message::Action;
use super::orders::ReceivedAck;
use super::shard::ShardRow;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::ownership::evidence::AssignmentRef;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::evidence::StandbyStatus;
use crate::ownership::limits::elapsed;
use crate::time::Time;

impl HomeTable {
    /// Returns whether the current incarnation of a server may get grants.
    pub(super) fn is_trusted(&self, row: &ShardRow, server: &ServerId) -> bool {
        let incarnation = self.servers.get(server).and_then(|known| known.incarnation);
        incarnation.is_some() && row.trusted.get(server).copied() == incarnation
    }

    /// Uses an acknowledgement of a trusted incarnation as evidence about the other server's
    /// incarnation.
    pub(super) fn clear_other_server(&mut self, received: &ReceivedAck<'_>) {
        let shard = &received.ack.shard;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if row.trusted.get(received.server) != Some(&received.incarnation) {
            return;
        }
        let Some(other) = row.other(received.server).cloned() else {
            return;
        };
        let Some(known) = self.servers.get(&other) else {
            return;
        };
        if let Some(incarnation) = known
            .incarnation
            .filter(|_| received.sent > known.incarnation_seen_at)
        {
            row.cleared.insert(other, incarnation);
        }
    }

    /// Handles the standby home's answers about its reserved term.
    pub(super) fn handle_standby_statuses(
        &mut self,
        now: Time,
        asked: Time,
        from: &RouterIncarnation,
        rows: &[StandbyStatus],
    ) {
        for status in rows {
            let shard = &status.claimed.shard;
            let Some(row) = self.rows.get_mut(shard) else {
                continue;
            };
            let concerns = row.other_standby_home().as_ref() == Some(from)
                && row.stored.token.term == status.claimed.token.term;
            if !concerns {
                continue;
            }
            self.dirty.insert(shard.clone());
            if status.acted {
                self.supersede(now, shard);
                continue;
            }
            let servers: Vec<ServerId> = row.servers().cloned().collect();
            for server in servers {
                let known = self.servers.get(&server);
                let seen = known.filter(|known| asked > known.incarnation_seen_at);
                if let Some(incarnation) = seen.and_then(|known| known.incarnation) {
                    row.cleared.insert(server, incarnation);
                }
            }
        }
    }

    /// Updates the trusted incarnations of a row.
    pub(super) fn update_trust(&mut self, shard: &ShardId) {
        let skip = !self.mechanisms.server_incarnation;
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        if !row.acting || (row.pledged && !skip) {
            return;
        }
        let needs_no_clearance = row.other_standby_home().is_none() || !self.has_fencing(row);
        let mut trusted: Vec<(ServerId, Incarnation)> = Vec::new();
        for server in row.servers() {
            let Some(known) = self.servers.get(server) else {
                continue;
            };
            let Some(incarnation) = known.incarnation else {
                continue;
            };
            let cleared = needs_no_clearance || row.cleared.get(server) == Some(&incarnation);
            let read = !row.blocked
                && row
                    .last_valid_read
                    .is_some_and(|read| read > known.incarnation_seen_at);
            if skip || (cleared && read) {
                trusted.push((server.clone(), incarnation));
            }
        }
        if let Some(row) = self.rows.get_mut(shard) {
            row.trusted.extend(trusted);
        }
    }

    /// Asks the standby homes about rows with servers that are not cleared.
    pub(super) fn ask_standbys(&mut self, now: Time) {
        if !self.mechanisms.server_incarnation {
            return;
        }
        let retry = self.limits.retry_after;
        let mut questions: BTreeMap<RouterId, Vec<AssignmentRef>> = BTreeMap::new();
        let mut asked = Vec::new();
        for (shard, row) in &self.rows {
            let Some(other_standby_home) = row.other_standby_home() else {
                continue;
            };
            let waits = row
                .standby_asked_at
                .is_some_and(|at| elapsed(now, at) < retry);
            if waits || !row.is_live() || row.pledged || !self.has_uncleared_server(row) {
                continue;
            }
            asked.push(shard.clone());
            questions
                .entry(other_standby_home.router)
                .or_default()
                .push(AssignmentRef {
                    shard: shard.clone(),
                    token: row.stored.token,
                });
        }
        for shard in asked {
            if let Some(row) = self.rows.get_mut(&shard) {
                row.standby_asked_at = Some(now);
            }
        }
        for (router, rows) in questions {
            self.actions.push(Action::AskStandby { router, rows });
        }
    }

    fn has_uncleared_server(&self, row: &ShardRow) -> bool {
        self.has_fencing(row)
            && row.servers().any(|server| {
                let incarnation = self.servers.get(server).and_then(|known| known.incarnation);
                incarnation.is_some() && row.cleared.get(server).copied() != incarnation
            })
    }
}
