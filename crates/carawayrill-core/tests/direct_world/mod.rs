//! A world of servers, a store and two fronts that may be the granter, in virtual time.
//!
//! Orders and writes may be delayed, lost, or carried out late; fronts may be frozen, cut off or
//! restarted; servers may crash, begin a new life, leave, or be cut off. After each step the world
//! checks that no two servers hold one key and that fences rise.

#![allow(dead_code, reason = "each test uses a part of the world")]

mod front;
mod server;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::direct::granter::Command;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::keys::Born;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::front::Front;
use self::server::Node;
use self::server::Taken;
use self::store::Store;

/// The time between two steps.
pub const STEP: Duration = Duration::from_millis(25);
/// How long faults are injected.
pub const FAULTS_FOR: Duration = Duration::from_secs(22);
/// How long the world runs on without faults.
pub const CALM_FOR: Duration = Duration::from_secs(24);
/// The longest time for which a move by choice leaves a key without a holder.
pub const MOVE_TIME: Duration = Duration::from_secs(1);
/// The keys that are checked.
pub const CHECKED_KEYS: usize = 128;

/// What a schedule broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// Two servers held one key, or a fence did not rise.
    Owners(String),
    /// A key had no holder long after the last fault.
    Unserved(String),
}

/// An order on its way.
#[derive(Debug, Clone)]
struct Call {
    front: usize,
    run: u64,
    order: SpanOrder,
    arrives: Time,
    /// The life of the server at which it arrived: an order ends with that life.
    life: Option<Born>,
    /// When it takes effect, if it does.
    applies: Option<Time>,
    /// When the front learns of its end.
    ends: Time,
    result: Option<OrderResult>,
    applied: bool,
}

#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub rng: ChaCha8Rng,
    nodes: BTreeMap<ServerId, Node>,
    store: Store,
    fronts: Vec<Front>,
    calls: Vec<Call>,
    /// Which front can't reach which server, and until when.
    cuts: Vec<(usize, ServerId, Time)>,
    late_orders_until: Time,
    /// When each checked key was last held by a server that takes requests.
    last_held: Vec<Time>,
    /// Whether faults have ended.
    calm: bool,
    /// Whether what happens is printed.
    pub verbose: bool,
    pub broken: Vec<Broken>,
}

