//! Which runs of servers may get grants.
//!
//! A restarted server has forgotten what it acknowledged, also a fence by which the standby home
//! took over without the store. A grant thus goes only to a run for which, after it was first
//! seen, the store was read (rule 6), and it was shown that the standby home has not taken over:
//! by its own word, or by the other server, whose run was trusted before.

use std::collections::BTreeMap;

use super::HomeTable;
use super::message::Action;
use super::orders::Answer;
use super::row::Row;
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
    /// Returns whether the present run of a server may get grants.
    pub(super) fn trusts(&self, row: &Row, server: &ServerId) -> bool {
        let run = self.servers.get(server).and_then(|known| known.run);
        run.is_some() && row.trusted.get(server).copied() == run
    }

    /// Takes an answer of a trusted run as evidence about the other server's run.
    pub(super) fn clear_by_server(&mut self, answer: &Answer<'_>) {
        let shard = &answer.ack.shard;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if row.trusted.get(answer.server) != Some(&answer.run) {
            return;
        }
        let Some(other) = row.other(answer.server).cloned() else {
            return;
        };
        let Some(known) = self.servers.get(&other) else {
            return;
        };
        if let Some(run) = known.run.filter(|_| answer.sent > known.run_seen) {
            row.cleared.insert(other, run);
        }
    }

    /// Takes the standby home's own word.
    pub(super) fn take_standings(
        &mut self,
        now: Time,
        asked: Time,
        from: &RouterIncarnation,
        rows: &[StandbyStatus],
    ) {
        for standing in rows {
            let shard = &standing.claimed.shard;
            let Some(row) = self.rows.get_mut(shard) else {
                continue;
            };
            let concerns = row.rival().as_ref() == Some(from)
                && row.stored.token.term == standing.claimed.token.term;
            if !concerns {
                continue;
            }
            self.touched.insert(shard.clone());
            if standing.acted {
                self.supersede(now, shard);
                continue;
            }
            let servers: Vec<ServerId> = row.servers().cloned().collect();
            for server in servers {
                let known = self.servers.get(&server);
                let seen = known.filter(|known| asked > known.run_seen);
                if let Some(run) = seen.and_then(|known| known.run) {
                    row.cleared.insert(server, run);
                }
            }
        }
    }

    /// Brings the trusted runs of a row up to date.
    pub(super) fn update_trust(&mut self, shard: &ShardId) {
        let skip = !self.mechanisms.server_incarnation;
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        if !row.acting || (row.pledged && !skip) {
            return;
        }
        let alone = row.rival().is_none() || !self.fences(row);
        let mut trusted: Vec<(ServerId, Incarnation)> = Vec::new();
        for server in row.servers() {
            let Some(known) = self.servers.get(server) else {
                continue;
            };
            let Some(run) = known.run else {
                continue;
            };
            let cleared = alone || row.cleared.get(server) == Some(&run);
            let read = !row.blocked && row.basis.is_some_and(|basis| basis > known.run_seen);
            if skip || (cleared && read) {
                trusted.push((server.clone(), run));
            }
        }
        if let Some(row) = self.rows.get_mut(shard) {
            row.trusted.extend(trusted);
        }
    }

    /// Asks standby homes about rows with servers that are not cleared.
    pub(super) fn ask_standbys(&mut self, now: Time) {
        if !self.mechanisms.server_incarnation {
            return;
        }
        let retry = self.limits.retry_after;
        let mut asks: BTreeMap<RouterId, Vec<AssignmentRef>> = BTreeMap::new();
        let mut asked = Vec::new();
        for (shard, row) in &self.rows {
            let Some(rival) = row.rival() else {
                continue;
            };
            let waits = row.asked_standby.is_some_and(|at| elapsed(now, at) < retry);
            if waits || !row.is_live() || row.pledged || !self.misses_clearance(row) {
                continue;
            }
            asked.push(shard.clone());
            asks.entry(rival.router).or_default().push(AssignmentRef {
                shard: shard.clone(),
                token: row.stored.token,
            });
        }
        for shard in asked {
            if let Some(row) = self.rows.get_mut(&shard) {
                row.asked_standby = Some(now);
            }
        }
        for (router, rows) in asks {
            self.actions.push(Action::AskStandby { router, rows });
        }
    }

    fn misses_clearance(&self, row: &Row) -> bool {
        self.fences(row)
            && row.servers().any(|server| {
                let run = self.servers.get(server).and_then(|known| known.run);
                run.is_some() && row.cleared.get(server).copied() != run
            })
    }
}
