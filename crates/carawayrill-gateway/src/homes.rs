//! Applies the homes of routes to what this front knows of the servers, and logs changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::direct::homes::Homes;
use carawayrill_core::direct::homes::services;
use carawayrill_core::direct::homes::services::KeyPlacement;
use carawayrill_core::direct::homes::services::Regions;
use carawayrill_core::direct::homes::services::RouteDestination;
use carawayrill_core::direct::homes::services::ServiceHomes;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::request_share::RequestShare;
use carawayrill_core::direct::routes::RouteMatch;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_telemetry::emit;
use compact_str::ToCompactString;

use crate::state::Shared;
use crate::state::Tables;

/// The homes of the routes in force.
#[derive(Debug)]
pub struct HomeTable {
    regions: Regions,
    services: ServiceHomes,
    /// The destinations of routes with homes that were last logged to have no server there.
    without_server: BTreeSet<RouteDestination>,
    /// The share of requests with homes at this front, and at all fronts if it is the granter.
    shares: BTreeMap<ServiceId, RequestShare>,
    /// The placement of the keys of each keyed service that was last logged.
    placements: BTreeMap<ServiceId, KeyPlacement>,
}

impl HomeTable {
    /// Creates the table of a front without a manifest.
    #[must_use]
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            services: ServiceHomes::default(),
            without_server: BTreeSet::new(),
            shares: BTreeMap::new(),
            placements: BTreeMap::new(),
        }
    }

    /// Applies the homes of a manifest.
    pub fn put_manifest(&mut self, manifest: &Manifest) {
        self.services = ServiceHomes::new(manifest);
    }

    /// Returns whether a data centre is in one of the homes.
    #[must_use]
    pub fn is_home(&self, homes: &Homes, data_centre: &DataCentreId) -> bool {
        homes.allows(self.regions.get(data_centre))
    }

    /// Returns whether routes with homes send more than a few requests to the service.
    #[must_use]
    pub fn is_restricted(&self, service: &ServiceId) -> bool {
        self.services.is_restricted(service) && self.is_significant(service)
    }

    fn is_significant(&self, service: &ServiceId) -> bool {
        let share = self.shares.get(service);
        share.is_some_and(RequestShare::is_significant)
    }

    /// Counts requests of a service that fronts have reported.
    pub fn record_load(&mut self, service: &ServiceId, load: &ServiceLoad, now: Time) {
        if self.services.is_restricted(service) {
            let share = self.shares.entry(service.clone()).or_default();
            share.record(load.with_homes, load.offered, now);
        }
    }

    /// Returns whether a data centre is in a home of a route to the service.
    #[must_use]
    pub fn is_reserved(&self, service: &ServiceId, data_centre: &DataCentreId) -> bool {
        self.services
            .is_reserved(service, self.regions.get(data_centre))
    }
}

impl Tables {
    /// Counts a request of a service, if routes with homes send to it or the granter decides how many
    /// requests leave their region.
    pub fn count_request(&mut self, service: &ServiceId, has_homes: bool) {
        if self.homes.services.is_restricted(service) || self.has_egress_shares(service) {
            let load = self.service_loads.entry(service.clone()).or_default();
            load.offered += 1;
            load.with_homes += u32::from(has_homes);
        }
    }

    /// Finds the route of a request. A destination of a split gets a share only if it has a server in
    /// the homes of the route.
    pub fn find_route(&mut self, host: &str, path: &str) -> Option<RouteMatch> {
        let (homes, servers) = (&self.homes, &self.servers);
        self.routes.find(host, path, |allowed, service| {
            let mut ready = servers.ready_servers(service);
            ready.any(|server| homes.is_home(allowed, &server.data_centre))
        })
    }

    /// Decides where homes of routes allow the keys of a service to be placed.
    #[must_use]
    pub fn key_placement_by_homes(&self, service: &ServiceId) -> KeyPlacement {
        let ready = self.servers.ready_servers(service);
        let usable = ready
            .map(|server| &server.data_centre)
            .filter(|data_centre| !self.evacuations.contains(data_centre));
        let is_significant = self.homes.is_significant(service);
        self.homes
            .services
            .key_placement(service, &self.homes.regions, usable, is_significant)
    }
}

impl Shared {
    /// Logs where the servers or the manifest have changed what homes of routes mean for services.
    pub fn record_homes(&self) {
        let mut tables = self.tables();
        let Some(manifest) = tables.manifest.clone().filter(|_| tables.servers_read) else {
            return;
        };
        let without = services::destinations_without_server(
            &manifest,
            &tables.homes.regions,
            &tables.servers,
        );
        let previous = std::mem::replace(&mut tables.homes.without_server, without.clone());
        let keyed = manifest.services.iter().filter(|service| service.keyed);
        let placements: BTreeMap<ServiceId, KeyPlacement> = keyed
            .map(|service| {
                let placement = tables.key_placement_by_homes(&service.name);
                (service.name.clone(), placement)
            })
            .collect();
        let placed = std::mem::replace(&mut tables.homes.placements, placements.clone());
        drop(tables);
        let restricted = placements
            .values()
            .filter(|placement| placement.is_restricted());
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.keys_restricted.set(count(restricted.count()));
        self.metrics.without_home_server.set(count(without.len()));
        emit_home_servers(without.difference(&previous), false);
        emit_home_servers(previous.difference(&without), true);
        for (service, placement) in placements {
            if placed.get(&service).cloned().unwrap_or_default() != placement {
                emit_placement(service, placement);
            }
        }
    }
}

fn emit_home_servers<'a>(changed: impl Iterator<Item = &'a RouteDestination>, listed: bool) {
    for destination in changed {
        emit(EventKind::HomeServers {
            route: destination.route.clone(),
            service: destination.service.clone(),
            listed,
        });
    }
}

fn emit_placement(service: ServiceId, placement: KeyPlacement) {
    emit(EventKind::KeysRestricted {
        service,
        placement: placement.name().into(),
        excluded: placement
            .excluded()
            .iter()
            .map(|data_centre| data_centre.to_compact_string())
            .collect(),
    });
}
