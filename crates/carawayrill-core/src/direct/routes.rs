//! Finds the route of a request and the destination of a split route.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use crate::direct::manifest::Manifest;
use crate::direct::manifest::Route;
use crate::id::ServiceId;

/// A route with the state of its split.
#[derive(Debug)]
struct RouteEntry {
    route: Arc<Route>,
    /// What each destination is due, in units of weight: smooth weighted round robin.
    credit: Vec<i64>,
}

impl RouteEntry {
    fn new(route: &Route) -> Self {
        Self {
            route: Arc::new(route.clone()),
            credit: vec![0; route.destinations.len()],
        }
    }

    /// Takes the destination that is due most.
    ///
    /// Every run of requests as long as the sum of the weights holds each destination exactly its
    /// weight's number of times, so that shares are kept also over short spans.
    fn next_destination(&mut self) -> ServiceId {
        let destinations = &self.route.destinations;
        let mut total = 0;
        let mut best = 0;
        for (index, destination) in destinations.iter().enumerate() {
            let weight = i64::from(destination.weight);
            total += weight;
            self.credit[index] += weight;
            if self.credit[index] > self.credit[best] {
                best = index;
            }
        }
        self.credit[best] -= total;
        destinations[best].service.clone()
    }
}

/// The routes of one manifest, by host and longest prefix.
///
/// # Examples
///
/// ```
/// use carawayrill_core::direct::manifest::Manifest;
/// use carawayrill_core::direct::routes::Routes;
///
/// let mut routes = Routes::new(&Manifest::default());
/// assert!(routes.find("forms.example", "/a/1").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Routes {
    /// The routes of each host, longest prefix first.
    hosts: HashMap<CompactString, Vec<RouteEntry>>,
}

/// Where one request goes.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Its route.
    pub route: Arc<Route>,
    /// The destination that was chosen for it.
    pub service: ServiceId,
}

impl Routes {
    /// Builds the table of a manifest.
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
        Self { hosts }
    }

    /// Finds the route of a request and takes the next destination of its split.
    ///
    /// `host` may have a port, which counts for nothing.
    pub fn find(&mut self, host: &str, path: &str) -> Option<RouteMatch> {
        let name = host.split(':').next().unwrap_or(host);
        let lower = CompactString::from(name.to_ascii_lowercase());
        let entries = self.hosts.get_mut(&lower)?;
        let entry = entries
            .iter_mut()
            .find(|entry| path.starts_with(entry.route.prefix.as_str()))?;
        let service = entry.next_destination();
        Some(RouteMatch {
            route: Arc::clone(&entry.route),
            service,
        })
    }
}
