//! What all tasks of a gateway share: the tables, and who is told of their changes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::budget::RetryWindow;
use carawayrill_core::direct::fronts::DEFAULT_FRONT_COUNT;
use carawayrill_core::direct::fronts::FrontCount;
use carawayrill_core::direct::load;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::routes::RouteMatch;
use carawayrill_core::direct::routes::Routes;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::clock;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::spans::SpanTable;

/// The weight of a new request in the mean size of a route's requests.
const SIZE_GAIN: f64 = 0.05;
/// The size that is assumed of a route's requests before any was seen, in KiB.
const DEFAULT_KIB: f64 = 4.0;
/// The processor time of the strongest front that is assumed before the granter has told it, in
/// cores.
const ASSUMED_STRONGEST: f64 = 0.5;
/// The part of a front's connections to a server that may be kept idle is one in this many.
const KEPT_PART: u32 = 3;
/// The fewest connections that a front may have to a server.
const MIN_CONNECTIONS: u32 = 2;
/// The longest time that a server stays slow after its start; a longer report is not believed.
const MAX_COLD: Duration = Duration::from_mins(1);

/// The tables of a gateway.
#[derive(Debug)]
pub struct Tables {
    /// The manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// Its routes.
    pub routes: Routes,
    /// The listed servers.
    pub servers: Servers,
    /// Whether the list of servers was read.
    pub servers_read: bool,
    /// What is known of each server's load.
    pub loads: HashMap<ServerId, ServerLoad>,
    /// The spans of keyed services.
    pub spans: HashMap<ServiceId, SpanTable>,
    /// The retry budget of each service.
    pub retries: HashMap<ServiceId, RetryWindow>,
    /// The mean size of a route's requests and answers, in KiB.
    pub sizes: HashMap<compact_str::CompactString, f64>,
    /// Requests by key since the last report to the granter.
    pub demand: HashMap<ServiceId, BTreeMap<u16, u32>>,
    /// The speeds of servers as last told to the granter.
    pub told_speeds: HashMap<ServerId, f64>,
    /// The number of fronts that are alive.
    pub fronts: FrontCount,
    /// The processor time of the strongest front, in cores.
    pub strongest: f64,
    /// Randomness of decisions.
    pub rng: ChaCha8Rng,
}

/// What all tasks share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub cfg: Config,
    /// The metrics.
    pub metrics: Metrics,
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
}

