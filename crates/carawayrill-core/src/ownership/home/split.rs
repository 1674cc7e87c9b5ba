//! Shards of hot keys: split out of their range, and merged back into it.
//!
//! A split moves no key: the new shard starts on the server that serves its range. Requests for the
//! key that were sent under the range may still run there. Therefore, for a while after the split,
//! the new shard moves to another server only after the range's grants on the old one have ended
//! too.

use super::HomeTable;
use super::shard::GrantState;
use super::shard::Role;
use super::shard::ServerIncarnation;
use super::shard::ShardRow;
use crate::id::ShardId;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// Time after a split by which all requests sent under the range have ended, in milliseconds.
const SPLIT_WINDOW_MS: u64 = 60_000;

/// The state of the range when a shard was split out of it.
#[derive(Debug)]
pub(super) struct Split {
    /// Time when the shard was first seen.
    seen_at: Time,
    /// The server incarnations that had grants for the range at that time.
    granted: Vec<ServerIncarnation>,
}

impl HomeTable {
    /// Returns the row of the range that a hot key's shard was split out of, if this router has it.
    pub(super) fn range_row(&self, shard: &ShardId) -> Option<&ShardRow> {
        let range = self.policy(&shard.service).range_of(shard)?;
        self.rows.get(&range)
    }

    /// Initialises the row of a shard that was split out: it starts on the server that serves the
    /// range.
    pub(super) fn init_split(&self, now: Time, row: &mut ShardRow) {
        let Some(range) = self.range_row(&row.stored.shard) else {
            return;
        };
        if row.role == Role::Home && range.role == Role::Home {
            row.split = Some(Split {
                seen_at: now,
                granted: range.grants.keys().cloned().collect(),
            });
            let is_named = row.servers().any(|server| *server == range.serving);
            if is_named {
                row.serving = range.serving.clone();
            }
        }
    }

    /// Returns whether the grants that the range had at a recent split have ended, except those to
    /// `except`. Grants that the range got after the split don't matter, because no request for the
    /// key is sent under them.
    pub(super) fn range_grants_ended(
        &self,
        now: Time,
        row: &ShardRow,
        except: &ServerIncarnation,
    ) -> bool {
        let is_recent = |split: &&Split| elapsed(now, split.seen_at) < SPLIT_WINDOW_MS;
        let Some(split) = row.split.as_ref().filter(is_recent) else {
            return true;
        };
        let Some(range) = self.range_row(&row.stored.shard) else {
            return true;
        };
        let fencing = self.has_fencing(range);
        let mut others = split.granted.iter().filter(|id| *id != except);
        others.all(|id| {
            let grant = range.grants.get(id);
            grant.is_none_or(|grant| grant.has_ended(now, fencing))
        })
    }

    /// Counts the grants of a shard that was merged back as grants of its range.
    pub(super) fn merge_grants_into_range(&mut self, hot: &ShardRow) {
        let policy = self.policy(&hot.stored.shard.service);
        let range = policy.range_of(&hot.stored.shard);
        let Some(range) = range.and_then(|range| self.rows.get_mut(&range)) else {
            return;
        };
        for (id, grant) in &hot.grants {
            let empty = GrantState {
                token: range.token,
                possible_end: Time(0),
                certain_end: None,
                revoked: false,
                merged_end: Time(0),
            };
            let merged = range.grants.entry(id.clone()).or_insert(empty);
            merged.merged_end = merged.merged_end.max(grant.possible_end);
        }
    }
}
