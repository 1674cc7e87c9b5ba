//! The demand of shards, added up over a window out of the routers' heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ShardId;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::HotDemand;
use carawayrill_core::time::Time;

use crate::heartbeats::ShardLoad;

/// The length of a window. Hot keys have to be found within minutes, and a shorter window would
/// take noise for load.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Thousandths in a whole.
const PER_MILLE: u64 = 1_000;

/// The loads of one shard in the present window.
#[derive(Debug, Default)]
struct WindowLoad {
    requests: u64,
    keys: BTreeMap<KeyHash, u64>,
}

/// Adds up loads.
#[derive(Debug, Default)]
pub struct DemandTable {
    window_start: Time,
    rows: BTreeMap<ShardId, WindowLoad>,
}

impl DemandTable {
    /// Takes in what one heartbeat says of its shards.
    pub fn on_loads(&mut self, loads: &[ShardLoad]) {
        for load in loads {
            let row = self.rows.entry(load.shard.clone()).or_default();
            row.requests += load.requests;
            if let Some((key, share)) = load.hot {
                *row.keys.entry(key).or_default() += load.requests * u64::from(share) / PER_MILLE;
            }
        }
    }

    /// Begins a window at `now` and drops what was added up.
    pub fn restart(&mut self, now: Time) {
        self.window_start = now;
        self.rows.clear();
    }

    /// Returns the demand of the window that has ended by `now`, if one has, and begins the next.
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
    /// Turns the loads of a window into a demand.
    fn demand(self, shard: ShardId) -> Demand {
        let keys = self.keys.into_iter();
        let hottest = keys.max_by_key(|&(key, load)| (load, std::cmp::Reverse(key)));
        Demand {
            hot: hottest.map(|(key, load)| HotDemand { key, load }),
            ..Demand::of_load(shard, self.requests)
        }
    }
}
