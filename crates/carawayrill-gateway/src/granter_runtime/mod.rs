//! Runs the granter: executes the decisions of [`carawayrill_core::direct::granter`] and publishes
//! the spans to the fronts.

mod capacity;
mod egress;
mod loads;
mod quarantine;
mod records;
mod restore;
mod state;
mod stored;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Command;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::TermId;
use carawayrill_core::direct::limit::FrontShare;
use carawayrill_core::direct::limit::LimitReport;
use carawayrill_core::direct::quarantine::Scope;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::choose_peers_in_regions;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use tokio::sync::watch;

use self::restore::StoredRecords;
use self::state::State;
pub use self::stored::SPANS_KIND;
pub use self::stored::read_tables;
use crate::clock;
use crate::lease_manager::LeaseManager;
use crate::port::SpanOrderSender;
use crate::spans::PublishedTable;
use crate::state::Shared;

/// The interval between two rounds of decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The interval between two updates to the fronts if nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The minimum interval between two updates, per reporting front.
const UPDATE_INTERVAL_PER_FRONT: Duration = Duration::from_micros(700);

/// An incarnation of a server that has said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingServer {
    /// The server.
    pub server: ServerId,
    /// The incarnation.
    pub born: Born,
}

/// The observations of one front since its last report.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The name of the front.
    pub front: CompactString,
    /// The number of requests by service and key.
    pub demand: HashMap<ServiceId, BTreeMap<u16, u32>>,
    /// The requests of each service.
    pub service_loads: HashMap<ServiceId, ServiceLoad>,
    /// The mean service time of each server, in milliseconds.
    pub service_times: Vec<(ServerId, f64)>,
    /// The processor time of the front, in cores.
    pub cores: f64,
    /// The servers that are leaving, as this front knows it.
    pub leaving: Vec<LeavingServer>,
    /// The limits that servers have named.
    pub limits: Vec<LimitReport>,
    /// The data centre of the front, if it is known.
    pub data_centre: Option<DataCentreId>,
    /// How other fronts reach this one; `None` if it is the same as in the report before.
    pub peer: Option<Peer>,
    /// Whether the front serves requests that others can't serve: it is ready, reaches the servers and
    /// does not stop.
    pub serves_for_others: bool,
}

/// An update to the fronts.
#[derive(Debug, Clone, Default)]
pub struct Update {
    /// The version of the lease under which the update is valid.
    pub lease: StoredVersion,
    /// The number of fronts that are alive.
    pub fronts: u32,
    /// The processor time of the strongest front, in cores.
    pub strongest_cores: f64,
    /// The spans of each keyed service.
    pub tables: BTreeMap<ServiceId, Arc<PublishedTable>>,
}

/// The runtime of the front that is the granter.
#[derive(Debug)]
pub struct GranterRuntime {
    lease_manager: Arc<LeaseManager>,
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    orders: Arc<dyn SpanOrderSender>,
    started: Time,
    /// The term of the lease for which this runtime decides. It ends with it for good.
    term: TermId,
    /// The version of the lease with which this runtime began.
    lease: StoredVersion,
    state: Mutex<State>,
    updates: watch::Sender<Arc<Update>>,
}

