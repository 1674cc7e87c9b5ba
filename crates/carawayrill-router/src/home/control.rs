//! Authority and grants of this home: the I/O around [`HomeTable`].
//!
//! Inputs go into the table one at a time; each action that comes out runs as a task of its own,
//! whose result is the next input.

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
use carawayrill_core::replay::Recorded;
use carawayrill_core::replay::Start;
use carawayrill_core::replay::Tick;
use carawayrill_core::time::Time;
use carawayrill_store::port::ServerControl;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::home::flights::Flights;
use crate::versions::VersionReader;

/// How often the table's systems run.
const TICK: Duration = Duration::from_millis(50);

/// Authority and grants.
#[derive(Debug)]
pub struct Control {
    pub(crate) servers: Arc<dyn ServerControl>,
    pub(crate) versions: Arc<VersionReader>,
    pub(crate) flights: Arc<Flights>,
    /// None until there is a configuration, which has the time limits.
    table: Mutex<Option<HomeTable>>,
    changed: Notify,
    asks: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    next_ask: AtomicU64,
    watched: Mutex<Watched>,
    runs: Mutex<HashMap<ServerId, ServerRun>>,
}

/// What the table answered to a question of another process.
#[derive(Debug)]
pub(crate) enum Reply {
    Released(Vec<carawayrill_core::ownership::evidence::ReleaseStatus>),
    Standing(Vec<carawayrill_core::ownership::evidence::StandbyStatus>),
}

/// What a server said of itself last.
#[derive(Debug, Clone)]
pub struct ServerRun {
    /// The server.
    pub server: ServerId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its own report of its load.
    pub load: LoadReport,
    /// When the report came.
    pub at: Time,
}

/// What is known of a server whose home this router is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnServer {
    /// The server.
    pub server: ServerId,
    /// Its run; 0 if it was never heard.
    pub incarnation: Incarnation,
    /// Whether it is held to be lost.
    pub lost: bool,
    /// Whether it leaves.
    pub draining: bool,
}

/// What follows from the assignments for this router's own probes.
#[derive(Debug, Default)]
struct Watched {
    /// The homes whose standby home this router is.
    homes: BTreeSet<RouterId>,
    /// The home of each server, as told to the table.
    server_homes: HashMap<ServerId, RouterId>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Control {
    /// Makes the control of a router that is the home of nothing.
    #[must_use]
    pub fn new(servers: Arc<dyn ServerControl>, versions: Arc<VersionReader>) -> Self {
        Self {
            servers,
            versions,
            flights: Arc::default(),
            table: Mutex::default(),
            changed: Notify::new(),
            asks: Mutex::default(),
            next_ask: AtomicU64::new(0),
            watched: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    /// Finds the owner of a shard.
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

    /// Checks a permit directly before the send.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial> {
        match &*lock(&self.table) {
            Some(table) => table.confirm(now, permit),
            None => Err(Denial::Changed),
        }
    }

    /// Finds the owner of a shard, and waits up to `limit` while the denial may pass by itself.
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
            let waits = denial.is_passing() && cx.now() < limit;
            if !waits || tokio::time::timeout_at(until, changed).await.is_err() {
                return Err(denial);
            }
        }
    }

    /// Takes a new configuration in.
    pub fn configure(self: &Arc<Self>, cx: &Arc<Context>, whole: &Deployment) {
        let limits = Limits::from(&whole.timing);
        let fresh = || {
            let start = Start {
                name: cx.settings.router.clone().into(),
                incarnation: cx.incarnation,
                limits,
            };
            record(cx.now(), &start);
            HomeTable::new(own_run(cx), limits)
        };
        lock(&self.table).get_or_insert_with(fresh);
        self.input(cx, Input::Limits { limits });
        for service in &whole.services {
            let service_id = service.id.clone();
            let policy = service.policy(&whole.timing);
            self.input(
                cx,
                Input::Policy {
                    service: service_id,
                    policy,
                },
            );
        }
    }

    /// Takes in what a watch told of a block.
    pub fn hint(self: &Arc<Self>, cx: &Arc<Context>, version: Version, block: Block) {
        self.note_homes(cx, &block);
        self.input(cx, Input::Hint { version, block });
    }

    fn note_homes(self: &Arc<Self>, cx: &Arc<Context>, block: &Block) {
        let news = self.note_server_homes(block);
        self.watch_homes(cx);
        for (server, home) in news {
            self.input(cx, Input::ServerHome { server, home });
        }
    }

