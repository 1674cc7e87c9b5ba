//! A store with one block, conditional updates, outages and lost replies.

use std::collections::BTreeMap;

use carawayrill_core::assignment::Block;
use carawayrill_core::id::Version;

#[derive(Debug)]
pub struct Store {
    pub version: Version,
    pub block: Block,
    /// All versions of the block.
    pub history: BTreeMap<Version, Block>,
    pub down: bool,
    pub slow_ms: u64,
    /// Percentage of writes that lose their reply or report a failure, whether they take effect or
    /// not.
    pub lost_reply_percent: u64,
}

impl Store {
    pub fn new(block: Block) -> Self {
        let version = Version(1);
        Self {
            version,
            history: BTreeMap::from([(version, block.clone())]),
            block,
            down: false,
            slow_ms: 0,
            lost_reply_percent: 0,
        }
    }

    pub fn write(&mut self, expected: Version, block: Block) -> Option<Version> {
        if expected != self.version {
            return None;
        }
        self.version = self.version.next();
        self.history.insert(self.version, block.clone());
        self.block = block;
        Some(self.version)
    }
}
