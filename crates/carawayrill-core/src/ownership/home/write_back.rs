//! Writes changes to the store that were decided without it.

use super::HomeTable;
use super::blocks::PendingWrite;
use super::message::Action;
use super::shard::Role;
use super::shard::ShardRow;
use crate::assignment::Assignment;
use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::assignment::Reason;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::Version;
use crate::ownership::limits::elapsed;
use crate::time::Time;
use crate::token::Epoch;
use crate::token::Token;

impl HomeTable {
    /// Writes the blocks whose rows have changed, with at most one write in flight for each block.
    pub(super) fn write_changes(&mut self, now: Time) {
        let retry = self.limits.retry_after;
        let overdue = |sent: Time| elapsed(now, sent) >= retry;
        let unanswered: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| {
                row.pending_write
                    .as_ref()
                    .is_some_and(|write| overdue(write.sent))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unanswered {
            // The write may still take effect; only a read shows its outcome.
            self.request_read(now, &id);
        }
        let ready: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.pending_write.is_none() && !row.read_needed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ready {
            self.write_block(now, &id);
        }
    }

    fn write_block(&mut self, now: Time, id: &BlockId) {
        let rows = self.rows.values().filter(|row| row.block == *id);
        let changes: Vec<Assignment> = rows
            .filter_map(|row| self.changed_assignment(now, row))
            .collect();
        let Some(known) = self.blocks.get_mut(id) else {
            return;
        };
        if changes.is_empty() {
            return;
        }
        let mut block = known.content.clone();
        for change in changes {
            // The only row here that can have an intent is one whose pledge is withdrawn. The
            // change removes the intent.
            block
                .intents
                .retain(|intent| intent.next.shard != change.shard);
            block.set(change);
        }
        known.pending_write = Some(PendingWrite {
            sent: now,
            content: block.clone(),
        });
        self.actions.push(Action::WriteBlock {
            expected: known.version,
            block,
        });
    }

    /// Returns the assignment to write for a row, if it differs from the stored one.
    fn changed_assignment(&self, now: Time, row: &ShardRow) -> Option<Assignment> {
        if let Some(next) = self.pledge_withdrawal(now, row) {
            return Some(next);
        }
        let block = self.blocks.get(&row.block)?;
        if !row.is_live() || block.content.intent(&row.stored.shard).is_some() {
            return None;
        }
        let grant = row.grants.get(&self.serving_incarnation(row)?)?;
        let is_granted = grant.token == row.token && grant.certain_end.is_some_and(|end| end > now);
        let taken_over = row.role == Role::Standby;
        if !is_granted || !(taken_over || row.serving != row.stored.owner) {
            return None;
        }
        let swapped = Assignment {
            owner: row.serving.clone(),
            standby: row.other(&row.serving).cloned(),
            token: row.token,
            reason: Reason::ServerLost,
            ..row.stored.clone()
        };
        if !taken_over {
            return Some(swapped);
        }
        Some(Assignment {
            home: self.me.router.clone(),
            home_run: self.me.incarnation,
            standby_home: None,
            standby_home_run: Incarnation(0),
            token: Token {
                term: row.stored.token.term.next_stored(),
                epoch: Epoch(1),
            },
            reason: Reason::HomeLost,
            ..swapped
        })
    }

    /// Returns the assignment by which a home withdraws its pledge because the owner has failed
    /// since. Once it is written, the conditional update that relied on the pledge fails, and the
    /// standby server may be activated.
    fn pledge_withdrawal(&self, now: Time, row: &ShardRow) -> Option<Assignment> {
        let next = self.candidate(now, row).filter(|_| row.pledged)?;
        Some(Assignment {
            standby: Some(row.serving.clone()),
            owner: next,
            token: row.token.next_epoch(),
            reason: Reason::ServerLost,
            ..row.stored.clone()
        })
    }

    /// Handles a write that took effect.
    pub(super) fn handle_written(&mut self, now: Time, id: &BlockId, version: Version) {
        let Some(known) = self.blocks.get_mut(id) else {
            return;
        };
        let Some(write) = known.pending_write.take() else {
            return;
        };
        let changed = changed_rows(&known.content, &write.content);
        if version <= known.version {
            return;
        }
        self.emit(EventKind::BlockWritten {
            block: id.clone(),
            version,
            changed,
        });
        self.apply_content(now, version, write.content, None);
    }

    /// Handles a write that was rejected or whose outcome is unknown.
    pub(super) fn handle_write_failed(&mut self, now: Time, id: &BlockId) {
        if self.mechanisms.read_back {
            self.request_read(now, id);
            return;
        }
        let version = self.blocks.get(id).map(|known| known.version.next());
        if let Some(version) = version {
            self.handle_written(now, id, version);
        }
    }
}

/// Counts the rows of `new` that are missing or different in `old`.
fn changed_rows(old: &Block, new: &Block) -> u32 {
    let changed = new
        .rows
        .iter()
        .filter(|row| old.row(&row.shard) != Some(row));
    u32::try_from(changed.count()).unwrap_or(u32::MAX)
}
