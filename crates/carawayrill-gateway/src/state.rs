//! The state that all tasks of a gateway share, and notifications of its changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::budget::RetryWindow;
use carawayrill_core::direct::cold::ColdServers;
use carawayrill_core::direct::decline::BorneQueues;
use carawayrill_core::direct::evacuation::Evacuations;
use carawayrill_core::direct::fronts;
use carawayrill_core::direct::fronts::DEFAULT_FRONT_COUNT;
use carawayrill_core::direct::fronts::FrontCount;
use carawayrill_core::direct::knowledge::KnownHistories;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::direct::limit::ServerLimits;
use carawayrill_core::direct::load;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::quarantine::CrashTable;
use carawayrill_core::direct::reach::Detours;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::PeerKeys;
use carawayrill_core::direct::reach::PeerTable;
use carawayrill_core::direct::reach::ServerReach;
use carawayrill_core::direct::routes::Routes;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::direct::shutdown::ShutdownSchedule;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::buffer_limit::BufferLimit;
use crate::classes::ClassShares;
use crate::clock;
use crate::config::Config;
use crate::egress::EgressState;
use crate::homes::HomeTable;
use crate::metrics::Metrics;
use crate::spans::SpanTable;
use crate::waiting::WaitingRequests;

/// The weight of a new request in the moving average of a route's request sizes.
const SIZE_EWMA_WEIGHT: f64 = 0.05;
/// The assumed request size of a route before the first request, in KiB.
const DEFAULT_SIZE_KIB: f64 = 4.0;
/// The assumed processor time of the strongest front before the granter reports it, in cores.
const DEFAULT_STRONGEST_CORES: f64 = 0.5;

/// The routing state and load state of a gateway.
#[derive(Debug)]
pub struct Tables {
    /// The manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The routes of that manifest.
    pub routes: Routes,
    /// The homes of those routes.
    pub homes: HomeTable,
    /// The servers in the store.
    pub servers: Servers,
    /// Whether the list of servers has been read.
    pub servers_read: bool,
    /// When the list of servers was last known to be complete.
    pub servers_confirmed: Option<Time>,
    /// The data centres that are being evacuated.
    pub evacuations: Evacuations,
    /// The estimated load of each server.
    pub loads: HashMap<ServerId, ServerLoad>,
    /// The longest queues that servers of each service have borne.
    pub borne_queues: BorneQueues,
    /// The limits that servers have named, and those of cold servers.
    pub limits: ServerLimits,
    /// The servers that are cold.
    pub cold: ColdServers,
    /// The requests under which servers crashed.
    pub crashes: CrashTable,
    /// The front that tries suspect ones of these, if it is another one.
    pub trier: Option<Peer>,
    /// Whether this front opens connections to servers.
    pub reach: ServerReach,
    /// The fronts that take this front's requests while it is cut off from the servers.
    pub peers: PeerTable,
    /// The services whose servers other fronts are asked to reach for this one.
    pub detours: Detours,
    /// The schedule of this front's graceful shutdown, once that has begun.
    pub shutdown: Option<ShutdownSchedule>,
    /// The keys with which fronts prove to each other that they are fronts.
    pub peer_keys: PeerKeys,
    /// The spans of each keyed service.
    pub spans: HashMap<ServiceId, SpanTable>,
    /// The retry budget of each service.
    pub retry_budgets: HashMap<ServiceId, RetryWindow>,
    /// The mean size of request plus response of each route, in KiB.
    pub route_sizes_kib: HashMap<compact_str::CompactString, f64>,
    /// The share of each class in the requests of the services that classes share.
    pub class_shares: ClassShares,
    /// How many requests leave the region of this front.
    pub egress: EgressState,
    /// The requests of each service since the last report to the granter.
    pub service_loads: HashMap<ServiceId, ServiceLoad>,
    /// The number of requests by key since the last report to the granter.
    pub demand: HashMap<ServiceId, BTreeMap<u16, u32>>,
    /// The service time of each server as last reported to the granter, in milliseconds.
    pub reported_service_times: HashMap<ServerId, f64>,
    /// The number of fronts that are alive.
    pub fronts: FrontCount,
    /// The processor time of the strongest front, in cores.
    pub strongest_cores: f64,
    /// The random number generator for decisions.
    pub rng: ChaCha8Rng,
}

