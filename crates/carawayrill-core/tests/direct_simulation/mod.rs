//! A simulation of servers, a store and two fronts that may be the granter, in virtual time.
//!
//! Orders and writes may be delayed, lost or executed late. Fronts may be frozen, partitioned or
//! restarted. Servers may crash, restart, drain or be partitioned. After each step, the simulation
//! checks that no two servers hold the same key and that fences increase.

#![allow(dead_code, reason = "each test uses a part of the simulation")]

mod front;
mod server;
mod store;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use carawayrill_core::direct::granter::Command;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::front::Front;
use self::server::GrantOutcome;
use self::server::SimServer;
use self::store::Store;

/// The interval between two steps.
pub const STEP: Duration = Duration::from_millis(25);
/// The duration of fault injection.
pub const FAULT_PERIOD: Duration = Duration::from_secs(22);
/// The duration of the simulation after the last fault.
pub const RECOVERY_PERIOD: Duration = Duration::from_secs(24);
/// The longest time for which a move for balance may leave a key without a holder.
pub const MAX_MOVE_TIME: Duration = Duration::from_secs(1);
/// The time after which the entry of a server that has ended is no longer listed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_480);
/// The number of the last kind of fault besides restores of the store.
const LAST_FAULT: u32 = 9;
/// The number of keys that are checked.
pub const CHECKED_KEYS: usize = 128;

/// An invariant that a schedule violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two servers held the same key, or a fence did not increase.
    MultipleOwners(String),
    /// A key had no holder long after the last fault.
    Unserved(String),
}

/// An order in flight.
#[derive(Debug, Clone)]
struct Call {
    front: usize,
    run: u64,
    order: SpanOrder,
    arrives_at: Time,
    /// The incarnation of the server at which the order arrived; no other one executes it.
    server_born: Option<Born>,
    /// The time at which the order is executed, if it is.
    applies_at: Option<Time>,
    /// The time at which the front receives the result.
    ends_at: Time,
    result: Option<OrderResult>,
    applied: bool,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Time,
    pub rng: ChaCha8Rng,
    servers: BTreeMap<ServerId, SimServer>,
    store: Store,
    fronts: Vec<Front>,
    calls: Vec<Call>,
    /// The front that can't reach a server, the server, and the end of the partition.
    partitions: Vec<(usize, ServerId, Time)>,
    late_orders_until: Time,
    /// The last time at which each checked key was held by a listed server.
    last_held: Vec<Time>,
    /// Whether fault injection has ended.
    faults_ended: bool,
    /// The number of the last kind of fault that may occur.
    last_fault: u32,
    /// Whether servers restart at other addresses, and the store lists former entries of them late.
    has_late_entries: bool,
    /// The table of a front that has read all lists.
    table: Servers,
    /// Whether steps are printed.
    pub verbose: bool,
    pub violations: Vec<Violation>,
}

