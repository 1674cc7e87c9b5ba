//! A store with one block: conditional updates, outages and lost answers.

use std::collections::BTreeMap;

use carawayrill_core::assignment::Block;
use carawayrill_core::id::Version;

#[derive(Debug)]
pub struct Store {
    pub version: Version,
    pub block: Block,
    /// Every state that the block ever had.
    pub history: BTreeMap<Version, Block>,
    pub down: bool,
    pub slow_ms: u64,
    /// Of 100 writes, how many lose their answer after they took effect.
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
