//! Metrics of the leading controller.

use std::collections::BTreeMap;
use std::time::Duration;

use cadence::Gauged;
use cadence::StatsdClient;
use carawayrill_core::id::ServerId;
use carawayrill_core::measure::Ratio;
use carawayrill_core::measure::ServerLoad;
use carawayrill_core::measure::imbalance;
use carawayrill_core::placement::Demand;
use tokio::time::sleep;

use crate::leader::Leader;
use crate::view::StoreView;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges read from the tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gauges {
    /// Number of shards with an owner.
    pub shards: u64,
    /// Number of intents: changes that are announced and not in force yet.
    pub intents: u64,
    /// Number of routers with a member entry in the store.
    pub routers: u64,
}

impl Gauges {
    /// Computes the gauges of a view.
    #[must_use]
    pub fn of(view: &StoreView) -> Self {
        let intents: usize = view
            .blocks
            .values()
            .map(|block| block.value.intents.len())
            .sum();
        Self {
            shards: view.rows().count() as u64,
            intents: intents as u64,
            routers: view.members.len() as u64,
        }
    }
}

/// Returns the imbalance of a window's demand over the servers that own shards.
#[must_use]
pub fn imbalance_of(view: &StoreView, demand: &[Demand]) -> Ratio {
    let loads: BTreeMap<_, _> = demand.iter().map(|row| (&row.shard, row.load)).collect();
    let mut servers: BTreeMap<&ServerId, u64> = BTreeMap::new();
    for row in view.rows() {
        *servers.entry(&row.owner).or_default() += loads.get(&row.shard).copied().unwrap_or(0);
    }
    let servers: Vec<_> = servers
        .into_values()
        .map(|load| ServerLoad::new(load, 1))
        .collect();
    imbalance(&servers)
}

/// Sends metrics while this controller leads, in an endless loop. Metrics that can't be sent are
/// dropped.
pub async fn report(leader: Leader, metrics: StatsdClient) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let (gauges, ratio) = {
            let tables = leader.state.tables();
            if tables.leading_since.is_none() {
                continue;
            }
            (Gauges::of(&tables.view), tables.imbalance)
        };
        let _result = metrics.gauge("control.shards", gauges.shards);
        let _result = metrics.gauge("control.intents", gauges.intents);
        let _result = metrics.gauge("control.routers", gauges.routers);
        let _result = metrics.gauge("control.imbalance_thousandths", ratio.0);
    }
}
