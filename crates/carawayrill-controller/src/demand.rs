//! The demand of shards, summed over a time window from the routers' heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ShardId;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::HotDemand;
use carawayrill_core::time::Time;

use crate::heartbeats::ShardLoad;

/// Length of a window. Hot keys have to be found within minutes; in a shorter window, noise would
/// count as load.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Denominator of the reported shares, which are in thousandths.
const PER_MILLE: u64 = 1_000;

/// The load of one shard in the current window.
#[derive(Debug, Default)]
struct WindowLoad {
    requests: u64,
    keys: BTreeMap<KeyHash, u64>,
}

/// Sums of the reported loads in the current window.
#[derive(Debug, Default)]
pub struct DemandTable {
    window_start: Time,
    rows: BTreeMap<ShardId, WindowLoad>,
}

impl DemandTable {
    /// Adds the loads of one heartbeat.
    pub fn on_loads(&mut self, loads: &[ShardLoad]) {
        for load in loads {
            let row = self.rows.entry(load.shard.clone()).or_default();
            row.requests += load.requests;
            if let Some((key, share)) = load.hot {
                *row.keys.entry(key).or_default() += load.requests * u64::from(share) / PER_MILLE;
            }
        }
    }

    /// Starts a new window at `now` and discards the current sums.
    pub fn restart(&mut self, now: Time) {
        self.window_start = now;
        self.rows.clear();
    }

    /// Returns the demand of the current window and starts the next one, if the window has ended by
    /// `now`.
    pub fn take_window(&mut self, now: Time) -> Option<Vec<Demand>> {
        if now.since(self.window_start) < DEMAND_WINDOW {
            return None;
        }
        self.window_start = now;
        let rows = std::mem::take(&mut self.rows).into_iter();
        Some(rows.map(|(shard, load)| load.demand(shard)).collect())
    }
}

impl WindowLoad {
    /// Converts the load of a window into a demand.
    fn demand(self, shard: ShardId) -> Demand {
        let keys = self.keys.into_iter();
        let hottest = keys.max_by_key(|&(key, load)| (load, std::cmp::Reverse(key)));
        Demand {
            hot: hottest.map(|(key, load)| HotDemand { key, load }),
            ..Demand::of_load(shard, self.requests)
        }
    }
}
