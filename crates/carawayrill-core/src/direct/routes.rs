//! Route lookup by host and path prefix, with a weighted split between destinations.
//!
//! It is designed for a region that is lost under load: a destination without a server in the homes
//! of the route gets no requests, and the others share them.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use crate::direct::homes::Homes;
use crate::direct::manifest::Manifest;
use crate::direct::manifest::Route;
use crate::direct::priority::classes::SharedServices;
use crate::id::ServiceId;

/// A route and the state of its weighted split.
#[derive(Debug)]
struct RouteEntry {
    route: Arc<Route>,
    /// The current weight of each destination in smooth weighted round robin.
    credit: Vec<i64>,
}

impl RouteEntry {
    fn new(route: &Route) -> Self {
        Self {
            route: Arc::new(route.clone()),
            credit: vec![0; route.destinations.len()],
        }
    }

    /// Returns the next destination for which `has_server` holds, by smooth weighted round robin;
    /// `None` if it holds for none.
    ///
    /// In each cycle of as many requests as the sum of the weights, each destination is chosen
    /// exactly as often as its weight, so that the split is exact over short periods too.
    fn next_destination(&mut self, has_server: impl Fn(&ServiceId) -> bool) -> Option<ServiceId> {
        let destinations = &self.route.destinations;
        let mut total = 0;
        let mut best: Option<usize> = None;
        for (index, destination) in destinations.iter().enumerate() {
            if !has_server(&destination.service) {
                continue;
            }
            let weight = i64::from(destination.weight);
            total += weight;
            self.credit[index] += weight;
            if best.is_none_or(|best| self.credit[index] > self.credit[best]) {
                best = Some(index);
            }
        }
        let best = best?;
        self.credit[best] -= total;
        Some(destinations[best].service.clone())
    }

    /// Returns the match for the next request.
    fn next_match(
        &mut self,
        has_server: impl Fn(&Homes, &ServiceId) -> bool,
    ) -> Option<RouteMatch> {
        let route = Arc::clone(&self.route);
        let is_checked = route.homes.is_restricted() && route.destinations.len() > 1;
        let in_home =
            self.next_destination(|service| !is_checked || has_server(&route.homes, service));
        let has_home_server = in_home.is_some();
        let service = in_home.or_else(|| self.next_destination(|_service| true))?;
        Some(RouteMatch {
            route,
            service,
            has_home_server,
        })
    }
}

/// The routes of one manifest, found by host and longest path prefix.
///
/// # Examples
///
/// ```
/// use carawayrill_core::direct::manifest::Manifest;
/// use carawayrill_core::direct::routes::Routes;
///
/// let mut routes = Routes::new(&Manifest::default());
/// let has_server = |_homes: &_, _service: &_| true;
/// assert!(routes.find("forms.example", "/a/1", has_server).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Routes {
    /// The routes by host, longest prefix first.
    hosts: HashMap<CompactString, Vec<RouteEntry>>,
    shared_services: SharedServices,
}

/// The route and destination of one request.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// The matched route.
    pub route: Arc<Route>,
    /// The destination that the split chose for this request.
    pub service: ServiceId,
    /// Whether a destination of the split has a server in the homes of the route. It is not checked,
    /// and `true`, for a route without homes or without a split.
    pub has_home_server: bool,
}

impl Routes {
    /// Builds the route table of a manifest.
    #[must_use]
    pub fn new(manifest: &Manifest) -> Self {
        let mut hosts: HashMap<CompactString, Vec<RouteEntry>> = HashMap::new();
        for route in &manifest.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(RouteEntry::new(route));
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self {
            hosts,
            shared_services: SharedServices::new(manifest),
        }
    }

    /// Returns the services that routes of different priority share.
    #[must_use]
    pub fn shared_services(&self) -> &SharedServices {
        &self.shared_services
    }

    /// Finds the route of a request and the next destination of its split.
    ///
    /// A port in `host` is ignored. `has_server` returns whether a service has a server in the given
    /// homes; a destination without one receives no share of a split.
    pub fn find(
        &mut self,
        host: &str,
        path: &str,
        has_server: impl Fn(&Homes, &ServiceId) -> bool,
    ) -> Option<RouteMatch> {
        let name = host.split(':').next().unwrap_or(host);
        let lower = CompactString::from(name.to_ascii_lowercase());
        let entries = self.hosts.get_mut(&lower)?;
        let entry = entries
            .iter_mut()
            .find(|entry| path.starts_with(entry.route.prefix.as_str()))?;
        entry.next_match(has_server)
    }
}
