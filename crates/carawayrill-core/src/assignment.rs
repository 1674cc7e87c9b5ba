//! Assignments: which server owns a shard and which router is its home.

use std::fmt;

use crate::data;
use crate::id::ControllerId;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::time::WallTime;
use crate::token::Token;

data! {
    /// Names one block of shards: the unit in which assignments are stored.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct BlockId {
        /// The service whose shards these are.
        pub service: ServiceId,
        /// The block's index within the service.
        pub index: u32,
    }

    /// Why an assignment came to be. Shown to operators.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Reason {
        /// The shard had no owner before.
        Initial,
        /// Its owner was lost.
        ServerLost,
        /// Its home router was lost.
        HomeLost,
        /// Its owner or home leaves by plan.
        Drain,
        /// It was moved to even out the load.
        Balance,
        /// It holds a hot key that was split out.
        HotKey,
    }

    /// Who owns one shard, and who takes over next.
    pub struct Assignment {
        /// The shard.
        pub shard: ShardId,
        /// The server that owns it.
        pub owner: ServerId,
        /// The server that the home may activate on its own if the owner is lost.
        pub standby: Option<ServerId>,
        /// The one router that sends to the owner.
        pub home: RouterId,
        /// The run of the home that was appointed. A later run of the same router is nobody's home.
        #[serde(default)]
        pub home_run: Incarnation,
        /// The router that may take over on its own, under the reserved term, if the home is lost.
        pub standby_home: Option<RouterId>,
        /// The run of the standby home that was appointed.
        #[serde(default)]
        pub standby_home_run: Incarnation,
        /// The lowest token of grants under this assignment. Its term is even.
        pub token: Token,
        /// Why it was made.
        pub reason: Reason,
        /// When it was recorded.
        pub since: WallTime,
    }

    /// A change that is announced in the store before there is evidence that the old authority
    /// has ended.
    pub struct Intent {
        /// The assignment to come.
        pub next: Assignment,
        /// Who wrote the intent.
        pub by: ControllerId,
        /// When it was written.
        pub written: WallTime,
    }

    /// The stored object of one block: its assignments in force and the intents beside them.
    ///
    /// Rows are sorted by shard.
    pub struct Block {
        /// Which block this is.
        pub id: BlockId,
        /// The assignments in force.
        pub rows: Vec<Assignment>,
        /// Changes that wait for evidence, at most one a shard.
        pub intents: Vec<Intent>,
    }
}

impl fmt::Display for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl Assignment {
    /// Returns whether `next` leaves home and owner as they are stored, so that the home may go on
    /// while the change is written.
    #[must_use]
    pub fn has_same_home_and_owner(&self, next: &Self) -> bool {
        let same_home = self.home == next.home && self.home_run == next.home_run;
        same_home && self.owner == next.owner
    }
}

impl Block {
    /// Makes a block without assignments.
    #[must_use]
    pub fn empty(id: BlockId) -> Self {
        Self {
            id,
            rows: Vec::new(),
            intents: Vec::new(),
        }
    }

    /// Returns the assignment in force for `shard`.
    #[must_use]
    pub fn row(&self, shard: &ShardId) -> Option<&Assignment> {
        let at = self
            .rows
            .binary_search_by(|row| row.shard.cmp(shard))
            .ok()?;
        self.rows.get(at)
    }

    /// Puts an assignment in force in place of the shard's former one.
    pub fn set(&mut self, row: Assignment) {
        match self.rows.binary_search_by(|old| old.shard.cmp(&row.shard)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Returns the intent for `shard`, if one is written.
    #[must_use]
    pub fn intent(&self, shard: &ShardId) -> Option<&Intent> {
        self.intents
            .iter()
            .find(|intent| intent.next.shard == *shard)
    }
}