impl Shared {
    /// Makes empty tables.
    #[must_use]
    pub fn new(cfg: Config, metrics: Metrics) -> Self {
        let seed = cfg.run;
        Self {
            cfg,
            metrics,
            tables: Mutex::new(Tables {
                manifest: None,
                routes: Routes::default(),
                servers: Servers::default(),
                servers_read: false,
                loads: HashMap::new(),
                spans: HashMap::new(),
                retries: HashMap::new(),
                sizes: HashMap::new(),
                demand: HashMap::new(),
                told_speeds: HashMap::new(),
                fronts: FrontCount::new(DEFAULT_FRONT_COUNT, clock::now()),
                strongest: ASSUMED_STRONGEST,
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Gives access to the tables. Never held across a wait.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells waiting requests that a table has changed.
    pub fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver of changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns how far a data centre is from this front.
    #[must_use]
    pub fn distance(&self, to: &DataCentreId) -> Distance {
        let here = &self.cfg.data_centre;
        if here == to {
            return Distance::SameDataCentre;
        }
        let region = |of: &DataCentreId| self.cfg.regions.get(of);
        if region(here).is_some() && region(here) == region(to) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}

impl Tables {
    /// Puts a manifest into force unless it is older than the present one.
    pub fn put_manifest(&mut self, manifest: Manifest) -> bool {
        let newer = self
            .manifest
            .as_ref()
            .is_none_or(|present| present.version < manifest.version);
        if newer {
            self.routes = Routes::new(&manifest);
            self.manifest = Some(Arc::new(manifest));
        }
        newer
    }

    /// Finds the route of a request.
    pub fn find(&mut self, host: &str, path: &str) -> Option<RouteMatch> {
        self.routes.find(host, path)
    }

    /// Returns the mean service time of a service's servers, in milliseconds.
    #[must_use]
    pub fn service_ms(&self, service: &ServiceId, now: Time) -> Option<f64> {
        let known = self
            .servers
            .ready_servers(service)
            .filter_map(|server| self.loads.get(&server.id)?.service_ms(now));
        load::mean(known)
    }

    /// Returns the row of a server's load, made anew if there is none.
    pub fn load(&mut self, server: &Server, now: Time) -> &mut ServerLoad {
        if !self.loads.contains_key(&server.id) {
            let service_ms = self.service_ms(&server.service, now);
            let row = new_load(server, service_ms, now);
            self.loads.insert(server.id.clone(), row);
        }
        let fronts = self.fronts.get();
        let row = self
            .loads
            .get_mut(&server.id)
            .unwrap_or_else(|| unreachable!("the row was just made"));
        row.set_fronts(fronts);
        row
    }

    /// Drops the rows of servers that are not listed any more.
    pub fn drop_old_loads(&mut self) {
        let servers = &self.servers;
        self.loads
            .retain(|id, load| servers.get(id).is_some() || load.in_flight() > 0);
    }

    /// Returns one server as a candidate for a request; `mean_ms` is the mean service time of the
    /// service's servers, if one was measured.
    pub fn candidate(
        &mut self,
        server: &Server,
        distance: Distance,
        mean_ms: Option<f64>,
        now: Time,
    ) -> Candidate {
        let share = self.connection_share(&server.service);
        let load = self.load(server, now);
        if let Some(mean_ms) = mean_ms {
            load.set_assumed_service_ms(mean_ms);
        }
        as_candidate(server, load, distance, share, now)
    }

    /// Returns the servers of a service that take requests, as candidates for one.
    pub fn candidates(
        &mut self,
        service: &ServiceId,
        distance: impl Fn(&DataCentreId) -> Distance,
        mean_ms: Option<f64>,
        now: Time,
    ) -> Vec<Candidate> {
        let share = self.connection_share(service);
        let fronts = self.fronts.get();
        let loads = &mut self.loads;
        let ready = self.servers.ready_servers(service);
        ready
            .map(|server| {
                // The id is copied only for a server without a row.
                if !loads.contains_key(&server.id) {
                    loads.insert(server.id.clone(), new_load(server, mean_ms, now));
                }
                let load = loads
                    .get_mut(&server.id)
                    .unwrap_or_else(|| unreachable!("the row was just made"));
                load.set_fronts(fronts);
                if let Some(mean_ms) = mean_ms {
                    load.set_assumed_service_ms(mean_ms);
                }
                as_candidate(server, load, distance(&server.data_centre), share, now)
            })
            .collect()
    }

    /// Returns this front's part of the connections that each server of a service accepts.
    #[must_use]
    pub fn connection_share(&self, service: &ServiceId) -> u32 {
        let max = self
            .manifest
            .as_ref()
            .and_then(|manifest| manifest.service(service))
            .map_or(u32::MAX, |service| service.max_connections);
        (max / self.fronts.get()).max(MIN_CONNECTIONS)
    }

    /// Returns the idle connections that this front may keep to each server of a service.
    #[must_use]
    pub fn kept_connections(&self, service: &ServiceId) -> u32 {
        (self.connection_share(service) / KEPT_PART).max(1)
    }

    /// Returns the expected size of a route's requests and answers, in KiB.
    #[must_use]
    pub fn size_kib(&self, route: &str) -> f64 {
        self.sizes.get(route).copied().unwrap_or(DEFAULT_KIB)
    }

    /// Takes in the size of a request with its answer.
    pub fn note_size(&mut self, route: &compact_str::CompactString, bytes: usize) {
        let kib = bytes as f64 / 1_024.0;
        let mean = self.sizes.entry(route.clone()).or_insert(kib);
        *mean += (kib - *mean) * SIZE_GAIN;
    }

    /// Notes a request for a key.
    pub fn note_key(&mut self, service: &ServiceId, key: u16) {
        *self
            .demand
            .entry(service.clone())
            .or_default()
            .entry(key)
            .or_insert(0) += 1;
    }

    /// Returns the retry budget of a service.
    pub fn budget(&mut self, service: &ServiceId, cfg: &Config) -> &mut RetryWindow {
        self.retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(cfg.retries))
    }
}

/// Makes the row of a server of whose load nothing is known.
fn new_load(server: &Server, service_ms: Option<f64>, now: Time) -> ServerLoad {
    let cold = server.cold_for.min(MAX_COLD);
    ServerLoad::new(server.slots, cold, service_ms, now)
}

/// Puts together what the choice of a server depends on.
fn as_candidate(
    server: &Server,
    load: &ServerLoad,
    distance: Distance,
    connections: u32,
    now: Time,
) -> Candidate {
    Candidate {
        server: server.id.clone(),
        distance,
        response_ms: load.response_ms(now),
        service_rounds: load.service_rounds(now),
        failure_cost_ms: load.failure_cost_ms(now),
        usable: load.in_flight() < connections && load.backoff_until() <= now,
    }
}

/// A request that counts as being at a server until this is ended or dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    server: ServerId,
    sent: Time,
    total_at_send: f64,
    ended: bool,
}

impl InFlight {
    /// Notes that a request is about to be sent to a server.
    #[must_use]
    pub fn begin(shared: &Arc<Shared>, server: &Server) -> Self {
        let now = clock::now();
        let mut tables = shared.tables();
        let load = tables.load(server, now);
        let total_at_send = load.expected_total(now);
        load.begin_request();
        drop(tables);
        Self {
            shared: Arc::clone(shared),
            server: server.id.clone(),
            sent: now,
            total_at_send,
            ended: false,
        }
    }

    /// Returns the number of requests that were expected at the server before this one.
    #[must_use]
    pub fn total_at_send(&self) -> f64 {
        self.total_at_send
    }

    /// Notes the end of the request.
    pub fn end(mut self, how: AttemptResult, report: Option<LoadReport>) {
        self.finish(how, report);
    }

    fn finish(&mut self, how: AttemptResult, report: Option<LoadReport>) {
        self.ended = true;
        let now = clock::now();
        let took = Duration::from_millis(millis(now.since(self.sent)));
        let mut tables = self.shared.tables();
        if let Some(load) = tables.loads.get_mut(&self.server) {
            load.end_request(now, how, took, self.total_at_send);
            if let Some(report) = report {
                load.apply_report(now, report);
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptResult::Unknown, None);
        }
    }
}
