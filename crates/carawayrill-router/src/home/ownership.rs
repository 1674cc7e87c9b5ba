//! Drives [`HomeTable`], the state machine of authority and grants, with timers and I/O.
//!
//! Inputs are applied to the table one at a time. Each resulting action runs as its own task, and
//! its result becomes another input.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Block;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::order::LoadReport;
use carawayrill_core::order::OrderReply;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home::Action;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::ownership::home::HomeTable;
use carawayrill_core::ownership::home::Input;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::replay::RecordedInput;
use carawayrill_core::replay::TableStart;
use carawayrill_core::replay::TickInput;
use carawayrill_core::time::Time;
use carawayrill_store::port::ServerControl;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::home::in_flight::InFlightRequests;
use crate::versions::VersionReader;

/// The interval between two ticks of the table.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the state machine of authority and grants of one home.
#[derive(Debug)]
pub struct OwnershipDriver {
    pub(crate) servers: Arc<dyn ServerControl>,
    pub(crate) versions: Arc<VersionReader>,
    pub(crate) in_flight: Arc<InFlightRequests>,
    /// The state machine; none until a configuration provides the time limits.
    table: Mutex<Option<HomeTable>>,
    changed: Notify,
    pending_queries: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    next_query: AtomicU64,
    home_assignments: Mutex<HomeAssignments>,
    server_reports: Mutex<HashMap<ServerId, ServerReport>>,
}

/// The table's answer to a query of another process.
#[derive(Debug)]
pub(crate) enum Reply {
    Released(Vec<carawayrill_core::ownership::evidence::ReleaseStatus>),
    Standby(Vec<carawayrill_core::ownership::evidence::StandbyStatus>),
}

/// The latest report of a server about itself.
#[derive(Debug, Clone)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// The load that the server reported.
    pub load: LoadReport,
    /// When the report arrived.
    pub at: Time,
}

/// The state of a server whose home this router is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnServer {
    /// The server.
    pub server: ServerId,
    /// The incarnation of the server; 0 if it never replied.
    pub incarnation: Incarnation,
    /// Whether the server is considered lost.
    pub lost: bool,
    /// Whether the server is draining.
    pub draining: bool,
}

