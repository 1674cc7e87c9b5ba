//! The capacity of each server, computed from the service times that fronts measure.

use std::collections::BTreeSet;
use std::collections::HashMap;

use carawayrill_core::direct::load;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
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
    now: Time,
) -> Capacities {
    let measured = |server: &Server| load::mean(service_times.get(&server.id)?.values().copied());
    let known = tables.servers.ready_servers(service).filter_map(measured);
    let assumed = load::mean(known).unwrap_or(DEFAULT_SERVICE_MS);
    let cold_rate = tables.cold_rate(service);
    let mut capacities = Capacities::default();
    let ready = tables.servers.ready_servers(service);
    for server in ready.filter(|server| !excluded.contains(&server.data_centre)) {
        let service_ms = measured(server).unwrap_or(assumed).max(1.0);
        let full = f64::from(server.slots) * 1_000.0 / service_ms;
        let rate = match cold_rate {
            Some(cold) => {
                let cold = cold.per_second().min(full * COLD_SHARE);
                tables
                    .cold
                    .capacity(&server.id, server.born, full, cold, now)
            }
            None if server.cold_for.is_zero() => full,
            None => full * COLD_SHARE,
        };
        let limit = tables.limits.get(&server.id, now);
        let rate = limit.map_or(rate, |limit| rate.min(limit.per_second()));
        capacities.set(server.id.clone(), rate);
    }
    capacities
}