/// The state that all tasks share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub cfg: Config,
    /// The metrics.
    pub metrics: Metrics,
    /// The limit on the bytes that are held for callers and servers.
    pub buffers: Arc<BufferLimit>,
    /// The requests that wait for a server.
    pub waiting: WaitingRequests,
    /// How far this front knows the history of the store.
    pub known: watch::Sender<KnownHistories>,
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
    crash_observed: Notify,
    /// Notified when servers of one service are not reached.
    pub(crate) reach_suspected: Notify,
}

impl Shared {
    /// Creates the state with empty tables.
    #[must_use]
    pub fn new(cfg: Config, metrics: Metrics) -> Self {
        let seed = cfg.incarnation;
        let servers = Servers::new(cfg.min_lapse, cfg.entry_expiry);
        let fronts = FrontCount::new(DEFAULT_FRONT_COUNT, cfg.retry_budget.window, clock::now());
        let fronts = if cfg.first_start {
            fronts.without_predecessor()
        } else {
            fronts
        };
        let evacuations = Evacuations::new(cfg.evacuation_bound);
        let egress = EgressState::new(cfg.region_egress.is_some());
        let homes = HomeTable::new(cfg.regions.clone());
        let buffers = BufferLimit::new(cfg.max_buffered_bytes, metrics.held_bytes.clone());
        Self {
            cfg,
            metrics,
            buffers,
            waiting: WaitingRequests::default(),
            known: watch::Sender::default(),
            tables: Mutex::new(Tables {
                manifest: None,
                routes: Routes::default(),
                homes,
                servers,
                servers_read: false,
                servers_confirmed: None,
                evacuations,
                loads: HashMap::new(),
                borne_queues: BorneQueues::default(),
                limits: ServerLimits::default(),
                cold: ColdServers::default(),
                crashes: CrashTable::default(),
                trier: None,
                reach: ServerReach::default(),
                peers: PeerTable::default(),
                detours: Detours::default(),
                shutdown: None,
                peer_keys: PeerKeys::default(),
                spans: HashMap::new(),
                retry_budgets: HashMap::new(),
                route_sizes_kib: HashMap::new(),
                class_shares: ClassShares::default(),
                egress,
                service_loads: HashMap::new(),
                demand: HashMap::new(),
                reported_service_times: HashMap::new(),
                fronts,
                strongest_cores: DEFAULT_STRONGEST_CORES,
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
            changed: watch::Sender::new(0),
            crash_observed: Notify::new(),
            reach_suspected: Notify::new(),
        }
    }

    /// Locks the tables. The guard must not be held across an await point.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this front waits longer than others before it calls the store again.
    pub fn waits_longer(&self) -> bool {
        let tables = self.tables();
        let fronts = tables.fronts.reported();
        fronts::waits_longer(fronts, self.cfg.cores, tables.strongest_cores)
    }

    /// Wakes requests that wait for a change of the tables.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
        self.waiting.wake_up();
    }

    /// Returns whether this front is cut off from the servers.
    pub fn is_cut_off(&self) -> bool {
        self.tables().reach.is_cut_off()
    }

    /// Returns whether another front has to be the granter, because this one is cut off from the
    /// servers and others are not.
    pub fn hands_over_when_cut_off(&self) -> bool {
        let tables = self.tables();
        tables.reach.is_cut_off() && !tables.peers.is_empty()
    }

    /// Returns this front as others know it.
    pub fn as_peer(&self) -> Peer {
        Peer {
            front: self.cfg.front.clone(),
            address: self.cfg.listen,
            data_centre: self.cfg.data_centre.clone(),
        }
    }

    /// Reports to the granter without delay that a server crashed under a request, or that such a
    /// request was answered.
    pub fn notify_crash_observed(&self) {
        self.crash_observed.notify_one();
    }

    /// Waits until there is such an observation to report.
    pub async fn crash_observed(&self) {
        self.crash_observed.notified().await;
    }

    /// Returns a receiver that is notified of changes of the tables.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Emits an event for a changed limit of a server.
    pub fn emit_limit(&self, server: &ServerId, limit: Option<RequestRate>, source: &str) {
        self.metrics.limit_changes.inc();
        emit(EventKind::ServerLimited {
            server: server.to_compact_string(),
            limit: limit.map_or_else(CompactString::default, |limit| limit.to_compact_string()),
            source: source.into(),
        });
    }

    /// Returns the distance between a data centre and this front.
    #[must_use]
    pub fn distance(&self, to: &DataCentreId) -> Distance {
        self.distance_between(&self.cfg.data_centre, to)
    }

    /// Returns the distance between two data centres.
    #[must_use]
    pub fn distance_between(&self, from: &DataCentreId, to: &DataCentreId) -> Distance {
        if from == to {
            return Distance::SameDataCentre;
        }
        let region = |of: &DataCentreId| self.cfg.regions.get(of);
        if region(from).is_some() && region(from) == region(to) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}

impl Tables {
    /// Puts a manifest into force and returns `true`, unless it is older than the current one.
    pub fn put_manifest(&mut self, manifest: Manifest) -> bool {
        let newer = self
            .manifest
            .as_ref()
            .is_none_or(|present| present.version < manifest.version);
        if newer {
            let is_listed = |service: &_| manifest.service(service).is_some();
            self.borne_queues.retain(is_listed);
            self.routes = Routes::new(&manifest);
            self.homes.put_manifest(&manifest);
            self.manifest = Some(Arc::new(manifest));
        }
        newer
    }

    /// Returns whether the spans of a keyed service are not known.
    #[must_use]
    pub fn lacks_spans(&self) -> bool {
        let Some(manifest) = &self.manifest else {
            return true;
        };
        let mut keyed = manifest.services.iter().filter(|service| service.keyed);
        keyed.any(|service| !self.spans.contains_key(&service.name))
    }

    /// Returns why requests can't be served, or `None` if they can.
    #[must_use]
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.shutdown.is_some() {
            Some("stopping")
        } else if self.manifest.is_none() {
            Some("no-manifest")
        } else if !self.servers_read {
            Some("no-servers")
        } else if !self.evacuations.is_read() {
            Some("no-evacuations")
        } else if self.lacks_spans() {
            Some("no-spans")
        } else {
            None
        }
    }

    /// Returns whether this front serves requests that other fronts can't serve.
    #[must_use]
    pub fn serves_for_others(&self) -> bool {
        self.not_ready().is_none() && !self.reach.is_cut_off()
    }

    /// Returns the data centres whose servers may not hold keys of a service.
    #[must_use]
    pub fn excluded_from_keys(&self, service: &ServiceId) -> BTreeSet<DataCentreId> {
        let mut excluded = self.key_placement_by_homes(service).excluded();
        excluded.extend(self.evacuated_data_centres());
        excluded
    }

    /// Returns the mean service time of a service's servers, in milliseconds.
    #[must_use]
    pub fn mean_service_ms(&self, service: &ServiceId, now: Time) -> Option<f64> {
        let known = self
            .servers
            .ready_servers(service)
            .filter_map(|server| self.loads.get(&server.id)?.service_ms(now));
        load::mean(known)
    }

    /// Returns the load estimate of a server, and creates it if there is none.
    pub fn load(&mut self, server: &Server, now: Time) -> &mut ServerLoad {
        if !self.loads.contains_key(&server.id) {
            let service_ms = self.mean_service_ms(&server.service, now);
            let cold = self.cold_left(server, now);
            let load = ServerLoad::new(server.slots, cold, service_ms, now);
            self.loads.insert(server.id.clone(), load);
        }
        let fronts = self.fronts.get();
        let load = self
            .loads
            .get_mut(&server.id)
            .unwrap_or_else(|| unreachable!("the load estimate was just inserted"));
        load.set_fronts(fronts);
        load
    }

    /// Removes the load estimates and the limits of servers that are no longer listed.
    pub fn remove_unlisted(&mut self) {
        let servers = &self.servers;
        self.limits.retain(|id| servers.get(id).is_some());
        self.loads
            .retain(|id, load| servers.get(id).is_some() || load.in_flight() > 0);
    }

    /// Returns one server as a candidate for a request; `mean_ms` is the mean service time of the
    /// service's servers, if it was measured.
    pub fn candidate(
        &mut self,
        server: &Server,
        distance: Distance,
        mean_ms: Option<f64>,
        now: Time,
    ) -> Candidate {
        let share = self.connection_share(&server.service);
        let within_limit = self.limits.allows(&server.id, now);
        let load = self.load(server, now);
        if let Some(mean_ms) = mean_ms {
            load.set_assumed_service_ms(mean_ms);
        }
        make_candidate(server, load, distance, share, within_limit, now)
    }

    /// Returns the servers of a service that accept requests as candidates for a request, as far as
    /// it may be sent to their data centres.
    pub fn candidates(
        &mut self,
        service: &ServiceId,
        is_allowed: impl Fn(&DataCentreId) -> bool,
        distance: impl Fn(&DataCentreId) -> Distance,
        mean_ms: Option<f64>,
        now: Time,
    ) -> Vec<Candidate> {
        let share = self.connection_share(service);
        let fronts = self.fronts.get();
        let limits = &self.limits;
        let cold = &self.cold;
        let loads = &mut self.loads;
        let ready = self.servers.ready_servers(service);
        ready
            .filter(|server| is_allowed(&server.data_centre))
            .map(|server| {
                // Clones the id only for a server without a load estimate.
                if !loads.contains_key(&server.id) {
                    let cold = cold.left(&server.id, server.born, now);
                    let load = ServerLoad::new(server.slots, cold, mean_ms, now);
                    loads.insert(server.id.clone(), load);
                }
                let load = loads
                    .get_mut(&server.id)
                    .unwrap_or_else(|| unreachable!("the load estimate was just inserted"));
                load.set_fronts(fronts);
                if let Some(mean_ms) = mean_ms {
                    load.set_assumed_service_ms(mean_ms);
                }
                let distance = distance(&server.data_centre);
                let within_limit = limits.allows(&server.id, now);
                make_candidate(server, load, distance, share, within_limit, now)
            })
            .collect()
    }

    /// Returns the expected size of request plus response of a route, in KiB.
    #[must_use]
    pub fn size_kib(&self, route: &str) -> f64 {
        self.route_sizes_kib
            .get(route)
            .copied()
            .unwrap_or(DEFAULT_SIZE_KIB)
    }

    /// Updates the mean size of a route with one request and its response.
    pub fn record_size(&mut self, route: &compact_str::CompactString, bytes: usize) {
        let kib = bytes as f64 / 1_024.0;
        let mean = self.route_sizes_kib.entry(route.clone()).or_insert(kib);
        *mean += (kib - *mean) * SIZE_EWMA_WEIGHT;
    }

    /// Counts a request for a key.
    pub fn record_key(&mut self, service: &ServiceId, key: u16) {
        *self
            .demand
            .entry(service.clone())
            .or_default()
            .entry(key)
            .or_insert(0) += 1;
    }

    /// Returns the retry budget of a service.
    pub fn budget(&mut self, service: &ServiceId, cfg: &Config) -> &mut RetryWindow {
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(cfg.retry_budget))
    }
}

/// Collects the inputs for the choice of a server.
fn make_candidate(
    server: &Server,
    load: &ServerLoad,
    distance: Distance,
    connections: u32,
    within_limit: bool,
    now: Time,
) -> Candidate {
    Candidate {
        server: server.id.clone(),
        distance,
        response_ms: load.response_ms(now),
        service_rounds: load.service_rounds(now),
        requests_ahead: load.expected_total(now),
        slots: load.slots(),
        failure_cost_ms: load.failure_cost_ms(now),
        usable: within_limit && load.in_flight() < connections && load.accepts(now),
    }
}
