//! Reading blocks of assignments, and the authority that a read gives.

use std::collections::BTreeMap;

use super::HomeTable;
use super::message::Action;
use super::message::BlockVersion;
use super::shard::Role;
use super::shard::ShardRow;
use crate::assignment::Assignment;
use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::event::EventKind;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::id::Version;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// The shortest interval between two version checks of one block, in milliseconds.
const MIN_CHECK_INTERVAL_MS: u64 = 20;

/// The state of one block that names this router.
#[derive(Debug)]
pub(super) struct BlockRow {
    pub(super) version: Version,
    pub(super) content: Block,
    /// Whether the content must be read.
    pub(super) read_needed: bool,
    pub(super) read_sent: Option<Time>,
    pub(super) last_check: Option<Time>,
    /// The write whose outcome is not known yet.
    pub(super) pending_write: Option<PendingWrite>,
}

/// A write whose outcome is not known yet.
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
            read_needed: false,
            read_sent: None,
            last_check: None,
            pending_write: None,
        }
    }
}

impl HomeTable {
    /// Requests a read if the hinted block is newer and concerns this router.
    pub(super) fn handle_hint(&mut self, now: Time, version: Version, block: &Block) {
        let known = self.blocks.get(&block.id).map(|row| row.version);
        let concerns = known.is_some() || block.rows.iter().any(|row| self.role_in(row).is_some());
        if concerns && known.is_none_or(|known| version > known) {
            self.request_read(now, &block.id);
        }
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
    pub(super) fn handle_block(
        &mut self,
        now: Time,
        started: Time,
        version: Version,
        block: Block,
    ) {
        let row = self
            .blocks
            .entry(block.id.clone())
            .or_insert_with(|| BlockRow::new(block.id.clone()));
        row.read_sent = None;
        if version < row.version {
            return;
        }
        row.read_needed = false;
        row.pending_write = None;
        self.apply_content(now, version, block, Some(started));
    }

    /// Handles a successful check of versions.
    pub(super) fn handle_versions(&mut self, now: Time, started: Time, found: &[BlockVersion]) {
        for BlockVersion { block, version } in found {
            let Some(row) = self.blocks.get(block) else {
                continue;
            };
            if *version > row.version {
                self.request_read(now, block);
            } else if *version == row.version {
                self.extend_authority(block, started);
            }
        }
    }

    /// Extends the authority over all rows of a block that are not blocked by an intent.
    fn extend_authority(&mut self, id: &BlockId, started: Time) {
        let rows = self.rows.values_mut().filter(|row| row.block == *id);
        for row in rows.filter(|row| !row.blocked) {
            row.last_valid_read = row.last_valid_read.max(Some(started));
        }
    }

    /// Replaces the known content of a block and updates the rows of its shards.
    pub(super) fn apply_content(
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
        let mut former = self.remove_block_rows(&id);
        for stored in &block.rows {
            if let Some(role) = self.role_in(stored) {
                let old = former.remove(&stored.shard);
                self.apply_row(now, &block, stored, role, old, started);
            }
        }
        for (_, row) in former {
            self.merge_grants_into_range(&row);
            self.emit_authority_end(&row, "the assignment names another router");
        }
        if let Some(row) = self.blocks.get_mut(&id) {
            row.version = version;
            row.content = block;
        }
        self.drop_if_unused(&id);
    }

    /// Removes all rows of a block from the table.
    fn remove_block_rows(&mut self, id: &BlockId) -> BTreeMap<ShardId, ShardRow> {
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

    fn apply_row(
        &mut self,
        now: Time,
        block: &Block,
        stored: &Assignment,
        role: Role,
        old: Option<ShardRow>,
        started: Option<Time>,
    ) {
        let mut row = match old {
            Some(mut old) if old.stored.token.term == stored.token.term && old.role == role => {
                old.stored = stored.clone();
                // The stored assignment that withdraws a pledge already names the next owner,
                // before the server has been activated.
                let stored_is_newer = old.acting && stored.token > old.token;
                if stored_is_newer {
                    old.token = stored.token;
                }
                if stored_is_newer || !old.acting {
                    old.serving = stored.owner.clone();
                }
                old
            }
            Some(old) => carry_over_state(
                old,
                ShardRow::new(now, block.id.clone(), stored.clone(), role),
            ),
            None => {
                let mut row = ShardRow::new(now, block.id.clone(), stored.clone(), role);
                self.init_split(now, &mut row);
                row
            }
        };
        let promised = self.promised.get(&stored.shard);
        if role == Role::Standby && promised.is_some_and(|term| *term >= stored.token.term) {
            row.ended = true;
        }
        self.apply_intent(block, &mut row);
        if !row.blocked && started.is_some() {
            row.last_valid_read = row.last_valid_read.max(started);
        }
        for server in row.servers() {
            self.watch_server(now, &server.clone());
        }
        if role == Role::Standby {
            self.watch_peer(now, &stored.home);
        }
        self.dirty.insert(stored.shard.clone());
        self.rows.insert(stored.shard.clone(), row);
    }

    /// Applies the effect of an intent on the row: the intent either blocks the row or lets the
    /// home continue. Without an intent, the row is unrestricted.
    fn apply_intent(&mut self, block: &Block, row: &mut ShardRow) {
        let intent = block.intent(&row.stored.shard);
        let keeps = intent.is_some_and(|intent| row.stored.has_same_home_and_owner(&intent.next));
        row.kept_by_intent = keeps && row.role == Role::Home;
        row.blocked = intent.is_some() && !row.kept_by_intent;
        row.pledged &= row.kept_by_intent;
        if !self.mechanisms.intent_blocks {
            row.blocked = false;
        }
        if row.blocked && row.stop() {
            self.actions.push(Action::Quiesce {
                shard: row.stored.shard.clone(),
            });
        }
    }

    /// Removes a block that does not name this router any more.
    fn drop_if_unused(&mut self, id: &BlockId) {
        if !self.rows.values().any(|row| row.block == *id) {
            self.blocks.remove(id);
        }
    }

    /// Returns the role in which an assignment names this incarnation of the router.
    pub(super) fn role_in(&self, stored: &Assignment) -> Option<Role> {
        let any_incarnation = !self.mechanisms.home_incarnation;
        let is_me = |incarnation| any_incarnation || incarnation == self.me.incarnation;
        if stored.home == self.me.router && is_me(stored.home_run) {
            return Some(Role::Home);
        }
        let is_standby_home = stored.standby_home.as_ref() == Some(&self.me.router);
        (is_standby_home && is_me(stored.standby_home_run)).then_some(Role::Standby)
    }

    /// Requests due version checks and the reads that are needed.
    pub(super) fn check_blocks(&mut self, now: Time) {
        let needed: Vec<BlockId> = self
            .blocks
            .iter()
            .filter(|(_, row)| row.read_needed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in needed {
            self.request_read(now, &id);
        }
        let urgent = self.blocks_needing_urgent_check();
        let every = self.limits.check_every;
        let mut blocks = Vec::new();
        for (id, row) in &mut self.blocks {
            let gap = if urgent.contains(id) {
                MIN_CHECK_INTERVAL_MS
            } else {
                every
            };
            if row
                .last_check
                .is_none_or(|last_check| elapsed(now, last_check) >= gap)
            {
                row.last_check = Some(now);
                blocks.push(id.clone());
            }
        }
        if !blocks.is_empty() {
            self.actions.push(Action::CheckVersions { blocks });
        }
    }

    /// Returns whether one of the row's servers was known in its current incarnation before the
    /// last read that gave authority.
    fn server_known_before_read(&self, row: &ShardRow) -> bool {
        row.servers().any(|id| {
            let known = self
                .servers
                .get(id)
                .filter(|known| known.incarnation.is_some());
            known.is_some_and(|known| {
                row.last_valid_read
                    .is_some_and(|read| read > known.incarnation_seen_at)
            })
        })
    }

    /// Returns blocks with rows that need a read newer than a server's current incarnation.
    fn blocks_needing_urgent_check(&self) -> Vec<BlockId> {
        let untrusted = |row: &ShardRow, id: &ServerId| {
            row.cleared.contains_key(id) && row.cleared.get(id) != row.trusted.get(id)
        };
        let waits = |row: &&ShardRow| {
            let owner_untrusted = !self.is_trusted(row, &row.serving);
            let read_missing = owner_untrusted || row.servers().any(|id| untrusted(row, id));
            row.is_live() && !row.blocked && !row.pledged && read_missing
        };
        // A standby home without a successful read since it first saw the servers could not take
        // over.
        let lacks_fresh_read = |row: &&ShardRow| {
            row.role == Role::Standby
                && !row.acting
                && !row.ended
                && !self.server_known_before_read(row)
        };
        let mut blocks: Vec<BlockId> = self
            .rows
            .values()
            .filter(|row| waits(row) || lacks_fresh_read(row))
            .map(|row| row.block.clone())
            .collect();
        blocks.dedup();
        blocks
    }
}

/// Carries over the state that stays valid when an assignment of this router replaces an earlier
/// one.
fn carry_over_state(old: ShardRow, mut new: ShardRow) -> ShardRow {
    // Incarnations that were trusted before the change was written are older than any takeover
    // under the new assignment. Without a standby home there can be no such takeover.
    if old.pledged || new.stored.standby_home.is_none() {
        new.cleared = old.trusted.clone();
        new.trusted = old.trusted;
    }
    if old.acting && new.acting {
        new.last_valid_read = old.last_valid_read;
    }
    new.grants = old.grants;
    new
}
