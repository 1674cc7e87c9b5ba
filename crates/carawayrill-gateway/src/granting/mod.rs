//! The granter's work: runs the decisions of [`carawayrill_core::direct::granter`] and tells the
//! fronts.

mod capacity;
mod stored;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Command;
use carawayrill_core::direct::granter::Config;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::Inputs;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::CallOutcome;
use carawayrill_store::Error;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::format_compact;
use tokio::sync::watch;

use self::capacity::capacities;
pub use self::stored::SPANS_KIND;
use self::stored::holds_record;
use self::stored::read_record;
pub use self::stored::read_tables;
use crate::clock;
use crate::leasing::Leasing;
use crate::port::SpanOrders;
use crate::spans::Told;
use crate::spans::ToldTable;
use crate::state::Shared;
use crate::state::Tables;

/// The time between two rounds of decisions.
const TICK: Duration = Duration::from_millis(40);
/// The time between two updates to the fronts if nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// The least time between two updates for each front that is told.
const TELL_PER_FRONT: Duration = Duration::from_micros(1_500);
/// How long the mean demand by key remembers.
const DEMAND_MEMORY: Duration = Duration::from_millis(1_200);
/// The time between two rounds that take reports into the mean demand.
const DEMAND_INTERVAL: Duration = Duration::from_millis(150);
/// How long no further server may have been listed before keys are first spread over them.
const FIRST_SPREAD_QUIET: Duration = Duration::from_millis(1_800);
/// The longest wait before keys are first spread.
const FIRST_SPREAD_WAIT: Duration = Duration::from_millis(4_500);
/// How long a front counts as alive after its last report.
const MEMBER_TTL: Duration = Duration::from_secs(2);
/// The pause before a write that was not done is tried again.
const WRITE_RETRY: Duration = Duration::from_millis(120);

/// What one front has seen since its last report.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The front.
    pub front: CompactString,
    /// Requests by service and key.
    pub demand: HashMap<ServiceId, BTreeMap<u16, u32>>,
    /// The mean service time of servers, in milliseconds.
    pub speeds: Vec<(ServerId, f64)>,
    /// The processor time of the front, in cores.
    pub cores: f64,
}

/// What the fronts are told.
#[derive(Debug, Clone, Default)]
pub struct Update {
    /// The version of the lease under which this holds.
    pub lease: Version,
    /// The number of fronts that are alive.
    pub fronts: u32,
    /// The processor time of the strongest front, in cores.
    pub strongest: f64,
    /// The spans of each keyed service.
    pub tables: BTreeMap<ServiceId, Arc<ToldTable>>,
}

/// A front that reports.
#[derive(Debug)]
struct Member {
    heard: Time,
    cores: f64,
}

#[derive(Debug)]
struct State {
    stored: BTreeMap<ServiceId, (Version, SpanRecord)>,
    granters: BTreeMap<ServiceId, Granter>,
    /// The number of listed servers of services without spans, and since when it is that.
    listed: BTreeMap<ServiceId, (usize, Time)>,
    demand: BTreeMap<ServiceId, KeyDemand>,
    /// The service time of each server in milliseconds, as told by each front.
    speeds: HashMap<ServerId, HashMap<CompactString, f64>>,
    members: HashMap<CompactString, Member>,
    demand_at: Time,
    told_at: Time,
    told: BTreeMap<ServiceId, Arc<ToldTable>>,
    store_away: bool,
    settling: bool,
}

/// The work of the front that is the granter.
#[derive(Debug)]
pub struct Granting {
    leasing: Arc<Leasing>,
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    orders: Arc<dyn SpanOrders>,
    began: Time,
    /// The version of the lease with which this work began.
    lease: Version,
    state: Mutex<State>,
    updates: watch::Sender<Arc<Update>>,
}

