//! The demand of shards, as routers report it.

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
        /// Its certain load, in requests of the window.
        pub load: u64,
    }
}

data! {
    /// Bytes between callers that entered in one region and a shard's owner.
    pub struct RegionBytes {
        /// The region in which the requests entered.
        pub region: RegionId,
        /// Bytes of requests and answers in the window.
        pub bytes: u64,
    }

    /// The demand of one shard over one window.
    pub struct Demand {
        /// The shard.
        pub shard: ShardId,
        /// Requests in the window.
        pub load: u64,
        /// Its hottest key, if one stands out.
        pub hot: Option<HotDemand>,
        /// Bytes by region; empty if they are not known.
        pub bytes: Vec<RegionBytes>,
    }
}

impl Demand {
    /// Makes a demand of requests alone.
    #[must_use]
    pub fn of_load(shard: ShardId, load: u64) -> Self {
        Self {
            shard,
            load,
            hot: None,
            bytes: Vec::new(),
        }
    }

    /// Returns the bytes that stay within `region` if the owner stands there.
    #[must_use]
    pub fn local_bytes(&self, region: &RegionId) -> u64 {
        let rows = self.bytes.iter();
        rows.filter(|row| row.region == *region)
            .map(|row| row.bytes)
            .sum()
    }
}
