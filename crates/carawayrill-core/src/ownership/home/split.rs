//! Shards of hot keys: split out of their range, and merged back.
//!
//! A split moves nothing: the new shard starts at the server that serves its range. Requests for
//! the key that were sent under the range may still run there, so for a while the new shard goes to
//! another server only once the range's grants have ended at the old one, too.

use super::HomeTable;
use super::row::Lane;
use super::row::LaneId;
use super::row::Role;
use super::row::Row;
use crate::id::ShardId;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// Time after a split by which requests sent under the range have ended, in milliseconds.
const SPLIT_WINDOW: u64 = 60_000;

impl HomeTable {
    /// Returns the range that a hot key's shard was split out of, if this router has it.
    pub(super) fn range_row(&self, shard: &ShardId) -> Option<&Row> {
        let range = self.policy(&shard.service).range_of(shard)?;
        self.rows.get(&range)
    }

    /// Starts a shard that was split out at the server that serves its range now.
    pub(super) fn note_split(&self, now: Time, row: &mut Row) {
        let Some(range) = self.range_row(&row.stored.shard) else {
            return;
        };
        if row.role == Role::Home && range.role == Role::Home {
            row.split = Some(now);
            let named = row.servers().any(|server| *server == range.serving);
            if named {
                row.serving = range.serving.clone();
            }
        }
    }

    /// Returns whether the range of a shard that was split out lately has no grant elsewhere.
    pub(super) fn range_ended(&self, now: Time, row: &Row, except: &LaneId) -> bool {
        let recent = row
            .split
            .is_some_and(|split| elapsed(now, split) < SPLIT_WINDOW);
        let range = self.range_row(&row.stored.shard).filter(|_| recent);
        range.is_none_or(|range| range.lanes_ended(now, self.fences(range), Some(except)))
    }

    /// Counts the grants of a shard that was merged back as grants of its range.
    pub(super) fn note_merge(&mut self, hot: &Row) {
        let policy = self.policy(&hot.stored.shard.service);
        let range = policy.range_of(&hot.stored.shard);
        let Some(range) = range.and_then(|range| self.rows.get_mut(&range)) else {
            return;
        };
        for (id, lane) in &hot.lanes {
            let none = Lane {
                token: range.token,
                possible_end: Time(0),
                certain_end: None,
                revoked: false,
                merged_end: Time(0),
            };
            let merged = range.lanes.entry(id.clone()).or_insert(none);
            merged.merged_end = merged.merged_end.max(lane.possible_end);
        }
    }
}
