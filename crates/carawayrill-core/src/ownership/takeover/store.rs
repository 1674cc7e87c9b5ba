//! Reads and writes blocks: first intents, then the changes with sufficient evidence.

use super::TakeoverTable;
use super::message::Action;
use super::message::Change;
use super::pending::Evidence;
use super::pending::PendingChange;
use crate::assignment::Assignment;
use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::assignment::Intent;
use crate::event::EventKind;
use crate::id::ShardId;
use crate::id::Version;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// The state of one block.
#[derive(Debug)]
pub(super) struct BlockRow {
    pub(super) version: Version,
    pub(super) content: Block,
    /// Whether the block has been read at least once.
    pub(super) known: bool,
    read_needed: bool,
    read_sent: Option<Time>,
    pending_write: Option<(Time, Block)>,
}

impl BlockRow {
    fn new(id: BlockId) -> Self {
        Self {
            version: Version(0),
            content: Block::empty(id),
            known: false,
            read_needed: true,
            read_sent: None,
            pending_write: None,
        }
    }
}

impl TakeoverTable {
    /// Returns the assignment in force for a shard, as last read.
    pub(super) fn row(&self, shard: &ShardId) -> Option<&Assignment> {
        let pending = self.pending_changes.get(shard)?;
        self.blocks.get(&pending.change.block)?.content.row(shard)
    }

    /// Requests a read of a block immediately, unless a read is in flight.
    pub(super) fn request_read(&mut self, now: Time, id: &BlockId) {
        let retry = self.limits.retry_after;
        let row = self
            .blocks
            .entry(id.clone())
            .or_insert_with(|| BlockRow::new(id.clone()));
        row.read_needed = true;
        if row.read_sent.is_none_or(|sent| elapsed(now, sent) >= retry) {
            row.read_sent = Some(now);
            self.actions.push(Action::ReadBlock { block: id.clone() });
        }
    }

    /// Handles a successful read of a block.
    pub(super) fn handle_block(&mut self, now: Time, version: Version, block: Block) {
        let id = block.id.clone();
        let row = self
            .blocks
            .entry(id.clone())
            .or_insert_with(|| BlockRow::new(id));
        row.read_sent = None;
        if row.known && version < row.version {
            return;
        }
        row.known = true;
        row.read_needed = false;
        row.pending_write = None;
        self.apply_content(now, version, block);
    }

    /// Handles a write that took effect.
    pub(super) fn handle_written(&mut self, now: Time, id: &BlockId, version: Version) {
        let Some(row) = self.blocks.get_mut(id) else {
            return;
        };
        let Some((_, content)) = row.pending_write.take() else {
            return;
        };
        if version <= row.version {
            return;
        }
        let changed = row
            .content
            .rows
            .iter()
            .filter(|old| content.row(&old.shard) != Some(old));
        let changed = u32::try_from(changed.count()).unwrap_or(u32::MAX);
        self.actions.push(Action::Emit {
            kind: EventKind::BlockWritten {
                block: id.clone(),
                version,
                changed,
            },
        });
        self.apply_content(now, version, content);
    }

    /// Handles a write that was rejected or whose outcome is unknown.
    pub(super) fn handle_write_failed(&mut self, now: Time, id: &BlockId) {
        if self.mechanisms.read_back {
            self.request_read(now, id);
            return;
        }
        let version = self.blocks.get(id).map(|row| row.version.next());
        if let Some(version) = version {
            self.handle_written(now, id, version);
        }
    }

    /// Replaces the known content of a block and updates the pending changes of its shards.
    fn apply_content(&mut self, now: Time, version: Version, block: Block) {
        self.dirty.insert(block.id.clone());
        self.drop_replaced(&block);
        for intent in &block.intents {
            self.resume_change(now, &block, intent);
        }
        for (shard, pending) in &mut self.pending_changes {
            if pending.change.block == block.id {
                update_intent(now, pending, block.intent(shard));
            }
        }
        if let Some(row) = self.blocks.get_mut(&block.id) {
            row.version = version;
            row.content = block;
        }
    }

    /// Drops pending changes whose assignment was replaced, by this controller or another one.
    fn drop_replaced(&mut self, block: &Block) {
        let ended = |shard: &ShardId, pending: &PendingChange| {
            let row = block.row(shard);
            pending.change.block == block.id && row.map(|row| row.token) != pending.change.from
        };
        let pending_changes = std::mem::take(&mut self.pending_changes);
        for (shard, pending) in pending_changes {
            if !ended(&shard, &pending) {
                self.pending_changes.insert(shard, pending);
                continue;
            }
            if let Some(row) = block.row(&shard).filter(|row| is_outcome(&pending, row)) {
                self.actions.push(Action::Emit {
                    kind: EventKind::Assigned {
                        shard,
                        owner: row.owner.clone(),
                        home: row.home.clone(),
                        token: row.token,
                        reason: row.reason,
                    },
                });
            }
        }
    }

