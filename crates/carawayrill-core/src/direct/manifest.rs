//! The declared configuration of a deployment: routes, services and request limits.

use std::time::Duration;

use compact_str::CompactString;

use crate::counter;
use crate::direct::homes::Homes;
use crate::direct::limit::RequestRate;
use crate::id::ServiceId;

counter! {
    /// The version of a manifest. Versions increase, but not always by one.
    ManifestVersion;
}

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The requests are idempotent: they may be retried even if they may have run.
    Idempotent,
    /// Each request of a caller may run at most once.
    AtMostOnce,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// The rules for requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// The host, in lower case and without a port.
    pub host: CompactString,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: CompactString,
    /// The services that receive the requests; never empty.
    pub destinations: Vec<Destination>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The response time objective. A later response, within `timeout`, is still useful.
    pub objective: Duration,
    /// The maximum number of attempts of one request.
    pub max_tries: u32,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// The regions to which the requests are restricted.
    pub homes: Homes,
}

/// A group of servers that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The maximum number of connections that each server accepts, from all fronts together.
    pub max_connections: u32,
    /// Whether each key has exactly one server that may serve it.
    pub keyed: bool,
    /// The requests a second that a cold server takes from all fronts together; `None` if that is
    /// not limited.
    pub cold_limit: Option<RequestRate>,
}

/// The limits of callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving a request head.
    pub header_timeout: Duration,
    /// The time after which an idle keep-alive connection is closed.
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

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Manifest {
    /// The version of this configuration.
    pub version: ManifestVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// The limits of callers' requests.
    pub limits: CallerLimits,
    /// The invalid entries that were ignored when the manifest was decoded, each with its reason.
    pub ignored: Vec<CompactString>,
}

impl Manifest {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
