//! The capacity of each server, computed from the service times that fronts measure.

use std::collections::BTreeSet;
use std::collections::HashMap;

use carawayrill_core::direct::load;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use compact_str::CompactString;

use crate::state::Tables;

/// The assumed service time before any was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 100.0;
/// The share of its capacity with which a cold server counts.
const COLD_SHARE: f64 = 0.6;

/// Computes the capacity of each ready server of a service outside of the `excluded` data centres, in
/// requests per second.
pub(super) fn capacities(
    service: &ServiceId,
    tables: &Tables,
    excluded: &BTreeSet<DataCentreId>,
    service_times: &HashMap<ServerId, HashMap<CompactString, f64>>,
) -> Capacities {
    let measured = |server: &Server| load::mean(service_times.get(&server.id)?.values().copied());
    let known = tables.servers.ready_servers(service).filter_map(measured);
    let assumed = load::mean(known).unwrap_or(DEFAULT_SERVICE_MS);
    let mut capacities = Capacities::default();
    let ready = tables.servers.ready_servers(service);
    for server in ready.filter(|server| !excluded.contains(&server.data_centre)) {
        let service_ms = measured(server).unwrap_or(assumed).max(1.0);
        let cold = if server.cold_for.is_zero() {
            1.0
        } else {
            COLD_SHARE
        };
        let rate = f64::from(server.slots) * 1_000.0 / service_ms * cold;
        let limit = tables.limits.get(&server.id);
        let rate = limit.map_or(rate, |limit| rate.min(limit.per_second()));
        capacities.set(server.id.clone(), rate);
    }
    capacities
}