    /// Notes the homes of the block's owners and returns those that are news.
    fn note_server_homes(&self, block: &Block) -> Vec<(ServerId, RouterId)> {
        let mut watched = lock(&self.watched);
        let mut news = Vec::new();
        for row in &block.rows {
            let former = watched
                .server_homes
                .insert(row.owner.clone(), row.home.clone());
            if former.as_ref() != Some(&row.home) {
                news.push((row.owner.clone(), row.home.clone()));
            }
        }
        news
    }

    fn watch_homes(&self, cx: &Context) {
        let me = Some(&cx.settings.router);
        let routes = cx.routes();
        let rows = routes.rows().filter(|row| row.standby_home.as_ref() == me);
        lock(&self.watched).homes = rows.map(|row| row.home.clone()).collect();
    }

    /// Returns the homes whose standby home this router is.
    pub(crate) fn watched_homes(&self) -> Vec<RouterId> {
        lock(&self.watched).homes.iter().cloned().collect()
    }

    /// Puts one input into the table and starts the actions that follow.
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
                record(now, &Tick::default());
                table.tick(now)
            }
            None => Vec::new(),
        };
        self.start(cx, actions);
    }

    fn start(self: &Arc<Self>, cx: &Arc<Context>, actions: Vec<Action>) {
        for action in actions {
            self.start_one(cx, action);
        }
        self.changed.notify_waiters();
    }

    fn start_one(self: &Arc<Self>, cx: &Arc<Context>, action: Action) {
        match action {
            Action::Emit { kind } => carawayrill_telemetry::emit(kind),
            Action::AnswerRelease { ask, released } => self.reply(ask, Reply::Released(released)),
            Action::AnswerStandby { ask, standings } => self.reply(ask, Reply::Standing(standings)),
            action => {
                let (control, cx) = (Arc::clone(self), Arc::clone(cx));
                tokio::spawn(async move { control.perform(&cx, action).await });
            }
        }
    }

    fn reply(&self, ask: u64, reply: Reply) {
        if let Some(tx) = lock(&self.asks).remove(&ask) {
            // The asker may have given up; its question then needs no answer.
            let _given_up = tx.send(reply);
        }
    }

    /// Puts a question of another process into the table and waits for the answer.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        limit: Duration,
        input: impl FnOnce(u64) -> Input,
    ) -> Option<Reply> {
        let ask = self.next_ask.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.asks).insert(ask, tx);
        self.input(cx, input(ask));
        let reply = tokio::time::timeout(limit, rx).await;
        lock(&self.asks).remove(&ask);
        reply.ok()?.ok()
    }

    /// Notes what a server says of itself in an answer to orders.
    pub(crate) fn note_run(&self, now: Time, reply: &OrderReply) {
        let run = ServerRun {
            server: reply.server.clone(),
            incarnation: reply.incarnation,
            load: reply.load,
            at: now,
        };
        lock(&self.runs).insert(reply.server.clone(), run);
    }

    /// Returns what the servers said of themselves last.
    #[must_use]
    pub fn runs(&self) -> Vec<ServerRun> {
        lock(&self.runs).values().cloned().collect()
    }

    /// Returns what is known of the servers whose home this router is. A server that the table does
    /// not probe any more is left out: nothing is known of it then.
    #[must_use]
    pub fn own_servers(&self, cx: &Context) -> Vec<OwnServer> {
        let watched = lock(&self.watched);
        let is_own =
            |server: &ServerId| watched.server_homes.get(server) == Some(&cx.settings.router);
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

    /// Tells whether this router is the home of nothing, by the stored assignments.
    #[must_use]
    pub fn is_idle(&self, cx: &Context) -> bool {
        !cx.routes().rows().any(|row| row.home == cx.settings.router)
    }

    /// Runs the table's systems for as long as the process runs.
    pub async fn run(self: Arc<Self>, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(TICK).await;
            self.tick(&cx);
        }
    }
}

/// Records one input of the table. Called under the table's lock, so that the lines stand in the
/// order of the inputs.
fn record<T: serde::Serialize>(now: Time, input: &T) {
    let now = now.0;
    carawayrill_telemetry::emit_input("home", &Recorded { now, input });
}

fn own_run(cx: &Context) -> RouterIncarnation {
    RouterIncarnation {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
    }
}