fn server_id(number: u32) -> ServerId {
    ServerId::try_from(format!("s-{number}").as_str()).expect("a name")
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..=5);
        let nodes = (0..count)
            .map(|number| (server_id(number), Node::new(&server_id(number), number)))
            .collect();
        Self {
            now: Time(1_000),
            rng,
            nodes,
            store: Store::default(),
            fronts: (0..2).map(Front::new).collect(),
            calls: Vec::new(),
            cuts: Vec::new(),
            late_orders_until: Time(0),
            last_held: vec![Time(0); CHECKED_KEYS],
            calm: false,
            verbose: false,
            broken: Vec::new(),
        }
    }

    /// Runs the whole schedule and returns what was broken.
    pub fn run(mut self) -> Vec<Broken> {
        let faults_end = self.now + FAULTS_FOR;
        let end = faults_end + CALM_FOR;
        while self.now < end {
            self.calm = self.now >= faults_end;
            if !self.calm {
                self.inject();
            }
            self.step();
            if !self.broken.is_empty() {
                return self.broken;
            }
        }
        self.check_served();
        self.broken
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.store.step(self.now);
        self.deliver();
        self.tick_fronts();
        self.check_owners();
    }

    /// The list of servers, as all fronts see it.
    fn listed(&self) -> Servers {
        let mut servers = Servers::default();
        let rows = self.nodes.values().filter_map(Node::listed).collect();
        servers.replace_all(rows, self.now);
        servers
    }

    fn tick_fronts(&mut self) {
        let servers = self.listed();
        let now = self.now;
        for at in 0..self.fronts.len() {
            if self.fronts[at].is_frozen(now) {
                continue;
            }
            let orders = self.fronts[at].tick(now, &servers, &mut self.store, &mut self.rng);
            let run = self.fronts[at].run;
            for order in orders {
                self.send(at, run, order);
            }
        }
    }

    fn is_cut(&self, front: usize, server: &ServerId) -> bool {
        let now = self.now;
        self.cuts
            .iter()
            .any(|(from, to, until)| *from == front && to == server && *until > now)
    }

    /// Puts an order on its way, with whatever happens to it there.
    fn send(&mut self, front: usize, run: u64, order: SpanOrder) {
        let delay = Duration::from_millis(self.rng.random_range(1..=20));
        let arrives = self.now + delay;
        let reached = !self.is_cut(front, &order.to.server)
            && self
                .nodes
                .get(&order.to.server)
                .is_some_and(|node| node.up && node.address == order.to.address);
        self.tell(|| format!("front {front} sends {order:?}, reached {reached}"));
        let mut call = Call {
            front,
            run,
            arrives,
            life: None,
            applies: Some(arrives),
            ends: arrives + delay,
            result: None,
            applied: false,
            order,
        };
        if !reached {
            call.applies = None;
            call.ends = self.now + Duration::from_millis(300);
            call.result = Some(OrderResult::NotSent);
        } else if self.now < self.late_orders_until && self.rng.random_bool(0.4) {
            let late = Duration::from_millis(self.rng.random_range(2_000..=12_000));
            call.applies = Some(arrives + late);
            call.ends = self.now + call.order.timeout;
            call.result = Some(OrderResult::Unknown);
        } else if !self.calm && self.rng.random_bool(0.02) {
            call.ends = self.now + call.order.timeout;
            call.result = Some(OrderResult::Unknown);
        }
        self.calls.push(call);
    }

    /// Carries out orders that are due and tells fronts of those that have ended.
    fn deliver(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.life.is_none() && call.arrives <= now {
                call.life = self.nodes.get(&call.order.to.server).map(|node| node.born);
            }
            let due = call.applies.is_some_and(|at| at <= now);
            if due && !call.applied {
                call.applied = true;
                self.apply(call);
            }
        }
        for call in calls.iter_mut().filter(|call| call.ends <= now) {
            let Some(result) = call.result.take() else {
                continue;
            };
            let front = &mut self.fronts[call.front];
            if front.run == call.run {
                front.ended(call.order.id, &result, now);
            }
        }
        calls.retain(|call| {
            let open = call.applies.is_some_and(|_| !call.applied);
            open || call.result.is_some() || call.ends > now
        });
        self.calls = calls;
    }

    fn tell(&self, what: impl FnOnce() -> String) {
        if self.verbose {
            eprintln!("{} {}", self.now, what());
        }
    }

    fn apply(&mut self, call: &mut Call) {
        let others = self.highest_fences(&call.order);
        let Some(node) = self.nodes.get_mut(&call.order.to.server) else {
            return;
        };
        let same_life = call.life == Some(node.born);
        if !node.up || !same_life || node.address != call.order.to.address {
            call.result = call.result.take().or(Some(OrderResult::Unknown));
            return;
        }
        let result = match &call.order.command {
            Command::Grant { hold, .. } => {
                // The time of a grant that is carried out late counts from its arrival.
                let until = call.arrives + hold.mul_f64(node.slowness);
                let taken = node.grant(call.order.range, call.order.fence, until, self.now);
                if taken == Taken::Held && call.order.fence <= others {
                    let what = format!(
                        "{}: {} took {} with {}, others had {others}",
                        self.now, call.order.to.server, call.order.range, call.order.fence
                    );
                    self.broken.push(Broken::Owners(what));
                }
                if taken == Taken::Fenced {
                    OrderResult::Fenced
                } else {
                    OrderResult::Done(None)
                }
            }
            Command::Release => {
                node.release(call.order.range, call.order.fence);
                OrderResult::Done(None)
            }
        };
        self.tell(|| format!("applied {:?} {result:?}", call.order));
        if call.result.is_none() {
            call.result = Some(result);
        }
    }

    /// Returns the highest fence that any other server had for one of the order's keys.
    fn highest_fences(&self, order: &SpanOrder) -> carawayrill_core::direct::keys::Fence {
        let others = self
            .nodes
            .values()
            .filter(|node| node.id != order.to.server);
        others
            .map(|node| node.highest(order.range))
            .max()
            .unwrap_or_default()
    }

    fn check_owners(&mut self) {
        let now = self.now;
        for (at, key) in checked_keys().enumerate() {
            let serves = |node: &Node| node.up && node.is_listed && node.holds(at, now);
            if self.nodes.values().any(serves) {
                self.last_held[at] = now;
            }
            let holds = |node: &&Node| node.up && node.holds(at, now);
            if self.nodes.values().filter(holds).count() > 1 {
                let holders = self.nodes.values().filter(holds);
                let names: Vec<&str> = holders.map(|node| node.id.as_str()).collect();
                let what = format!("{now}: key {key} is held by {}", names.join(" and "));
                self.broken.push(Broken::Owners(what));
                return;
            }
        }
    }

    /// Checks that every key has a holder once nothing has gone wrong for a while.
    fn check_served(&mut self) {
        let now = self.now;
        let ready = |node: &&Node| node.up && node.is_listed && !node.draining;
        if !self.nodes.values().any(|node| ready(&node)) {
            return;
        }
        for (at, key) in checked_keys().enumerate() {
            if now.since(self.last_held[at]) > MOVE_TIME {
                let what = format!("{now}: nobody holds key {key}");
                self.broken.push(Broken::Unserved(what));
                return;
            }
        }
    }

    fn inject(&mut self) {
        // About one fault in 0.6 s.
        if !self.rng.random_bool(0.04) {
            return;
        }
        let now = self.now;
        let until = now + Duration::from_millis(self.rng.random_range(200..=7_000));
        let front = self.rng.random_range(0..self.fronts.len());
        let ids: Vec<ServerId> = self.nodes.keys().cloned().collect();
        let server = ids[self.rng.random_range(0..ids.len())].clone();
        let kind = self.rng.random_range(0..10);
        self.tell(|| format!("fault {kind}: front {front}, {server}, until {until}"));
        match kind {
            0 => self.late_orders_until = until,
            1 => self.fronts[front].frozen_until = until,
            2 => self.cuts.push((front, server, until)),
            3 => self.store.away_until[front] = until,
            4 => self.store.away_until = [until; 2],
            5 => self.store.lossy_until = until,
            6 => self.fronts[front].restart(now),
            7 => self.crash(&server),
            8 => self.leave(&server),
            _ => self.come(),
        }
    }

    fn crash(&mut self, id: &ServerId) {
        let reborn = self.rng.random_bool(0.5);
        if let Some(node) = self.nodes.get_mut(id) {
            node.crash(reborn);
        }
    }

    fn leave(&mut self, id: &ServerId) {
        let silent = self.rng.random_bool(0.4);
        if let Some(node) = self.nodes.get_mut(id) {
            node.draining = true;
            node.is_listed = !silent;
        }
    }

    fn come(&mut self) {
        let number = u32::try_from(self.nodes.len()).expect("few servers");
        if number < 9 {
            let id = server_id(number);
            self.nodes.insert(id.clone(), Node::new(&id, number));
        }
    }
}

/// Returns keys spread over all.
pub fn checked_keys() -> impl Iterator<Item = u16> {
    let step = (1 << 16) / CHECKED_KEYS;
    (0..CHECKED_KEYS).map(move |at| u16::try_from(at * step + 7).expect("a key"))
}