fn server_id(number: u32) -> ServerId {
    ServerId::try_from(format!("s-{number}").as_str()).expect("valid name")
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..=5);
        let servers = (0..count)
            .map(|number| {
                (
                    server_id(number),
                    SimServer::new(&server_id(number), number),
                )
            })
            .collect();
        Self {
            now: Time(1_000),
            rng,
            servers,
            store: Store::default(),
            fronts: (0..2).map(Front::new).collect(),
            calls: Vec::new(),
            partitions: Vec::new(),
            late_orders_until: Time(0),
            last_held: vec![Time(0); CHECKED_KEYS],
            faults_ended: false,
            last_fault: LAST_FAULT,
            has_late_entries: false,
            table: Servers::default(),
            verbose: false,
            violations: Vec::new(),
        }
    }

    /// Adds restores of the store from an older copy to the faults.
    pub fn with_restores(mut self) -> Self {
        self.last_fault = LAST_FAULT + 1;
        self
    }

    /// Adds restarts at another address, after which the store lists an entry of the former
    /// incarnation for a while. The second front starts often, so that it knows nothing but the list.
    pub fn with_late_entries(mut self) -> Self {
        self.has_late_entries = true;
        self.table = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
        self
    }

    /// Runs the schedule up to the first violation and returns the violations.
    pub fn run(mut self) -> Vec<Violation> {
        let faults_end = self.now + FAULT_PERIOD;
        let end = faults_end + RECOVERY_PERIOD;
        while self.now < end {
            self.faults_ended = self.now >= faults_end;
            if !self.faults_ended {
                self.inject();
            }
            self.step();
            if !self.violations.is_empty() {
                return self.violations;
            }
        }
        self.check_served();
        self.violations
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.store.step(self.now);
        self.deliver();
        self.tick_fronts();
        self.check_owners();
    }

    /// Returns the list of servers that all fronts read, as a front knows it that has read no other.
    fn listed(&mut self) -> Servers {
        let now = self.now;
        let rows: Vec<Server> = self
            .servers
            .values()
            .filter_map(|server| server.listed(now))
            .collect();
        if self.has_late_entries {
            self.table.replace_all(rows.clone(), now, now);
            self.table.expire(now);
        }
        let mut servers = Servers::default();
        servers.replace_all(rows, now, now);
        servers
    }

    fn tick_fronts(&mut self) {
        let servers = self.listed();
        let now = self.now;
        for at in 0..self.fronts.len() {
            if self.fronts[at].is_frozen(now) {
                continue;
            }
            let knows_all = self.has_late_entries && at == 0;
            let servers = if knows_all { &self.table } else { &servers };
            let orders = self.fronts[at].tick(now, servers, &mut self.store, &mut self.rng);
            let run = self.fronts[at].run;
            for order in orders {
                self.send(at, run, order);
            }
        }
    }

    fn is_partitioned(&self, front: usize, server: &ServerId) -> bool {
        let now = self.now;
        self.partitions
            .iter()
            .any(|(from, to, until)| *from == front && to == server && *until > now)
    }

    /// Sends an order, and chooses its delay and faults.
    fn send(&mut self, front: usize, run: u64, order: SpanOrder) {
        let delay = Duration::from_millis(self.rng.random_range(1..=20));
        let arrives_at = self.now + delay;
        let reached = !self.is_partitioned(front, &order.to.server)
            && self
                .servers
                .get(&order.to.server)
                .is_some_and(|server| server.up && server.address == order.to.address);
        self.trace(|| format!("front {front} sends {order:?}, reached {reached}"));
        let mut call = Call {
            front,
            run,
            arrives_at,
            server_born: None,
            applies_at: Some(arrives_at),
            ends_at: arrives_at + delay,
            result: None,
            applied: false,
            order,
        };
        if !reached {
            call.applies_at = None;
            call.ends_at = self.now + Duration::from_millis(300);
            call.result = Some(OrderResult::NotSent);
        } else if self.now < self.late_orders_until && self.rng.random_bool(0.4) {
            let extra_delay = Duration::from_millis(self.rng.random_range(2_000..=12_000));
            call.applies_at = Some(arrives_at + extra_delay);
            call.ends_at = self.now + call.order.timeout;
            call.result = Some(OrderResult::Unknown);
        } else if !self.faults_ended && self.rng.random_bool(0.02) {
            call.ends_at = self.now + call.order.timeout;
            call.result = Some(OrderResult::Unknown);
        }
        self.calls.push(call);
    }

    /// Executes the orders that are due, and passes results to the fronts.
    fn deliver(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.server_born.is_none() && call.arrives_at <= now {
                call.server_born = self
                    .servers
                    .get(&call.order.to.server)
                    .map(|server| server.born);
            }
            let due = call.applies_at.is_some_and(|at| at <= now);
            if due && !call.applied {
                call.applied = true;
                self.apply(call);
            }
        }
        for call in calls.iter_mut().filter(|call| call.ends_at <= now) {
            let Some(result) = call.result.take() else {
                continue;
            };
            let front = &mut self.fronts[call.front];
            if front.run == call.run {
                front.ended(call.order.id, &result, now);
            }
        }
        calls.retain(|call| {
            let open = call.applies_at.is_some_and(|_| !call.applied);
            open || call.result.is_some() || call.ends_at > now
        });
        self.calls = calls;
    }

    fn trace(&self, what: impl FnOnce() -> String) {
        if self.verbose {
            eprintln!("{} {}", self.now, what());
        }
    }

    fn apply(&mut self, call: &mut Call) {
        let others = self.highest_fences(&call.order);
        let Some(server) = self.servers.get_mut(&call.order.to.server) else {
            return;
        };
        let same_incarnation = call.server_born == Some(server.born);
        if !server.up || !same_incarnation || server.address != call.order.to.address {
            call.result = call.result.take().or(Some(OrderResult::Unknown));
            return;
        }
        let result = match &call.order.command {
            Command::Grant { hold, .. } => {
                // The hold of a grant that is executed late counts from its arrival.
                let until = call.arrives_at + hold.mul_f64(server.slowness);
                let outcome = server.grant(call.order.range, call.order.fence, until, self.now);
                if outcome == GrantOutcome::Held && call.order.fence <= others {
                    let what = format!(
                        "{}: {} accepted {} with fence {}, another server had {others}",
                        self.now, call.order.to.server, call.order.range, call.order.fence
                    );
                    self.violations.push(Violation::MultipleOwners(what));
                }
                if outcome == GrantOutcome::Fenced {
                    OrderResult::Fenced
                } else {
                    OrderResult::Done(None)
                }
            }
            Command::Release => {
                server.release(call.order.range, call.order.fence);
                OrderResult::Done(None)
            }
        };
        self.trace(|| format!("applied {:?} {result:?}", call.order));
        if call.result.is_none() {
            call.result = Some(result);
        }
    }

    /// Returns the highest fence that any other server had for one of the order's keys.
    fn highest_fences(&self, order: &SpanOrder) -> carawayrill_core::direct::keys::Fence {
        let others = self
            .servers
            .values()
            .filter(|server| server.id != order.to.server);
        others
            .map(|server| server.highest(order.range))
            .max()
            .unwrap_or_default()
    }

    fn check_owners(&mut self) {
        let now = self.now;
        for (at, key) in checked_keys().enumerate() {
            let serves =
                |server: &SimServer| server.up && server.is_listed && server.holds(at, now);
            if self.servers.values().any(serves) {
                self.last_held[at] = now;
            }
            let holds = |server: &&SimServer| server.up && server.holds(at, now);
            if self.servers.values().filter(holds).count() > 1 {
                let holders = self.servers.values().filter(holds);
                let names: Vec<&str> = holders.map(|server| server.id.as_str()).collect();
                let what = format!("{now}: key {key} is held by {}", names.join(" and "));
                self.violations.push(Violation::MultipleOwners(what));
                return;
            }
        }
    }

    /// Checks that each key has a holder at the end of the recovery period.
    fn check_served(&mut self) {
        let now = self.now;
        let ready = |server: &&SimServer| server.up && server.is_listed && !server.draining;
        if !self.servers.values().any(|server| ready(&server)) {
            return;
        }
        for (at, key) in checked_keys().enumerate() {
            if now.since(self.last_held[at]) > MAX_MOVE_TIME {
                let what = format!("{now}: no server holds key {key}");
                self.violations.push(Violation::Unserved(what));
                return;
            }
        }
    }

    fn inject(&mut self) {
        // About one fault every 0.6 s.
        if !self.rng.random_bool(0.04) {
            return;
        }
        let now = self.now;
        let until = now + Duration::from_millis(self.rng.random_range(200..=7_000));
        let front = self.rng.random_range(0..self.fronts.len());
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        let server = ids[self.rng.random_range(0..ids.len())].clone();
        let kind = self.rng.random_range(0..=self.last_fault);
        self.trace(|| format!("fault {kind}: front {front}, {server}, until {until}"));
        match kind {
            0 => self.late_orders_until = until,
            1 => self.fronts[front].frozen_until = until,
            2 => self.partitions.push((front, server, until)),
            3 => self.store.unreachable_until[front] = until,
            4 => self.store.unreachable_until = [until; 2],
            5 => self.store.lossy_until = until,
            6 => self.fronts[front].restart(now),
            7 => self.crash(&server),
            8 => self.drain_server(&server),
            9 => self.add_server(),
            _ => self.restore_store(),
        }
    }

    /// Restores the store from a copy that is up to some seconds old. It may be away before.
    fn restore_store(&mut self) {
        let age = Duration::from_millis(self.rng.random_range(0..=6_000));
        self.store.restore(self.now - age);
    }

    fn crash(&mut self, id: &ServerId) {
        let restarts = self.rng.random_bool(0.5);
        let late = self.has_late_entries.then(|| self.choose_late_entry());
        if let Some(server) = self.servers.get_mut(id) {
            server.crash(restarts);
            if let Some(late) = late.filter(|_| restarts) {
                server.restart_elsewhere(late);
            }
        }
    }

    /// Chooses when the store lists a former entry: a write is carried out some seconds late, and the
    /// next beat replaces it.
    fn choose_late_entry(&mut self) -> Range<Time> {
        let from = self.now + Duration::from_millis(self.rng.random_range(500..=7_000));
        let until = from + Duration::from_millis(self.rng.random_range(25..=900));
        from..until
    }

    fn drain_server(&mut self, id: &ServerId) {
        let silent = self.rng.random_bool(0.4);
        if let Some(server) = self.servers.get_mut(id) {
            server.draining = true;
            server.is_listed = !silent;
        }
    }

    fn add_server(&mut self) {
        let number = u32::try_from(self.servers.len()).expect("count fits u32");
        if number < 9 {
            let id = server_id(number);
            self.servers.insert(id.clone(), SimServer::new(&id, number));
        }
    }
}

/// Returns the checked keys, which are evenly spaced.
pub fn checked_keys() -> impl Iterator<Item = u16> {
    let step = (1 << 16) / CHECKED_KEYS;
    (0..CHECKED_KEYS).map(move |at| u16::try_from(at * step + 7).expect("key fits u16"))
}
