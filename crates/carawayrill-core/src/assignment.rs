//! Assignments: the server that owns each shard, and the router that is the shard's home.

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
    /// Identifies a block of shards, the unit in which assignments are stored.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct BlockId {
        /// The service of the shards.
        pub service: ServiceId,
        /// The block's index within the service.
        pub index: u32,
    }

    /// The reason of an assignment, shown to operators.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Reason {
        /// The shard had no owner before.
        Initial,
        /// The owner of the shard was lost.
        ServerLost,
        /// The home router of the shard was lost.
        HomeLost,
        /// The owner or the home is draining.
        Drain,
        /// The shard was moved to balance the load.
        Balance,
        /// The shard holds a hot key that was split out of its range.
        HotKey,
    }

    /// The owner and the home of one shard, with the standbys that may take over.
    pub struct Assignment {
        /// The assigned shard.
        pub shard: ShardId,
        /// The server that owns the shard.
        pub owner: ServerId,
        /// The server that the home may activate without a controller if the owner is lost.
        pub standby: Option<ServerId>,
        /// The only router that sends requests to the owner.
        pub home: RouterId,
        /// The incarnation of the home. A later incarnation of the same router is not the home.
        #[serde(default)]
        pub home_run: Incarnation,
        /// The router that may take over without a controller, under the reserved term, if the home
        /// is lost.
        pub standby_home: Option<RouterId>,
        /// The incarnation of the standby home.
        #[serde(default)]
        pub standby_home_run: Incarnation,
        /// The lowest token of grants under this assignment. Its term is even.
        pub token: Token,
        /// The reason of the assignment.
        pub reason: Reason,
        /// The time at which the assignment was recorded.
        pub since: WallTime,
    }

    /// A planned change that is written to the store before there is evidence that the authority of
    /// the former home and owner has ended.
    pub struct Intent {
        /// The planned assignment.
        pub next: Assignment,
        /// The controller that wrote the intent.
        pub by: ControllerId,
        /// The time at which the intent was written.
        pub written: WallTime,
    }

    /// The stored object of one block: the assignments in force and the pending intents.
    ///
    /// Rows are sorted by shard.
    pub struct Block {
        /// The id of the block.
        pub id: BlockId,
        /// The assignments in force.
        pub rows: Vec<Assignment>,
        /// The changes that wait for evidence, at most one for each shard.
        pub intents: Vec<Intent>,
    }
}

impl fmt::Display for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl Assignment {
    /// Returns whether `next` has the same home and owner, so that the home may continue to send
    /// requests while the change is written.
    #[must_use]
    pub fn has_same_home_and_owner(&self, next: &Self) -> bool {
        let same_home = self.home == next.home && self.home_run == next.home_run;
        same_home && self.owner == next.owner
    }
}

impl Block {
    /// Creates a block without assignments.
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

    /// Inserts an assignment, or replaces the shard's former one.
    pub fn set(&mut self, row: Assignment) {
        match self.rows.binary_search_by(|old| old.shard.cmp(&row.shard)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Returns the pending intent for `shard`.
    #[must_use]
    pub fn intent(&self, shard: &ShardId) -> Option<&Intent> {
        self.intents
            .iter()
            .find(|intent| intent.next.shard == *shard)
    }
}