impl GranterRuntime {
    /// Reads the stored spans and creates the runtime of one term of the lease.
    ///
    /// # Errors
    ///
    /// Fails if the spans can't be read.
    pub async fn load(
        lease_manager: Arc<LeaseManager>,
        term: TermId,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn SpanOrderSender>,
    ) -> Result<Arc<Self>, Error> {
        let stored = StoredRecords::read(&*store, &lease_manager).await?;
        let now = clock::now();
        let shared = Arc::clone(lease_manager.shared());
        let lease = lease_manager.version();
        let known_fronts = shared.tables().fronts.get();
        Ok(Arc::new(Self {
            term,
            lease,
            lease_manager,
            shared,
            store,
            orders,
            started: now,
            state: Mutex::new(State::new(stored, known_fronts, now)),
            updates: watch::Sender::new(Arc::default()),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of the updates to the fronts.
    #[must_use]
    pub fn updates(&self) -> watch::Receiver<Arc<Update>> {
        self.updates.subscribe()
    }

    /// Sets whether the store is unreachable, so that the lease can't be renewed.
    pub fn set_store_unreachable(&self, unreachable: bool) {
        self.state().store_unreachable = unreachable;
    }

    /// Adds the report of a front.
    pub fn add_report(&self, report: Report) {
        self.mark_leaving(&report);
        self.record_service_loads(&report);
        self.add_egress_report(&report);
        self.state().add_report(report, clock::now());
    }

    /// Marks the servers that another front knows to be leaving, so that their keys are moved.
    fn mark_leaving(&self, report: &Report) {
        let now = clock::now();
        let mut has_changed = false;
        let mut tables = self.shared.tables();
        for leaving in &report.leaving {
            let changed = tables
                .servers
                .mark_leaving(&leaving.server, leaving.born, now);
            if changed.is_some() {
                has_changed = true;
                emit(EventKind::ServerLeaving {
                    server: leaving.server.to_compact_string(),
                    source: report.front.clone(),
                });
            }
        }
        drop(tables);
        if has_changed {
            self.shared.record_homes();
        }
    }

    /// Returns the shares of a front in the limits of servers.
    #[must_use]
    pub fn shares_of(&self, front: &str, now: Time) -> Vec<FrontShare> {
        self.state().shares_of(front, now)
    }

    /// Returns the fronts that take the requests of a front if it is cut off, unless they are the
    /// same as at change number `known`, which is advanced.
    #[must_use]
    pub fn peers_of(
        &self,
        front: &str,
        data_centre: &DataCentreId,
        known: &mut u64,
    ) -> Option<Vec<Peer>> {
        let state = self.state();
        if state.peer_changes == *known {
            return None;
        }
        *known = state.peer_changes;
        let distance = |to: &DataCentreId| self.shared.distance_between(data_centre, to);
        let regions = &self.shared.cfg.regions;
        let serving = state.serving_fronts();
        Some(choose_peers_in_regions(front, serving, distance, regions))
    }

    /// Runs rounds of decisions until the term ends.
    pub async fn run(self: Arc<Self>) {
        self.emit_change("started");
        while self.is_current() {
            self.tick();
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        self.emit_change("ended");
    }

    fn emit_change(&self, change: &'static str) {
        emit(EventKind::GranterRuntime {
            change: change.into(),
            term: self.term,
        });
    }

    /// Returns whether the term has not ended.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.lease_manager.is_in_term(self.term)
    }

    /// Returns the term of the lease for which this runtime decides.
    #[must_use]
    pub fn term(&self) -> TermId {
        self.term
    }

    /// Returns when this runtime has last decided.
    #[must_use]
    pub fn decided_at(&self) -> Time {
        self.state().decided_at
    }

    /// Starts no further moves, and waits until those in progress have completed.
    pub async fn finish_moves(&self, max_wait: Duration) {
        self.state().stopping = true;
        let until = clock::now() + max_wait;
        while clock::now() < until && !self.state().granters.values().all(Granter::is_settled) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = clock::now();
        self.follow_era();
        let actions = {
            let mut state = self.state();
            let tables = self.shared.tables();
            state.decided_at = now;
            state.update_granters(&tables, self.shared.cfg.granter, now, self.started);
            state.advance_demand(&tables, now);
            state.decide(&tables, now)
        };
        for (service, action) in actions {
            match action {
                Action::Write { expected, record } => {
                    tokio::spawn(Arc::clone(self).write_record(service, expected, record));
                }
                Action::Order(order) => {
                    tokio::spawn(Arc::clone(self).send_order(service, order));
                }
            }
        }
        self.store_quarantine(now);
        self.update_egress(now);
        self.publish_update(now);
    }

    /// Publishes an update to the fronts if something changed or the heartbeat is due. Results of orders
    /// and writes may arrive after the term has ended, when another granter decides.
    fn publish_update(&self, now: Time) {
        if !self.is_current() {
            return;
        }
        let crashes = self.shared.tables().crashes.last_change(Scope::Shared);
        let update = {
            let mut state = self.state();
            let elapsed = now.since(state.published_at);
            let front_count = u32::try_from(state.fronts.len()).unwrap_or(u32::MAX);
            // A later tick publishes the changes until then.
            if elapsed < UPDATE_INTERVAL_PER_FRONT.saturating_mul(front_count) {
                return;
            }
            let is_changed = state.has_unpublished_changes() || crashes > state.published_crashes;
            if !is_changed && elapsed < HEARTBEAT_INTERVAL {
                return;
            }
            state.published_at = now;
            state.published_crashes = crashes;
            state.remove_silent_fronts(now);
            state.refresh_published(self.lease);
            let front_count = u32::try_from(state.fronts.len()).unwrap_or(u32::MAX);
            let cores = state.fronts.values().map(|front| front.cores);
            Update {
                lease: self.lease_manager.version(),
                fronts: front_count.max(1),
                strongest_cores: cores.fold(self.shared.cfg.cores, f64::max),
                tables: state.published.clone(),
            }
        };
        self.updates.send_replace(Arc::new(update));
    }

    /// Sends an order if this front is still the granter.
    async fn send_order(self: Arc<Self>, service: ServiceId, order: SpanOrder) {
        let sent = clock::now();
        let result = if self.is_current() {
            self.orders.send(&order).await
        } else {
            OrderResult::NotSent
        };
        let now = clock::now();
        match result {
            OrderResult::Done(_) | OrderResult::Fenced => {
                self.shared.record_connect(&order.to.server, true);
            }
            OrderResult::NotSent => self.shared.record_connect(&order.to.server, false),
            OrderResult::Unknown => {}
        }
        self.record_order(&order, &result, now.since(sent));
        if let Some(granter) = self.state().granters.get_mut(&service) {
            granter.order_ended(order.id, &result, now);
        }
        self.publish_update(now);
    }

    fn record_order(&self, order: &SpanOrder, result: &OrderResult, took: Duration) {
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
