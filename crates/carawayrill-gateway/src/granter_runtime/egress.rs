//! Derives the shares of requests that leave their region from the reports of the fronts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::direct::egress::RegionCapacity;
use carawayrill_core::direct::egress::facts::EgressShare;
use carawayrill_core::direct::egress::table::EgressChange;
use carawayrill_core::direct::egress::table::ServiceInputs;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_telemetry::emit;

use super::GranterRuntime;
use super::Report;
use super::capacity::capacities;
use super::state::State;
use crate::homes::HomeTable;
use crate::state::Tables;

impl GranterRuntime {
    /// Adds what a front has reported of the requests in its region.
    pub(super) fn add_egress_report(&self, report: &Report) {
        let regions = &self.shared.cfg.regions;
        let data_centre = report.data_centre.as_ref();
        let Some(region) = data_centre.and_then(|one| regions.get(one)) else {
            return;
        };
        let counted: Vec<_> = {
            let tables = self.shared.tables();
            let loads = report.service_loads.iter();
            loads
                .filter(|(service, _)| tables.has_egress_shares(service))
                .collect()
        };
        let mut state = self.state();
        for (service, load) in counted {
            state.egress.add_report(region, service, load);
        }
    }

    /// Brings the shares up to date, and logs those that have changed.
    pub(super) fn update_egress(&self, now: Time) {
        let Some(cfg) = self.shared.cfg.region_egress else {
            return;
        };
        let changes = {
            let mut state = self.state();
            if !state.egress.is_due(now) {
                return;
            }
            let tables = self.shared.tables();
            let services = state.egress_inputs(&tables, &self.shared.cfg.regions, now);
            drop(tables);
            state.egress.update(&services, &cfg, now)
        };
        for change in changes {
            emit_change(change);
        }
    }

    /// Returns the shares of the requests that the fronts in a data centre accept.
    #[must_use]
    pub fn egress_of(&self, data_centre: &DataCentreId) -> Vec<EgressShare> {
        let cfg = &self.shared.cfg;
        let region = cfg.region_egress.and_then(|_| cfg.regions.get(data_centre));
        region.map_or_else(Vec::new, |region| self.state().egress.shares_of(region))
    }
}

impl State {
    /// Collects the capacity of each unkeyed service by region.
    fn egress_inputs(
        &self,
        tables: &Tables,
        regions: &BTreeMap<DataCentreId, RegionId>,
        now: Time,
    ) -> BTreeMap<ServiceId, ServiceInputs> {
        let is_read = tables.servers_read && tables.evacuations.is_read();
        let Some(manifest) = tables.manifest.as_ref().filter(|_| is_read) else {
            return BTreeMap::new();
        };
        let evacuated = tables.evacuated_data_centres();
        let unkeyed = manifest.services.iter().filter(|service| !service.keyed);
        let inputs = unkeyed.map(|service| {
            let inputs = ServiceInputs {
                regions: self.region_capacities(&service.name, tables, regions, &evacuated, now),
                ..time_limits(manifest, &service.name)
            };
            (service.name.clone(), inputs)
        });
        inputs.collect()
    }

    fn region_capacities(
        &self,
        service: &ServiceId,
        tables: &Tables,
        regions: &BTreeMap<DataCentreId, RegionId>,
        evacuated: &BTreeSet<DataCentreId>,
        now: Time,
    ) -> BTreeMap<RegionId, RegionCapacity> {
        let rates = capacities(service, tables, evacuated, &self.service_times, now);
        let mut found: BTreeMap<RegionId, RegionCapacity> = BTreeMap::new();
        let ready = tables.servers.ready_servers(service);
        for server in ready.filter(|server| rates.has(&server.id)) {
            let Some(region) = regions.get(&server.data_centre) else {
                continue;
            };
            let capacity = found.entry(region.clone()).or_default();
            capacity.per_second += rates.of(&server.id);
            capacity.slots += f64::from(server.slots);
            capacity.servers += 1.0;
            capacity.is_home = is_home(&tables.homes, service, &server.data_centre);
        }
        found
    }
}

/// Returns whether routes with homes, which send more than a few requests, need room there.
fn is_home(homes: &HomeTable, service: &ServiceId, data_centre: &DataCentreId) -> bool {
    homes.is_restricted(service) && homes.is_reserved(service, data_centre)
}

/// Returns the shortest objective and time limit of the routes to a service.
fn time_limits(manifest: &Manifest, service: &ServiceId) -> ServiceInputs {
    let routes = || {
        manifest.routes.iter().filter(|route| {
            let mut to = route.destinations.iter().filter(|to| to.weight > 0);
            to.any(|to| to.service == *service)
        })
    };
    ServiceInputs {
        objective: routes()
            .map(|route| route.objective)
            .min()
            .unwrap_or_default(),
        timeout: routes()
            .map(|route| route.timeout)
            .min()
            .unwrap_or_default(),
        regions: BTreeMap::new(),
    }
}

fn emit_change(change: EgressChange) {
    emit(EventKind::EgressShareChanged {
        service: change.service,
        from: change.from,
        to: change.to,
        milli_share: floor_to_u64(change.share * 1_000.0),
        offered_per_s: floor_to_u64(change.offered),
        capacity_per_s: floor_to_u64(change.capacity),
    });
}
