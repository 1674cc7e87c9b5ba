//! Reading and writing blocks: intents first, then the changes with evidence.

use super::TakeoverTable;
use super::message::Action;
use super::message::Change;
use super::task::Evidence;
use super::task::Task;
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

/// What a controller knows of one block.
#[derive(Debug)]
pub(super) struct BlockRow {
    pub(super) version: Version,
    pub(super) content: Block,
    /// False until the block has been read once.
    pub(super) known: bool,
    read_wanted: bool,
    read_asked: Option<Time>,
    writing: Option<(Time, Block)>,
}

impl BlockRow {
    fn new(id: BlockId) -> Self {
        Self {
            version: Version(0),
            content: Block::empty(id),
            known: false,
            read_wanted: true,
            read_asked: None,
            writing: None,
        }
    }
}

impl TakeoverTable {
    /// Returns the assignment in force for a shard, as last read.
    pub(super) fn row(&self, shard: &ShardId) -> Option<&Assignment> {
        let task = self.tasks.get(shard)?;
        self.blocks.get(&task.change.block)?.content.row(shard)
    }

    /// Asks for a read of a block at once, unless one is under way.
    pub(super) fn want_read(&mut self, now: Time, id: &BlockId) {
        let retry = self.limits.retry_after;
        let row = self
            .blocks
            .entry(id.clone())
            .or_insert_with(|| BlockRow::new(id.clone()));
        row.read_wanted = true;
        if row
            .read_asked
            .is_none_or(|asked| elapsed(now, asked) >= retry)
        {
            row.read_asked = Some(now);
            self.actions.push(Action::ReadBlock { block: id.clone() });
        }
    }

    /// Takes in a read of a block.
    pub(super) fn take_block(&mut self, now: Time, version: Version, block: Block) {
        let id = block.id.clone();
        let row = self
            .blocks
            .entry(id.clone())
            .or_insert_with(|| BlockRow::new(id));
        row.read_asked = None;
        if row.known && version < row.version {
            return;
        }
        row.known = true;
        row.read_wanted = false;
        row.writing = None;
        self.adopt(now, version, block);
    }

    /// Takes in a write that took effect.
    pub(super) fn take_written(&mut self, now: Time, id: &BlockId, version: Version) {
        let Some(row) = self.blocks.get_mut(id) else {
            return;
        };
        let Some((_, content)) = row.writing.take() else {
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
        self.adopt(now, version, content);
    }

    /// Takes in a write that was refused or whose fate is unknown.
    pub(super) fn take_write_failed(&mut self, now: Time, id: &BlockId) {
        if self.mechanisms.read_back {
            self.want_read(now, id);
            return;
        }
        let version = self.blocks.get(id).map(|row| row.version.next());
        if let Some(version) = version {
            self.take_written(now, id, version);
        }
    }

    /// Makes a block's content the one that is known, and its tasks follow.
    fn adopt(&mut self, now: Time, version: Version, block: Block) {
        self.touched.insert(block.id.clone());
        self.settle(&block);
        for intent in &block.intents {
            self.recover(now, &block, intent);
        }
        for (shard, task) in &mut self.tasks {
            if task.change.block == block.id {
                note_intent(now, task, block.intent(shard));
            }
        }
        if let Some(row) = self.blocks.get_mut(&block.id) {
            row.version = version;
            row.content = block;
        }
    }

    /// Drops tasks whose assignment has been replaced, by us or by another.
    fn settle(&mut self, block: &Block) {
        let ended = |shard: &ShardId, task: &Task| {
            let row = block.row(shard);
            task.change.block == block.id && row.map(|row| row.token) != task.change.from
        };
        let tasks = std::mem::take(&mut self.tasks);
        for (shard, task) in tasks {
            if !ended(&shard, &task) {
                self.tasks.insert(shard, task);
                continue;
            }
            if let Some(row) = block.row(&shard).filter(|row| is_outcome(&task, row)) {
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

    /// Takes up a change that another controller has announced and not completed.
    fn recover(&mut self, now: Time, block: &Block, intent: &Intent) {
        let next = &intent.next;
        let Some(row) = block.row(&next.shard) else {
            return;
        };
        if self.tasks.contains_key(&next.shard) || !self.leading {
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
        let task = Task::new(now, change, next.since);
        self.tasks.insert(next.shard.clone(), task);
    }

    /// Reads what is wanted, and settles writes that were not answered.
    pub(super) fn read_blocks(&mut self, now: Time) {
        let retry = self.limits.retry_after;
        let late = |row: &BlockRow| {
            let sent = row.writing.as_ref().map(|(sent, _)| *sent);
            sent.is_some_and(|sent| elapsed(now, sent) >= retry)
        };
        let wanted: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.read_wanted || late(row))
            .map(|(id, _)| id.clone())
            .collect();
        for id in wanted {
            self.want_read(now, &id);
        }
    }

    /// Writes those blocks that an input has touched.
    pub(super) fn write_touched(&mut self, now: Time) {
        for id in std::mem::take(&mut self.touched) {
            let ready = |row: &BlockRow| row.known && !row.read_wanted && row.writing.is_none();
            if self.blocks.get(&id).is_some_and(ready) {
                self.write_block(now, &id);
            }
        }
    }

    /// Writes blocks with new intents or with changes whose evidence suffices.
    pub(super) fn write_blocks(&mut self, now: Time) {
        let ready: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.known && !row.read_wanted && row.writing.is_none())
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
        let tasks = self.tasks.values().filter(|task| task.change.block == *id);
        for task in tasks {
            self.edit(now, &mut block, task);
        }
        if block == known.content {
            return;
        }
        let expected = known.version;
        if let Some(known) = self.blocks.get_mut(id) {
            known.writing = Some((now, block.clone()));
        }
        self.actions.push(Action::WriteBlock { expected, block });
    }

    /// Puts the next step of one change into a block.
    fn edit(&self, now: Time, block: &mut Block, task: &Task) {
        let shard = &task.change.shard;
        let Some(row) = block.row(shard).cloned() else {
            block.set(task.next(None));
            return;
        };
        let next = task.next(Some(&row));
        let announced = block.intent(shard);
        if announced.is_none_or(|intent| !is_same_change(&intent.next, &next)) {
            block.intents.retain(|intent| intent.next.shard != *shard);
            block.intents.push(Intent {
                next,
                by: self.me.clone(),
                written: task.wall,
            });
        } else if self.suffices(now, task, &row) {
            block.intents.retain(|intent| intent.next.shard != *shard);
            block.set(task.settled(&row));
        }
    }
}

/// Notes since when the present intent has been in the store. Evidence was gathered under it.
fn note_intent(now: Time, task: &mut Task, intent: Option<&Intent>) {
    let known = task.intent.as_ref().map(|(intent, _)| intent);
    if known == intent {
        return;
    }
    task.intent = intent.map(|intent| (intent.clone(), now));
    task.evidence = Evidence::default();
    task.asked = None;
}

/// Returns whether two assignments differ at most in when they were recorded.
fn is_same_change(a: &Assignment, b: &Assignment) -> bool {
    let timeless = |row: &Assignment| Assignment {
        since: crate::time::WallTime(0),
        ..row.clone()
    };
    timeless(a) == timeless(b)
}

/// Returns whether an assignment is what a task was meant to bring about.
fn is_outcome(task: &Task, row: &Assignment) -> bool {
    row.home == task.change.home.router && row.home_run == task.change.home.incarnation
}