    /// Resumes a change that another controller announced and did not complete.
    fn resume_change(&mut self, now: Time, block: &Block, intent: &Intent) {
        let next = &intent.next;
        let Some(row) = block.row(&next.shard) else {
            return;
        };
        if self.pending_changes.contains_key(&next.shard) || !self.leading {
            return;
        }
        let standby_home = next.standby_home.clone().map(|router| RouterIncarnation {
            router,
            incarnation: next.standby_home_run,
        });
        let change = Change {
            block: block.id.clone(),
            shard: next.shard.clone(),
            from: Some(row.token),
            owner: next.owner.clone(),
            standby: next.standby.clone(),
            home: RouterIncarnation {
                router: next.home.clone(),
                incarnation: next.home_run,
            },
            standby_home,
            reason: next.reason,
        };
        let pending = PendingChange::new(now, change, next.since);
        self.pending_changes.insert(next.shard.clone(), pending);
    }

    /// Requests the reads that are needed, also for writes that were not answered.
    pub(super) fn read_blocks(&mut self, now: Time) {
        let retry = self.limits.retry_after;
        let is_unanswered = |row: &BlockRow| {
            let sent = row.pending_write.as_ref().map(|(sent, _)| *sent);
            sent.is_some_and(|sent| elapsed(now, sent) >= retry)
        };
        let needed: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.read_needed || is_unanswered(row))
            .map(|(id, _)| id.clone())
            .collect();
        for id in needed {
            self.request_read(now, &id);
        }
    }

    /// Writes the blocks that the current input has changed.
    pub(super) fn write_dirty(&mut self, now: Time) {
        for id in std::mem::take(&mut self.dirty) {
            let ready =
                |row: &BlockRow| row.known && !row.read_needed && row.pending_write.is_none();
            if self.blocks.get(&id).is_some_and(ready) {
                self.write_block(now, &id);
            }
        }
    }

    /// Writes blocks with new intents or with changes that have sufficient evidence.
    pub(super) fn write_blocks(&mut self, now: Time) {
        let ready: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.known && !row.read_needed && row.pending_write.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ready {
            self.write_block(now, &id);
        }
    }

    fn write_block(&mut self, now: Time, id: &BlockId) {
        let Some(known) = self.blocks.get(id) else {
            return;
        };
        let mut block = known.content.clone();
        let pending_changes = self
            .pending_changes
            .values()
            .filter(|pending| pending.change.block == *id);
        for pending in pending_changes {
            self.apply_step(now, &mut block, pending);
        }
        if block == known.content {
            return;
        }
        let expected = known.version;
        if let Some(known) = self.blocks.get_mut(id) {
            known.pending_write = Some((now, block.clone()));
        }
        self.actions.push(Action::WriteBlock { expected, block });
    }

    /// Applies the next step of one change to a block.
    fn apply_step(&self, now: Time, block: &mut Block, pending: &PendingChange) {
        let shard = &pending.change.shard;
        let Some(row) = block.row(shard).cloned() else {
            block.set(pending.next_assignment(None));
            return;
        };
        let next = pending.next_assignment(Some(&row));
        let announced = block.intent(shard);
        if announced.is_none_or(|intent| !is_same_change(&intent.next, &next)) {
            block.intents.retain(|intent| intent.next.shard != *shard);
            block.intents.push(Intent {
                next,
                by: self.me.clone(),
                written: pending.wall,
            });
        } else if self.is_sufficient(now, pending, &row) {
            block.intents.retain(|intent| intent.next.shard != *shard);
            block.set(pending.final_assignment(&row));
        }
    }
}

/// Records since when the current intent has been in the store. Evidence counts only for the intent
/// under which it was gathered.
fn update_intent(now: Time, pending: &mut PendingChange, intent: Option<&Intent>) {
    let known = pending.intent.as_ref().map(|(intent, _)| intent);
    if known == intent {
        return;
    }
    pending.intent = intent.map(|intent| (intent.clone(), now));
    pending.evidence = Evidence::default();
    pending.last_asked = None;
}

/// Returns whether two assignments differ at most in their time.
fn is_same_change(a: &Assignment, b: &Assignment) -> bool {
    let without_time = |row: &Assignment| Assignment {
        since: crate::time::WallTime(0),
        ..row.clone()
    };
    without_time(a) == without_time(b)
}

/// Returns whether an assignment is the result of a pending change.
fn is_outcome(pending: &PendingChange, row: &Assignment) -> bool {
    row.home == pending.change.home.router && row.home_run == pending.change.home.incarnation
}
