//! The declared configuration of a deployment: routes, services and limits of callers.

use std::time::Duration;

use compact_str::CompactString;

use crate::counter;
use crate::id::ServiceId;

counter! {
    /// The version of a manifest. Versions rise, not always by one.
    ManifestVersion;
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It may run at most once for each attempt of a caller.
    AtMostOnce,
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its share of the route's requests, relative to the other destinations.
    pub weight: u32,
}

/// Requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The host, in lower case and without a port.
    pub host: CompactString,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Where its requests go; never empty.
    pub destinations: Vec<Destination>,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is of full worth.
    pub objective: Duration,
    /// The most servers to which one request may be sent.
    pub max_tries: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
}

/// A group of servers that run the same requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The connections that each of its servers accepts from all callers together.
    pub max_connections: u32,
    /// Whether its servers own keys exclusively.
    pub keyed: bool,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head, in bytes.
    pub max_header_bytes: usize,
    /// The longest request body, in bytes.
    pub max_body_bytes: usize,
    /// The longest time that a request head may take.
    pub header_timeout: Duration,
    /// The longest time that a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Manifest {
    /// Its version.
    pub version: ManifestVersion,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Manifest {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
