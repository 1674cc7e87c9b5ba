//! Reading blocks of assignments, and the authority that reads give.

use std::collections::BTreeMap;

use super::HomeTable;
use super::message::Action;
use super::message::BlockVersion;
use super::row::Role;
use super::row::Row;
use crate::assignment::Assignment;
use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::event::EventKind;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::id::Version;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// The shortest time between two version checks of one block, in milliseconds.
const MIN_CHECK_GAP: u64 = 20;

/// What a router knows of one block that names it.
#[derive(Debug)]
pub(super) struct BlockRow {
    pub(super) version: Version,
    pub(super) content: Block,
    /// Whether the content has to be read.
    pub(super) read_wanted: bool,
    pub(super) read_asked: Option<Time>,
    pub(super) checked: Option<Time>,
    /// A write whose fate is not known yet, and when it was sent.
    pub(super) writing: Option<PendingWrite>,
}

/// A write whose fate is not known yet.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) sent: Time,
    pub(super) content: Block,
}

impl BlockRow {
    pub(super) fn new(id: BlockId) -> Self {
        Self {
            version: Version(0),
            content: Block::empty(id),
            read_wanted: false,
            read_asked: None,
            checked: None,
            writing: None,
        }
    }
}

impl HomeTable {
    /// Asks for a read if a hinted block is newer and concerns this router.
    pub(super) fn take_hint(&mut self, now: Time, version: Version, block: &Block) {
        let known = self.blocks.get(&block.id).map(|row| row.version);
        let concerns = known.is_some() || block.rows.iter().any(|row| self.role_in(row).is_some());
        if concerns && known.is_none_or(|known| version > known) {
            self.want_read(now, &block.id);
        }
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
    pub(super) fn take_block(&mut self, now: Time, started: Time, version: Version, block: Block) {
        let row = self
            .blocks
            .entry(block.id.clone())
            .or_insert_with(|| BlockRow::new(block.id.clone()));
        row.read_asked = None;
        if version < row.version {
            return;
        }
        row.read_wanted = false;
        row.writing = None;
        self.adopt(now, version, block, Some(started));
    }

    /// Takes in a check of versions.
    pub(super) fn take_versions(&mut self, now: Time, started: Time, found: &[BlockVersion]) {
        for BlockVersion { block, version } in found {
            let Some(row) = self.blocks.get(block) else {
                continue;
            };
            if *version > row.version {
                self.want_read(now, block);
            } else if *version == row.version {
                self.confirm_block(block, started);
            }
        }
    }

    /// Gives authority over the rows of a block that no intent takes away.
    fn confirm_block(&mut self, id: &BlockId, started: Time) {
        let rows = self.rows.values_mut().filter(|row| row.block == *id);
        for row in rows.filter(|row| !row.blocked) {
            row.basis = row.basis.max(Some(started));
        }
    }

    /// Makes a block's content the one that is known, and its rows follow.
    pub(super) fn adopt(
        &mut self,
        now: Time,
        version: Version,
        block: Block,
        started: Option<Time>,
    ) {
        let id = block.id.clone();
        let known = self.blocks.get(&id).map_or(Version(0), |row| row.version);
        if version > known {
            self.emit(EventKind::BlockSeen {
                block: id.clone(),
                version,
            });
        }
        let mut former = self.take_rows(&id);
        for stored in &block.rows {
            if let Some(role) = self.role_in(stored) {
                let old = former.remove(&stored.shard);
                self.adopt_row(now, &block, stored, role, old, started);
            }
        }
        for (_, row) in former {
            self.note_merge(&row);
            self.tell_end(&row, "the assignment names another router");
        }
        if let Some(row) = self.blocks.get_mut(&id) {
            row.version = version;
            row.content = block;
        }
        self.forget_unnamed(&id);
    }

    /// Takes all rows of a block out of the table.
    fn take_rows(&mut self, id: &BlockId) -> BTreeMap<ShardId, Row> {
        let ids: Vec<ShardId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.block == *id)
            .map(|(shard, _)| shard.clone())
            .collect();
        ids.into_iter()
            .filter_map(|shard| self.rows.remove_entry(&shard))
            .collect()
    }

