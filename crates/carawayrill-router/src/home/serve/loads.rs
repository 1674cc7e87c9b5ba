//! Counts the load of each shard between two heartbeats. The controller uses it for placement.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carawayrill_core::answer::traffic::CrossRegionTraffic;
use carawayrill_core::answer::traffic::TrafficTable;
use carawayrill_core::hot::Sketch;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ShardId;
use carawayrill_proto::wire;

/// The number of keys tracked for each shard. A key with more than 1/8 of the requests is always
/// found.
const TRACKED_KEYS_PER_SHARD: usize = 8;
/// The minimum share of a shard's requests at which its hottest key is reported, in thousandths.
const MIN_HOT_SHARE: u32 = 100;

/// The counts of one shard.
#[derive(Debug)]
struct ShardCounts {
    requests: u64,
    keys: Sketch,
}

impl Default for ShardCounts {
    fn default() -> Self {
        Self {
            requests: 0,
            keys: Sketch::new(TRACKED_KEYS_PER_SHARD),
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    shards: BTreeMap<ShardId, ShardCounts>,
    traffic: TrafficTable,
}

/// The loads since the last heartbeat.
#[derive(Debug, Default)]
pub(super) struct Loads {
    counts: Mutex<Counts>,
}

impl Loads {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request for a key.
    pub(super) fn count(&self, shard: &ShardId, key: KeyHash) {
        let mut counts = self.lock();
        if !counts.shards.contains_key(shard) {
            counts.shards.insert(shard.clone(), ShardCounts::default());
        }
        if let Some(row) = counts.shards.get_mut(shard) {
            row.requests += 1;
            row.keys.add(key);
        }
    }

    /// Counts bytes sent from one region to another. Returns the number of bytes that crossed regions.
    pub(super) fn count_bytes(
        &self,
        shard: &ShardId,
        from: &RegionId,
        to: &RegionId,
        bytes: u64,
    ) -> u64 {
        self.lock().traffic.count(shard, from, to, bytes)
    }

    /// Returns the bytes that crossed regions since the process started, by service and regions.
    pub(super) fn cross_region_traffic(&self) -> Vec<CrossRegionTraffic> {
        self.lock().traffic.cross_region_traffic()
    }

    /// Returns and resets the counts.
    pub(super) fn take(&self) -> Vec<wire::ShardLoad> {
        let mut counts = self.lock();
        let bytes = counts.traffic.take_shard_bytes();
        let shards = std::mem::take(&mut counts.shards);
        drop(counts);
        let mut loads: BTreeMap<_, _> = shards
            .into_iter()
            .map(|(shard, counts)| (shard.clone(), load_of(&shard, &counts)))
            .collect();
        for (shard, bytes) in bytes {
            let load = loads
                .entry(shard.clone())
                .or_insert_with(|| wire::ShardLoad {
                    shard: shard.to_string(),
                    ..wire::ShardLoad::default()
                });
            load.cross_region_bytes = bytes;
        }
        loads.into_values().collect()
    }
}

fn load_of(shard: &ShardId, counts: &ShardCounts) -> wire::ShardLoad {
    let load = wire::ShardLoad {
        shard: shard.to_string(),
        requests: counts.requests,
        ..wire::ShardLoad::default()
    };
    let Some(hottest) = counts.keys.top(1).first().copied() else {
        return load;
    };
    let thousandths = counts.keys.share(hottest).times(1_000);
    let hot_share = u32::try_from(thousandths).unwrap_or(u32::MAX);
    if hot_share < MIN_HOT_SHARE {
        return load;
    }
    wire::ShardLoad {
        hot_key: hottest.key.0,
        hot_share,
        ..load
    }
}