impl Granting {
    /// Reads the stored spans and prepares the work.
    ///
    /// # Errors
    ///
    /// Fails if the spans can't be read.
    pub async fn begin(
        leasing: Arc<Leasing>,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn SpanOrders>,
    ) -> Result<Arc<Self>, Error> {
        let listed = store.watch(SPANS_KIND, Revision(0), Duration::ZERO).await?;
        let mut stored = BTreeMap::new();
        for object in listed.objects {
            if let Some((service, record)) = read_record(&object) {
                stored.insert(service, (object.version, record));
            }
        }
        let now = clock::now();
        let shared = Arc::clone(leasing.shared());
        let lease = leasing.version();
        Ok(Arc::new(Self {
            lease,
            leasing,
            shared,
            store,
            orders,
            began: now,
            state: Mutex::new(State {
                stored,
                granters: BTreeMap::new(),
                listed: BTreeMap::new(),
                demand: BTreeMap::new(),
                speeds: HashMap::new(),
                members: HashMap::new(),
                demand_at: now,
                told_at: now,
                told: BTreeMap::new(),
                store_away: false,
                settling: false,
            }),
            updates: watch::Sender::new(Arc::default()),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of what the fronts are told.
    #[must_use]
    pub fn updates(&self) -> watch::Receiver<Arc<Update>> {
        self.updates.subscribe()
    }

    /// Notes whether the lease can be renewed at present.
    pub fn set_store_away(&self, away: bool) {
        self.state().store_away = away;
    }

    /// Takes in a front's report.
    pub fn report(&self, report: Report) {
        let mut state = self.state();
        let member = Member {
            heard: clock::now(),
            cores: report.cores,
        };
        state.members.insert(report.front.clone(), member);
        for (service, keys) in report.demand {
            let demand = state
                .demand
                .entry(service)
                .or_insert_with(|| KeyDemand::new(DEMAND_MEMORY));
            for (key, requests) in keys {
                demand.add(key, requests);
            }
        }
        for (server, service_ms) in report.speeds {
            let told = state.speeds.entry(server).or_default();
            told.insert(report.front.clone(), service_ms);
        }
    }

    /// Runs the granter until this front is not the granter any more.
    pub async fn run(self: Arc<Self>) {
        while self.is_current() {
            self.tick();
            tokio::time::sleep(TICK).await;
        }
    }

    fn is_current(self: &Arc<Self>) -> bool {
        self.leasing.holds()
            && self
                .leasing
                .granting()
                .is_some_and(|current| Arc::ptr_eq(&current, self))
    }

    /// Starts no more moves, and waits until those under way have ended.
    pub async fn settle(&self, most: Duration) {
        self.state().settling = true;
        let until = clock::now() + most;
        while clock::now() < until && !self.state().granters.values().all(Granter::is_settled) {
            tokio::time::sleep(TICK).await;
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = clock::now();
        let steps = {
            let mut state = self.state();
            let tables = self.shared.tables();
            state.add_services(&tables, self.shared.cfg.granter, now, self.began);
            state.advance_demand(now);
            state.decide(&tables, now)
        };
        for (service, step) in steps {
            match step {
                Action::Write { expected, record } => {
                    tokio::spawn(Arc::clone(self).write(service, expected, record));
                }
                Action::Order(order) => {
                    tokio::spawn(Arc::clone(self).order(service, order));
                }
            }
        }
        self.tell(now);
    }

    /// Tells the fronts if something changed or the time has come.
    fn tell(&self, now: Time) {
        let update = {
            let mut state = self.state();
            let since = now.since(state.told_at);
            let members = u32::try_from(state.members.len()).unwrap_or(u32::MAX);
            // The next tick tells what changes until then.
            if since < TELL_PER_FRONT.saturating_mul(members) {
                return;
            }
            if !state.is_changed() && since < HEARTBEAT {
                return;
            }
            state.told_at = now;
            state
                .members
                .retain(|_, member| now.since(member.heard) < MEMBER_TTL);
            state.renew_told(self.lease);
            let members = u32::try_from(state.members.len()).unwrap_or(u32::MAX);
            let cores = state.members.values().map(|member| member.cores);
            Update {
                lease: self.leasing.version(),
                fronts: members.max(1),
                strongest: cores.fold(self.shared.cfg.cores, f64::max),
                tables: state.told.clone(),
            }
        };
        self.updates.send_replace(Arc::new(update));
    }

    /// Stores a record. A write without an answer is settled: it either is the stored one, or a
    /// later write has made it fail.
    async fn write(self: Arc<Self>, service: ServiceId, expected: Version, record: SpanRecord) {
        let name = format_compact!("{SPANS_KIND}/{service}");
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(err) => {
                log::error!("the spans of {service} can't be written: {err}");
                return;
            }
        };
        while self.is_current() {
            let error = match self.store.put(&name, value.clone(), expected).await {
                Ok(version) => return self.stored(&service, version, &record),
                Err(err) => err,
            };
            log::info!("the spans of {service} were not stored: {error}");
            if error.outcome() == CallOutcome::NotDone && error.conflicting_version().is_none() {
                tokio::time::sleep(WRITE_RETRY).await;
                continue;
            }
            match self.store.get(&name).await {
                Ok(Some(found)) if holds_record(&found, &record) => {
                    return self.stored(&service, found.version, &record);
                }
                Ok(found) if found.as_ref().map_or(Version(0), |one| one.version) == expected => {}
                Ok(found) => return self.inherit(&service, found),
                Err(err) => {
                    log::info!("the spans of {service} can't be read back: {err}");
                    tokio::time::sleep(WRITE_RETRY).await;
                }
            }
        }
    }

    /// Starts a service anew: a late write of an earlier granter came between.
    fn inherit(&self, service: &ServiceId, found: Option<Object>) {
        log::warn!("another granter wrote the spans of {service}");
        let now = clock::now();
        let stored = found.and_then(|found| {
            let (_, record) = read_record(&found)?;
            Some((found.version, record))
        });
        if let Some(granter) = self.state().granters.get_mut(service) {
            granter.inherit(stored, now);
        }
        self.tell(now);
    }

    fn stored(&self, service: &ServiceId, version: Version, record: &SpanRecord) {
        let moving = record.spans.iter().filter(|span| span.former.is_some());
        emit(EventKind::SpansStored {
            service: service.clone(),
            version,
            spans: record.spans.len(),
            moving: moving.count(),
        });
        let now = clock::now();
        if let Some(granter) = self.state().granters.get_mut(service) {
            granter.record_stored(version, now);
        }
        self.tell(now);
    }

    /// Sends an order, if this front is still the granter.
    async fn order(self: Arc<Self>, service: ServiceId, order: SpanOrder) {
        let sent = clock::now();
        let result = if self.is_current() {
            self.orders.send(&order).await
        } else {
            OrderResult::NotSent
        };
        let now = clock::now();
        self.note_order(&order, &result, now.since(sent));
        if let Some(granter) = self.state().granters.get_mut(&service) {
            granter.order_ended(order.id, &result, now);
        }
        self.tell(now);
    }

    fn note_order(&self, order: &SpanOrder, result: &OrderResult, took: Duration) {
        let label = match result {
            OrderResult::Done(_) => "done",
            OrderResult::Fenced => "fenced",
            OrderResult::NotSent => "not-sent",
            OrderResult::Unknown => "unknown",
        };
        self.shared.metrics.orders.with_label_values(&[label]).inc();
        let is_grant = matches!(order.command, Command::Grant { .. });
        if is_grant && label == "done" {
            return;
        }
        emit(EventKind::SpanOrderEnded {
            server: order.to.server.clone(),
            range: format_compact!("{}", order.range),
            fence: order.fence.0,
            command: if is_grant { "grant" } else { "release" }.into(),
            result: label.into(),
            took_ms: millis(took),
        });
    }
}

impl State {
    /// Starts the granters of keyed services that have none, and drops those that are not needed.
    fn add_services(&mut self, tables: &Tables, cfg: Config, now: Time, began: Time) {
        let Some(manifest) = tables.manifest.as_ref().filter(|_| tables.servers_read) else {
            return;
        };
        let keyed = |service: &ServiceId| manifest.service(service).is_some_and(|one| one.keyed);
        self.granters.retain(|service, _| keyed(service));
        for service in manifest.services.iter().filter(|service| service.keyed) {
            let name = &service.name;
            if self.granters.contains_key(name) {
                continue;
            }
            let stored = self.stored.remove(name);
            let is_new = stored.is_none();
            if is_new && !self.may_spread(tables, name, now, began) {
                continue;
            }
            let granter = Granter::new(name.clone(), cfg, stored, now);
            self.granters.insert(name.clone(), granter);
            self.demand
                .entry(name.clone())
                .or_insert_with(|| KeyDemand::new(DEMAND_MEMORY));
        }
    }

    /// Returns whether the servers of a service seem to be listed in full.
    fn may_spread(&mut self, tables: &Tables, name: &ServiceId, now: Time, began: Time) -> bool {
        let count = tables.servers.ready_servers(name).count();
        let (seen, since) = *self.listed.get(name).unwrap_or(&(0, now));
        if count != seen {
            self.listed.insert(name.clone(), (count, now));
            return false;
        }
        let quiet = now.since(since) >= FIRST_SPREAD_QUIET;
        count > 0 && (quiet || now.since(began) >= FIRST_SPREAD_WAIT)
    }

    fn advance_demand(&mut self, now: Time) {
        let span = now.since(self.demand_at);
        if span < DEMAND_INTERVAL {
            return;
        }
        self.demand_at = now;
        for demand in self.demand.values_mut() {
            demand.advance(span);
        }
    }

    fn decide(&mut self, tables: &Tables, now: Time) -> Vec<(ServiceId, Action)> {
        let mut steps = Vec::new();
        for (service, granter) in &mut self.granters {
            let Some(demand) = self.demand.get(service) else {
                continue;
            };
            let capacities = capacities(service, tables, &self.speeds);
            let inputs = Inputs {
                now,
                servers: &tables.servers,
                demand,
                capacities: &capacities,
                store_unreachable: self.store_away,
                stopping: self.settling,
            };
            let decided = granter.tick(&inputs);
            steps.extend(decided.into_iter().map(|step| (service.clone(), step)));
        }
        steps
    }

    /// Returns whether fronts have to be told something new.
    fn is_changed(&self) -> bool {
        let told = |service: &ServiceId| self.told.get(service).map(|table| table.told().change);
        self.granters
            .iter()
            .any(|(service, granter)| told(service) != Some(granter.change_count()))
    }

    /// Makes the tables that fronts are told anew, as far as they have changed.
    fn renew_told(&mut self, lease: Version) {
        self.told
            .retain(|service, _| self.granters.contains_key(service));
        for (service, granter) in &self.granters {
            let before = self.told.get(service);
            let change = granter.change_count();
            if !granter.is_confirmed() || before.is_some_and(|one| one.told().change == change) {
                continue;
            }
            let told = Told {
                granter: lease,
                change,
            };
            let before = before.map(Arc::as_ref);
            let table = ToldTable::new(granter.version(), told, &granter.spans(), before);
            self.told.insert(service.clone(), Arc::new(table));
        }
    }
}
