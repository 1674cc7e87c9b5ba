//! The routing table, which maps keys to shards and shards to assignments.
//!
//! Each router has one. It is keyed by shard, not by key, so its size is proportional to the number
//! of shards. Blocks are applied by version, and a block never returns to an older version.

use std::collections::HashMap;
use std::sync::Arc;

use crate::assignment::Assignment;
use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::id::KeyHash;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::id::Version;

/// The assignments of all shards of all services.
///
/// # Examples
///
/// ```
/// use carawayrill_core::id::KeyHash;
/// use carawayrill_core::id::ServiceId;
/// use carawayrill_core::route::RouteTable;
///
/// let forms = ServiceId::try_from("forms")?;
/// let table = RouteTable::default();
/// let shard = table.shard_of(&forms, KeyHash::of(b"leicester"), 64);
/// assert_eq!(forms, shard.service);
/// assert!(table.row(&shard).is_none());
/// # Ok::<(), carawayrill_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<ServiceId, ServiceRoutes>,
    blocks: HashMap<BlockId, AppliedBlock>,
}

/// The rows of one service.
#[derive(Debug, Default)]
struct ServiceRoutes {
    ranges: Vec<Option<Arc<Assignment>>>,
    hot: HashMap<KeyHash, Arc<Assignment>>,
}

/// The last applied version of a block, and the shards in it.
#[derive(Debug)]
struct AppliedBlock {
    version: Version,
    shards: Vec<ShardId>,
}

impl ServiceRoutes {
    /// Inserts, replaces or removes the row of a shard.
    fn put(&mut self, part: ShardPart, row: Option<Arc<Assignment>>) {
        match part {
            ShardPart::Range(index) => self.put_range(index as usize, row),
            ShardPart::Hot(key) => {
                if let Some(row) = row {
                    self.hot.insert(key, row);
                } else {
                    self.hot.remove(&key);
                }
            }
        }
    }

    fn put_range(&mut self, index: usize, row: Option<Arc<Assignment>>) {
        if index >= self.ranges.len() {
            self.ranges.resize(index + 1, None);
        }
        self.ranges[index] = row;
    }
}

impl RouteTable {
    /// Applies a block. Returns false and changes nothing unless `version` is higher than the last
    /// applied version of that block.
    pub fn apply(&mut self, version: Version, block: Block) -> bool {
        let previous = self.blocks.get(&block.id);
        if previous.is_some_and(|applied| applied.version >= version) {
            return false;
        }
        let routes = self.services.entry(block.id.service.clone()).or_default();
        for shard in previous.iter().flat_map(|applied| &applied.shards) {
            routes.put(shard.part, None);
        }
        let shards = block.rows.iter().map(|row| row.shard.clone()).collect();
        for row in block.rows {
            routes.put(row.shard.part, Some(Arc::new(row)));
        }
        self.blocks
            .insert(block.id, AppliedBlock { version, shards });
        true
    }

    /// Returns the last applied version of a block, or 0 if there is none.
    #[must_use]
    pub fn version(&self, block: &BlockId) -> Version {
        self.blocks
            .get(block)
            .map_or_else(Version::default, |applied| applied.version)
    }

    /// Returns the shard of a key: its own if it was split out as a hot key, otherwise its hash
    /// range.
    #[must_use]
    pub fn shard_of(&self, service: &ServiceId, key: KeyHash, ranges: u32) -> ShardId {
        let split = self
            .services
            .get(service)
            .is_some_and(|routes| routes.hot.contains_key(&key));
        if split {
            ShardId::hot(service.clone(), key)
        } else {
            ShardId::range(service.clone(), key.range_of(ranges))
        }
    }

    /// Returns the assignment of a shard.
    #[must_use]
    pub fn row(&self, shard: &ShardId) -> Option<&Arc<Assignment>> {
        let routes = self.services.get(&shard.service)?;
        match shard.part {
            ShardPart::Range(index) => routes.ranges.get(index as usize)?.as_ref(),
            ShardPart::Hot(key) => routes.hot.get(&key),
        }
    }

    /// Returns the standby home of the first shard that is owned by `server`, has the home `home`
    /// and has a standby home. It searches all rows.
    #[must_use]
    pub fn standby_home_of(&self, server: &ServerId, home: &RouterId) -> Option<RouterId> {
        let mut rows = self
            .rows()
            .filter(|row| row.owner == *server && row.home == *home);
        rows.find_map(|row| row.standby_home.clone())
    }

    /// Returns all assignments, in no particular order.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Assignment>> {
        self.services
            .values()
            .flat_map(|routes| routes.ranges.iter().flatten().chain(routes.hot.values()))
    }
}

/// Returns the block that contains a shard, given the service's number of ranges and of shards in a
/// block. The shard of a hot key is in the block of the range from which it was split out.
#[must_use]
pub fn block_of(shard: &ShardId, ranges: u32, shards_per_block: u32) -> BlockId {
    let range = match shard.part {
        ShardPart::Range(index) => index,
        ShardPart::Hot(key) => key.range_of(ranges),
    };
    BlockId {
        service: shard.service.clone(),
        index: range / shards_per_block.max(1),
    }
}
