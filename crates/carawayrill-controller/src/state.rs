//! The tables of the daemon behind one lock, and its clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::ControllerId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::Version;
use carawayrill_core::measure::Ratio;
use carawayrill_core::ownership::takeover::TakeoverTable;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Fleet;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::time::millis;
use compact_str::CompactString;

use crate::demand::DemandTable;
use crate::fleet::PlanningInput;
use crate::heartbeats::Heartbeat;
use crate::heartbeats::HeartbeatTable;
use crate::lease::LeaseTable;
use crate::metrics::imbalance_of;
use crate::planner::Plan;
use crate::planner::Planner;
use crate::servers::ServerTable;
use crate::view::StoreView;

/// All tables.
#[derive(Debug)]
pub struct Tables {
    /// The lease.
    pub lease: LeaseTable,
    /// What the store holds.
    pub view: StoreView,
    /// What routers said.
    pub heartbeats: HeartbeatTable,
    /// What is known of servers.
    pub servers: ServerTable,
    /// Names of VMs that the platform will stop soon.
    pub stopping_vms: BTreeSet<CompactString>,
    /// When this controller began to lead, if it leads.
    pub leading_since: Option<Time>,
    /// Demand out of heartbeats.
    pub demand: DemandTable,
    /// What is wanted, while this controller leads.
    pub planner: Planner,
    /// Changes under way, while this controller leads.
    pub takeover: Option<TakeoverTable>,
    /// The imbalance of the last window of demand.
    pub imbalance: Ratio,
    /// The last version of each block whose intents were announced to the holders of authority.
    pub announced: BTreeMap<BlockId, Version>,
    /// The prefixes of the store that were read in full since then.
    pub synced: BTreeSet<&'static str>,
}

/// The daemon's tables and clock.
#[derive(Debug)]
pub struct State {
    /// The daemon's name.
    pub me: ControllerId,
    started: Instant,
    tables: Mutex<Tables>,
}

impl State {
    /// Makes the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(me: ControllerId, lease: LeaseTable) -> Self {
        let tables = Tables {
            lease,
            view: StoreView::default(),
            heartbeats: HeartbeatTable::default(),
            servers: ServerTable::default(),
            announced: BTreeMap::new(),
            imbalance: Ratio::ONE,
            stopping_vms: BTreeSet::new(),
            leading_since: None,
            demand: DemandTable::default(),
            planner: Planner::new(BalanceConfig::default()),
            takeover: None,
            synced: BTreeSet::new(),
        };
        Self {
            me,
            started: Instant::now(),
            tables: Mutex::new(tables),
        }
    }

    /// Reads the daemon's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(millis(self.started.elapsed()))
    }

    /// Locks the tables. The lock is never held over a call to another process.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    /// Tells whether this controller leads and has seen all of the store.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let synced = self.synced.len() == crate::leader::WATCHED_PREFIXES.len();
        self.lease.is_held(now) && synced && self.view.deployment.is_some()
    }

    /// Begins or ends to lead, as the lease says. Returns true if that changed.
    ///
    /// A new leader starts with nothing: what it saw when it led before is stale.
    pub fn update_leadership(&mut self, now: Time) -> bool {
        let held = self.lease.is_held(now);
        if held == self.leading_since.is_some() {
            return false;
        }
        self.leading_since = held.then_some(now);
        self.synced.clear();
        self.view = StoreView::default();
        self.takeover = None;
        self.servers = ServerTable::default();
        self.planner = Planner::new(BalanceConfig::default());
        self.demand.restart(now);
        true
    }

    /// Takes in the heartbeats that a relay passed on.
    pub fn on_report(&mut self, now: Time, relay: &RouterId, heartbeats: Vec<Heartbeat>) {
        for heartbeat in &heartbeats {
            self.demand.on_loads(&heartbeat.loads);
            for server in &heartbeat.servers {
                self.servers.on_home_report(server);
            }
        }
        self.heartbeats.on_report(now, relay, heartbeats);
    }

    /// Decides what to do now; nothing unless this controller leads and has read the store.
    pub fn plan(&mut self, now: Time, wall: WallTime) -> Plan {
        if !self.is_ready(now) {
            return Plan::default();
        }
        let demand = self.demand.take_window(now);
        if let Some(demand) = &demand {
            self.imbalance = imbalance_of(&self.view, demand);
        }
        let (Some(deployment), Some(leading_since)) =
            (self.view.deployment.as_deref(), self.leading_since)
        else {
            return Plan::default();
        };
        let input = PlanningInput {
            deployment,
            view: &self.view,
            heartbeats: &self.heartbeats,
            servers: &self.servers,
            stopping_vms: &self.stopping_vms,
            leading_since,
            now,
        };
        self.planner.plan(&input, demand.as_deref(), wall)
    }

    /// Returns what the fleet is judged by, once this controller leads and has read the store.
    #[must_use]
    pub fn planning_input(&self, now: Time) -> Option<PlanningInput<'_>> {
        if !self.is_ready(now) {
            return None;
        }
        Some(PlanningInput {
            deployment: self.view.deployment.as_deref()?,
            view: &self.view,
            heartbeats: &self.heartbeats,
            servers: &self.servers,
            stopping_vms: &self.stopping_vms,
            leading_since: self.leading_since?,
            now,
        })
    }

    /// Returns the present tables of servers and routers.
    #[must_use]
    pub fn fleet(&self, now: Time) -> Option<Fleet> {
        Some(self.planning_input(now)?.fleet())
    }
}