    fn adopt_row(
        &mut self,
        now: Time,
        block: &Block,
        stored: &Assignment,
        role: Role,
        old: Option<Row>,
        started: Option<Time>,
    ) {
        let mut row = match old {
            Some(mut old) if old.stored.token.term == stored.token.term && old.role == role => {
                old.stored = stored.clone();
                // A pledge was taken back by a row that names the next owner ahead of the act.
                let ahead = old.acting && stored.token > old.token;
                if ahead {
                    old.token = stored.token;
                }
                if ahead || !old.acting {
                    old.serving = stored.owner.clone();
                }
                old
            }
            Some(old) => succeed(old, Row::new(now, block.id.clone(), stored.clone(), role)),
            None => {
                let mut row = Row::new(now, block.id.clone(), stored.clone(), role);
                self.note_split(now, &mut row);
                row
            }
        };
        let promised = self.promised.get(&stored.shard);
        if role == Role::Standby && promised.is_some_and(|term| *term >= stored.token.term) {
            row.ended = true;
        }
        self.heed_intent(block, &mut row);
        if !row.blocked && started.is_some() {
            row.basis = row.basis.max(started);
        }
        for server in row.servers() {
            self.watch_server(now, &server.clone());
        }
        if role == Role::Standby {
            self.watch_peer(now, &stored.home);
        }
        self.touched.insert(stored.shard.clone());
        self.rows.insert(stored.shard.clone(), row);
    }

    /// Takes in what an intent means for the row: an end, leave to go on, or nothing.
    fn heed_intent(&mut self, block: &Block, row: &mut Row) {
        let intent = block.intent(&row.stored.shard);
        let keeps = intent.is_some_and(|intent| row.stored.has_same_home_and_owner(&intent.next));
        row.keeping = keeps && row.role == Role::Home;
        row.blocked = intent.is_some() && !row.keeping;
        row.pledged &= row.keeping;
        if !self.mechanisms.intent_blocks {
            row.blocked = false;
        }
        if row.blocked && row.stop() {
            self.actions.push(Action::Quiesce {
                shard: row.stored.shard.clone(),
            });
        }
    }

    /// Drops a block that does not name this router any more.
    fn forget_unnamed(&mut self, id: &BlockId) {
        if !self.rows.values().any(|row| row.block == *id) {
            self.blocks.remove(id);
        }
    }

    /// Returns the role in which an assignment names this run of this router.
    pub(super) fn role_in(&self, stored: &Assignment) -> Option<Role> {
        let any_run = !self.mechanisms.home_incarnation;
        let is_me = |run| any_run || run == self.me.incarnation;
        if stored.home == self.me.router && is_me(stored.home_run) {
            return Some(Role::Home);
        }
        let stands_by = stored.standby_home.as_ref() == Some(&self.me.router);
        (stands_by && is_me(stored.standby_home_run)).then_some(Role::Standby)
    }

    /// Checks versions and reads what is wanted.
    pub(super) fn check_blocks(&mut self, now: Time) {
        let wanted: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.read_wanted)
            .map(|(id, _)| id.clone())
            .collect();
        for id in wanted {
            self.want_read(now, &id);
        }
        let urgent = self.blocks_without_trust();
        let every = self.limits.check_every;
        let mut blocks = Vec::new();
        for (id, row) in &mut self.blocks {
            let gap = if urgent.contains(id) {
                MIN_CHECK_GAP
            } else {
                every
            };
            if row
                .checked
                .is_none_or(|checked| elapsed(now, checked) >= gap)
            {
                row.checked = Some(now);
                blocks.push(id.clone());
            }
        }
        if !blocks.is_empty() {
            self.actions.push(Action::CheckVersions { blocks });
        }
    }

    /// Returns whether the present run of one of a row's servers was known before its last good
    /// read.
    fn knows_a_server(&self, row: &Row) -> bool {
        row.servers().any(|id| {
            let known = self.servers.get(id).filter(|known| known.run.is_some());
            known.is_some_and(|known| row.basis.is_some_and(|basis| basis > known.run_seen))
        })
    }

    /// Returns blocks with rows that wait for a read that is newer than a server's run.
    fn blocks_without_trust(&self) -> Vec<BlockId> {
        let untrusted = |row: &Row, id: &ServerId| {
            row.cleared.contains_key(id) && row.cleared.get(id) != row.trusted.get(id)
        };
        let waits = |row: &&Row| {
            let first = !self.trusts(row, &row.serving);
            let read_missing = first || row.servers().any(|id| untrusted(row, id));
            row.is_live() && !row.blocked && !row.pledged && read_missing
        };
        // A standby home that has made no good read since it saw the servers could not take over.
        let is_blind = |row: &&Row| {
            row.role == Role::Standby && !row.acting && !row.ended && !self.knows_a_server(row)
        };
        let mut blocks: Vec<BlockId> = self
            .rows
            .values()
            .filter(|row| waits(row) || is_blind(row))
            .map(|row| row.block.clone())
            .collect();
        blocks.dedup();
        blocks
    }
}

/// Carries over what stays true when an assignment of this router replaces one of its own.
fn succeed(old: Row, mut new: Row) -> Row {
    // Runs that were trusted before the change was written are older than any takeover under it.
    // Without a standby home there is no takeover under it.
    if old.pledged || new.stored.standby_home.is_none() {
        new.cleared = old.trusted.clone();
        new.trusted = old.trusted;
    }
    if old.acting && new.acting {
        new.basis = old.basis;
    }
    new.lanes = old.lanes;
    new
}