/// The homes of servers and shards, taken from the stored assignments.
#[derive(Debug, Default)]
struct HomeAssignments {
    /// The homes whose standby home this router is, which it probes.
    probed: BTreeSet<RouterId>,
    /// The home of each server, as last passed to the table.
    server_homes: HashMap<ServerId, RouterId>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OwnershipDriver {
    /// Creates the driver of a router that is not yet a home.
    #[must_use]
    pub fn new(servers: Arc<dyn ServerControl>, versions: Arc<VersionReader>) -> Self {
        Self {
            servers,
            versions,
            in_flight: Arc::default(),
            table: Mutex::default(),
            changed: Notify::new(),
            pending_queries: Mutex::default(),
            next_query: AtomicU64::new(0),
            home_assignments: Mutex::default(),
            server_reports: Mutex::default(),
        }
    }

    /// Returns the permit to send requests of a shard to its owner.
    ///
    /// # Errors
    ///
    /// Fails if this router may not send for the shard now.
    pub fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial> {
        match &*lock(&self.table) {
            Some(table) => table.permit(now, shard),
            None => Err(Denial::NotHome { home: None }),
        }
    }

    /// Checks again, directly before the send, that a permit is valid.
    ///
    /// # Errors
    ///
    /// Fails if the permit is no longer valid.
    pub fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial> {
        match &*lock(&self.table) {
            Some(table) => table.confirm(now, permit),
            None => Err(Denial::Changed),
        }
    }

    /// Returns the permit for a shard, and waits until `limit` while the denial is temporary.
    ///
    /// # Errors
    ///
    /// Fails if this router may not send for the shard.
    pub async fn permit_within(
        &self,
        cx: &Context,
        shard: &ShardId,
        limit: Time,
    ) -> Result<Permit, Denial> {
        loop {
            let changed = self.changed.notified();
            let denial = match self.permit(cx.now(), shard) {
                Ok(permit) => return Ok(permit),
                Err(denial) => denial,
            };
            let until = cx.clock.instant(limit);
            let can_wait = denial.is_passing() && cx.now() < limit;
            if !can_wait || tokio::time::timeout_at(until, changed).await.is_err() {
                return Err(denial);
            }
        }
    }

    /// Applies a new configuration.
    pub fn configure(self: &Arc<Self>, cx: &Arc<Context>, deployment: &Deployment) {
        let limits = Limits::from(&deployment.timing);
        let new_table = || {
            let start = TableStart {
                name: cx.settings.router.clone().into(),
                incarnation: cx.incarnation,
                limits,
            };
            record(cx.now(), &start);
            HomeTable::new(own_incarnation(cx), limits)
        };
        lock(&self.table).get_or_insert_with(new_table);
        self.input(cx, Input::Limits { limits });
        for service in &deployment.services {
            let service_id = service.id.clone();
            let policy = service.policy(&deployment.timing);
            self.input(
                cx,
                Input::Policy {
                    service: service_id,
                    policy,
                },
            );
        }
    }

    /// Passes a block from a watch to the table, as a hint that the block has changed.
    pub fn hint(self: &Arc<Self>, cx: &Arc<Context>, version: Version, block: Block) {
        self.update_homes(cx, &block);
        self.input(cx, Input::Hint { version, block });
    }

    fn update_homes(self: &Arc<Self>, cx: &Arc<Context>, block: &Block) {
        let changed_homes = self.update_server_homes(block);
        self.update_probed_homes(cx);
        for (server, home) in changed_homes {
            self.input(cx, Input::ServerHome { server, home });
        }
    }

    /// Records the homes of the block's owners and returns those that changed.
    fn update_server_homes(&self, block: &Block) -> Vec<(ServerId, RouterId)> {
        let mut home_assignments = lock(&self.home_assignments);
        let mut changed_homes = Vec::new();
        for row in &block.rows {
            let previous = home_assignments
                .server_homes
                .insert(row.owner.clone(), row.home.clone());
            if previous.as_ref() != Some(&row.home) {
                changed_homes.push((row.owner.clone(), row.home.clone()));
            }
        }
        changed_homes
    }

    fn update_probed_homes(&self, cx: &Context) {
        let own = Some(&cx.settings.router);
        let routes = cx.routes();
        let rows = routes.rows().filter(|row| row.standby_home.as_ref() == own);
        lock(&self.home_assignments).probed = rows.map(|row| row.home.clone()).collect();
    }

    /// Returns the homes whose standby home this router is.
    pub(crate) fn probed_homes(&self) -> Vec<RouterId> {
        lock(&self.home_assignments)
            .probed
            .iter()
            .cloned()
            .collect()
    }

    /// Applies one input to the table and starts the resulting actions.
    pub(crate) fn input(self: &Arc<Self>, cx: &Arc<Context>, input: Input) {
        let actions = {
            let mut table = lock(&self.table);
            let Some(table) = table.as_mut() else { return };
            let now = cx.now();
            record(now, &input);
            table.input(now, input)
        };
        self.start(cx, actions);
    }

    fn tick(self: &Arc<Self>, cx: &Arc<Context>) {
        let actions = match lock(&self.table).as_mut() {
            Some(table) => {
                let now = cx.now();
                record(now, &TickInput::default());
                table.tick(now)
            }
            None => Vec::new(),
        };
        self.start(cx, actions);
    }

    fn start(self: &Arc<Self>, cx: &Arc<Context>, actions: Vec<Action>) {
        for action in actions {
            self.start_action(cx, action);
        }
        self.changed.notify_waiters();
    }

    fn start_action(self: &Arc<Self>, cx: &Arc<Context>, action: Action) {
        match action {
            Action::Emit { kind } => carawayrill_telemetry::emit(kind),
            Action::AnswerRelease { ask, released } => self.reply(ask, Reply::Released(released)),
            Action::AnswerStandby { ask, standings } => self.reply(ask, Reply::Standby(standings)),
            action => {
                let (ownership, cx) = (Arc::clone(self), Arc::clone(cx));
                tokio::spawn(async move { ownership.perform(&cx, action).await });
            }
        }
    }

    fn reply(&self, ask: u64, reply: Reply) {
        if let Some(tx) = lock(&self.pending_queries).remove(&ask) {
            // The receiver is dropped if the query has timed out.
            let _timed_out = tx.send(reply);
        }
    }

    /// Applies a query of another process to the table and waits up to `limit` for the answer.
    pub(crate) async fn query(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        limit: Duration,
        input: impl FnOnce(u64) -> Input,
    ) -> Option<Reply> {
        let ask = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.pending_queries).insert(ask, tx);
        self.input(cx, input(ask));
        let reply = tokio::time::timeout(limit, rx).await;
        lock(&self.pending_queries).remove(&ask);
        reply.ok()?.ok()
    }

    /// Stores what a server reports of itself in a reply to orders.
    pub(crate) fn record_server_report(&self, now: Time, reply: &OrderReply) {
        let report = ServerReport {
            server: reply.server.clone(),
            incarnation: reply.incarnation,
            load: reply.load,
            at: now,
        };
        lock(&self.server_reports).insert(reply.server.clone(), report);
    }

    /// Returns the latest reports of the servers.
    #[must_use]
    pub fn server_reports(&self) -> Vec<ServerReport> {
        lock(&self.server_reports).values().cloned().collect()
    }

    /// Returns the state of the servers whose home this router is. Servers that the table no longer
    /// probes are left out, since their state is unknown.
    #[must_use]
    pub fn own_servers(&self, cx: &Context) -> Vec<OwnServer> {
        let assignments = lock(&self.home_assignments);
        let is_own =
            |server: &ServerId| assignments.server_homes.get(server) == Some(&cx.settings.router);
        let table = lock(&self.table);
        let servers = table.iter().flat_map(HomeTable::servers);
        servers
            .filter(|seen| is_own(seen.server))
            .map(|seen| OwnServer {
                server: seen.server.clone(),
                incarnation: seen.incarnation.unwrap_or_default(),
                lost: seen.lost,
                draining: seen.draining,
            })
            .collect()
    }

    /// Returns whether no stored assignment names this router as home.
    #[must_use]
    pub fn is_idle(&self, cx: &Context) -> bool {
        !cx.routes().rows().any(|row| row.home == cx.settings.router)
    }

    /// Ticks the table until the process ends.
    pub async fn run(self: Arc<Self>, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick(&cx);
        }
    }
}

/// Records an input of the table for replay. Must be called under the table's lock, so that the
/// records are in the order of the inputs.
fn record<T: serde::Serialize>(now: Time, input: &T) {
    let now = now.0;
    carawayrill_telemetry::emit_input("home", &RecordedInput { now, input });
}

fn own_incarnation(cx: &Context) -> RouterIncarnation {
    RouterIncarnation {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
    }
}
