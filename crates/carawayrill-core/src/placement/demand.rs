//! Demand of shards, as reported by routers.

use crate::data;
use crate::id::KeyHash;
use crate::id::RegionId;
use crate::id::ShardId;
use crate::small_data;

small_data! {
    /// The hottest key of a shard.
    pub struct HotDemand {
        /// The key.
        pub key: KeyHash,
        /// Lower bound of its load, in requests in the window.
        pub load: u64,
    }
}

data! {
    /// Traffic between the owner of a shard and the callers whose requests enter in one region.
    pub struct RegionBytes {
        /// The region where the requests enter.
        pub region: RegionId,
        /// Bytes of requests and responses in the window.
        pub bytes: u64,
    }

    /// The demand of one shard over one window.
    pub struct Demand {
        /// The shard.
        pub shard: ShardId,
        /// Requests in the window.
        pub load: u64,
        /// The hottest key of the shard, if one is reported.
        pub hot: Option<HotDemand>,
        /// Bytes by region; empty if unknown.
        pub bytes: Vec<RegionBytes>,
    }
}

impl Demand {
    /// Creates a demand of `load` requests, without a hot key and without bytes.
    #[must_use]
    pub fn of_load(shard: ShardId, load: u64) -> Self {
        Self {
            shard,
            load,
            hot: None,
            bytes: Vec::new(),
        }
    }

    /// Returns the bytes that stay within `region` if the owner is in that region.
    #[must_use]
    pub fn local_bytes(&self, region: &RegionId) -> u64 {
        let rows = self.bytes.iter();
        rows.filter(|row| row.region == *region)
            .map(|row| row.bytes)
            .sum()
    }
}
