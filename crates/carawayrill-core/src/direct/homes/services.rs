//! What the homes of routes mean for the services that they send to.
//!
//! It is designed for changes of the manifest and the loss of a region under full load: keys leave
//! servers outside of the homes only while the homes have a server that could take them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::direct::manifest::Manifest;
use crate::direct::servers::Servers;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::id::ServiceId;

/// The region of each data centre.
pub type Regions = BTreeMap<DataCentreId, RegionId>;

/// A home region that a route names and no data centre has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownHome {
    /// The route.
    pub route: CompactString,
    /// The region.
    pub region: RegionId,
}

/// Removes the home regions that no data centre has from all routes, and returns them.
pub fn remove_unknown_homes(manifest: &mut Manifest, regions: &Regions) -> Vec<UnknownHome> {
    let known: BTreeSet<&RegionId> = regions.values().collect();
    let mut removed = Vec::new();
    for route in &mut manifest.routes {
        let unknown = route.homes.remove_unknown(|region| known.contains(region));
        removed.extend(unknown.into_iter().map(|region| UnknownHome {
            route: route.name.clone(),
            region,
        }));
    }
    removed
}

/// Where the keys of a service may be placed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum KeyPlacement {
    /// On all servers, as no route to the service has homes.
    #[default]
    Unrestricted,
    /// On all servers, as few requests are of routes with homes and others may be sent anywhere.
    FewRequests,
    /// Only on servers outside of these data centres.
    Excluded(BTreeSet<DataCentreId>),
    /// On all servers, as no region is a home of all routes to the service.
    NoCommonHome,
    /// On all servers, as the homes have no usable server.
    NoServer,
}

impl KeyPlacement {
    /// Returns the data centres whose servers may not hold keys.
    #[must_use]
    pub fn excluded(self) -> BTreeSet<DataCentreId> {
        match self {
            Self::Excluded(data_centres) => data_centres,
            Self::Unrestricted | Self::FewRequests | Self::NoCommonHome | Self::NoServer => {
                BTreeSet::new()
            }
        }
    }

    /// Returns whether some data centres' servers may not hold keys.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        matches!(self, Self::Excluded(data_centres) if !data_centres.is_empty())
    }

    /// Returns the name of the kind of placement, for the log.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unrestricted => "unrestricted",
            Self::FewRequests => "few-requests",
            Self::Excluded(_) => "homes",
            Self::NoCommonHome => "no-common-home",
            Self::NoServer => "no-server",
        }
    }
}

/// The home regions of all routes to one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct RegionSets {
    /// The regions that are a home of every route with homes.
    common: BTreeSet<RegionId>,
    /// The regions that are a home of any route.
    any: BTreeSet<RegionId>,
    /// Whether a route without homes sends to the service too.
    has_unrestricted: bool,
}

/// The home regions of the routes to each service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceHomes {
    /// Contains only services to which a route with homes sends.
    services: BTreeMap<ServiceId, RegionSets>,
}

impl ServiceHomes {
    /// Collects the homes of all routes.
    #[must_use]
    pub fn new(manifest: &Manifest) -> Self {
        let mut services: BTreeMap<ServiceId, RegionSets> = BTreeMap::new();
        let restricted = manifest
            .routes
            .iter()
            .filter(|one| one.homes.is_restricted());
        for route in restricted {
            let regions: BTreeSet<RegionId> = route.homes.iter().cloned().collect();
            for destination in &route.destinations {
                let sets = services
                    .entry(destination.service.clone())
                    .or_insert_with(|| RegionSets {
                        common: regions.clone(),
                        any: BTreeSet::new(),
                        has_unrestricted: false,
                    });
                sets.common.retain(|region| regions.contains(region));
                sets.any.extend(regions.iter().cloned());
            }
        }
        let unrestricted = manifest
            .routes
            .iter()
            .filter(|one| !one.homes.is_restricted());
        for destination in unrestricted.flat_map(|route| &route.destinations) {
            if let Some(sets) = services.get_mut(&destination.service) {
                sets.has_unrestricted = true;
            }
        }
        Self { services }
    }

    /// Returns whether a route with homes sends to the service.
    #[must_use]
    pub fn is_restricted(&self, service: &ServiceId) -> bool {
        self.services.contains_key(service)
    }

    /// Returns whether a region is a home of a route to the service.
    #[must_use]
    pub fn is_reserved(&self, service: &ServiceId, region: Option<&RegionId>) -> bool {
        let sets = self.services.get(service);
        sets.zip(region)
            .is_some_and(|(sets, region)| sets.any.contains(region))
    }

    /// Decides where the keys of a service may be placed. `usable` has the data centres of the
    /// servers that could hold them; one whose region is not known is no home. `is_significant` says
    /// whether more than a few of the service's requests are of routes with homes; otherwise these
    /// don't keep the keys from servers that all other requests may use.
    pub fn key_placement<'a>(
        &self,
        service: &ServiceId,
        regions: &Regions,
        usable: impl IntoIterator<Item = &'a DataCentreId>,
        is_significant: bool,
    ) -> KeyPlacement {
        let Some(sets) = self.services.get(service) else {
            return KeyPlacement::Unrestricted;
        };
        if sets.has_unrestricted && !is_significant {
            return KeyPlacement::FewRequests;
        }
        if sets.common.is_empty() {
            return KeyPlacement::NoCommonHome;
        }
        let is_home = |data_centre: &DataCentreId| {
            let region = regions.get(data_centre);
            region.is_some_and(|region| sets.common.contains(region))
        };
        let usable: BTreeSet<&DataCentreId> = usable.into_iter().collect();
        if !usable.iter().any(|data_centre| is_home(data_centre)) {
            return KeyPlacement::NoServer;
        }
        let all = usable.into_iter().chain(regions.keys());
        KeyPlacement::Excluded(all.filter(|one| !is_home(one)).cloned().collect())
    }
}

/// A route with homes and one of its destinations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteDestination {
    /// The route.
    pub route: CompactString,
    /// The destination.
    pub service: ServiceId,
}

/// Returns the destinations of routes with homes that have no server there.
#[must_use]
pub fn destinations_without_server(
    manifest: &Manifest,
    regions: &Regions,
    servers: &Servers,
) -> BTreeSet<RouteDestination> {
    let mut found = BTreeSet::new();
    let restricted = manifest
        .routes
        .iter()
        .filter(|one| one.homes.is_restricted());
    for route in restricted {
        for destination in &route.destinations {
            let mut listed = servers.ready_servers(&destination.service);
            if !listed.any(|server| route.homes.allows(regions.get(&server.data_centre))) {
                found.insert(RouteDestination {
                    route: route.name.clone(),
                    service: destination.service.clone(),
                });
            }
        }
    }
    found
}
