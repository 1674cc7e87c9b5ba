//! Counts traffic between regions.

use std::collections::BTreeMap;

use crate::data;
use crate::id::RegionId;
use crate::id::ServiceId;
use crate::id::ShardId;

data! {
    /// Traffic of one service from one region to another.
    pub struct CrossRegionTraffic {
        /// The service.
        pub service: ServiceId,
        /// The sending region.
        pub from: RegionId,
        /// The receiving region.
        pub to: RegionId,
        /// Bytes since the process started.
        pub bytes: u64,
    }
}

/// Counts the bytes of requests and answers that cross regions.
///
/// The counts by service and pair of regions are reported as metrics. The counts by shard are sent
/// to placement with each heartbeat and then reset.
#[derive(Debug, Clone, Default)]
pub struct TrafficTable {
    services: BTreeMap<(ServiceId, RegionId, RegionId), u64>,
    shards: BTreeMap<ShardId, u64>,
}

impl TrafficTable {
    /// Counts `bytes` sent from one region to another. Returns `bytes`, or 0 if the regions are the
    /// same.
    pub fn count(&mut self, shard: &ShardId, from: &RegionId, to: &RegionId, bytes: u64) -> u64 {
        if from == to {
            return 0;
        }
        let pair = (shard.service.clone(), from.clone(), to.clone());
        *self.services.entry(pair).or_default() += bytes;
        *self.shards.entry(shard.clone()).or_default() += bytes;
        bytes
    }

    /// Returns all counts by service and pair of regions.
    #[must_use]
    pub fn cross_region_traffic(&self) -> Vec<CrossRegionTraffic> {
        let traffic = |((service, from, to), bytes): (&(ServiceId, RegionId, RegionId), &u64)| {
            CrossRegionTraffic {
                service: service.clone(),
                from: from.clone(),
                to: to.clone(),
                bytes: *bytes,
            }
        };
        self.services.iter().map(traffic).collect()
    }

    /// Returns the bytes of one service over all pairs of regions.
    #[must_use]
    pub fn service_bytes(&self, service: &ServiceId) -> u64 {
        let own = self.services.iter().filter(|((of, _, _), _)| of == service);
        own.map(|(_, bytes)| bytes).sum()
    }

    /// Returns the counts by shard since the last call, and resets them.
    pub fn take_shard_bytes(&mut self) -> Vec<(ShardId, u64)> {
        std::mem::take(&mut self.shards).into_iter().collect()
    }
}
