//! The daemon's tables, which share one lock, and its clock.

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
    /// Contents of the store.
    pub view: StoreView,
    /// Heartbeats of the routers.
    pub heartbeats: HeartbeatTable,
    /// Health of the servers.
    pub servers: ServerTable,
    /// Names of VMs that the platform will stop soon.
    pub stopping_vms: BTreeSet<CompactString>,
    /// When this controller became the leader, if it is the leader.
    pub leading_since: Option<Time>,
    /// Demand of the shards, from heartbeats.
    pub demand: DemandTable,
    /// The planner, used only while this controller leads.
    pub planner: Planner,
    /// Changes in progress, while this controller leads.
    pub takeover: Option<TakeoverTable>,
    /// The imbalance of the last window of demand.
    pub imbalance: Ratio,
    /// The last version of each block whose intents have been announced to the holders of
    /// authority.
    pub announced: BTreeMap<BlockId, Version>,
    /// The prefixes of the store that were read in full since this controller became the leader.
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
    /// Creates the state of a daemon with empty tables.
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

    /// Locks the tables. The lock must not be held during a call to another process.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    /// Returns whether this controller is the leader and has read all watched prefixes and the
    /// configuration.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let synced = self.synced.len() == crate::leader::WATCHED_PREFIXES.len();
        self.lease.is_held(now) && synced && self.view.deployment.is_some()
    }

    /// Updates the leadership from the lease. Returns whether it changed.
    ///
    /// At each change the tables that only a leader fills are cleared, because their contents
    /// become stale.
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

    /// Processes the heartbeats that a relay forwarded.
    pub fn on_report(&mut self, now: Time, relay: &RouterId, heartbeats: Vec<Heartbeat>) {
        for heartbeat in &heartbeats {
            self.demand.on_loads(&heartbeat.loads);
            for server in &heartbeat.servers {
                self.servers.on_home_report(server);
            }
        }
        self.heartbeats.on_report(now, relay, heartbeats);
    }

    /// Makes a plan. It is empty unless this controller is the leader and has read the store.
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

    /// Returns the input of planning, if this controller is the leader and has read the store.
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

    /// Returns the present state of servers and routers, if this controller is the leader and has
    /// read the store.
    #[must_use]
    pub fn fleet(&self, now: Time) -> Option<Fleet> {
        Some(self.planning_input(now)?.fleet())
    }
}
