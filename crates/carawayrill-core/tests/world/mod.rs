//! A deterministic simulation of routers, servers, controllers and the store, with faults.
//!
//! The processes run the tables of the core in virtual time. The simulated network delays, drops
//! and duplicates messages, and the store can fail. Invariants are checked after each step that can
//! affect them.

#![allow(dead_code, reason = "each test binary uses only a part of the model")]

pub mod check;
pub mod clock;
pub mod fault;
pub mod message;
pub mod node;
pub mod planner;
pub mod record;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod store;
pub mod topology;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use carawayrill_core::id::ShardId;
use carawayrill_core::token::Token;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::check::Checks;
use self::clock::MS;
use self::clock::Micros;
use self::fault::Fault;
use self::fault::ScheduledFault;
use self::message::Message;
use self::message::NodeIndex;
use self::node::Kind;
use self::node::Node;
use self::node::Setup;
use self::record::Recorder;
use self::store::Store;
use self::topology::CONTROLLERS;
use self::topology::NODES;
use self::topology::SERVERS;

/// Interval of the tables' ticks.
const TICK: Micros = 50 * MS;

/// A message in flight, with the start counts of its sender and receiver.
#[derive(Debug)]
pub struct Envelope {
    from: NodeIndex,
    from_boot: u64,
    to: NodeIndex,
    to_boot: u64,
    message: Message,
}

/// A network partition that drops all messages from some nodes to others.
#[derive(Debug)]
struct Partition {
    from: Vec<NodeIndex>,
    to: Vec<NodeIndex>,
    until: Micros,
}

#[derive(Debug)]
enum Event {
    Deliver(Box<Envelope>),
    Fault(Fault),
    Restart(NodeIndex),
    StoreUp,
}

#[derive(Debug)]
pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub shards: Vec<ShardId>,
    pub checks: Checks,
    /// Requests that a router has decided to write, or has written, and that no server has
    /// received.
    pub in_flight: BTreeMap<ShardId, Vec<(NodeIndex, Token)>>,
    setup: Setup,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    partitions: Vec<Partition>,
    loss: f64,
    pub steps: u64,
    /// The recorded trace, if there is one.
    pub trace: Option<Recorder>,
}

impl World {
    pub fn new(seed: u64, setup: Setup, plan: &[ScheduledFault]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ppm = |rng: &mut ChaCha8Rng| rng.random_range(-200..=200);
        let nodes = (0..NODES.len())
            .map(|ix| Node::start(ix, 0, 1, ppm(&mut rng), &setup))
            .collect();
        let loss = if rng.random_bool(0.3) { 0.02 } else { 0.0 };
        let mut world = Self {
            now: 0,
            nodes,
            store: Store::new(topology::first_block()),
            shards: (0..topology::SHARDS).map(topology::shard).collect(),
            checks: Checks::default(),
            in_flight: BTreeMap::new(),
            setup,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            partitions: Vec::new(),
            loss,
            steps: 0,
            trace: None,
        };
        for scheduled in plan {
            world.push(scheduled.at, Event::Fault(scheduled.fault.clone()));
        }
        for ix in 0..NODES.len() {
            world.schedule_first_tick(ix);
        }
        world
    }

    /// Removes all shards but shard 0 from the store. The simulation must not have started.
    pub fn with_one_shard(mut self) -> Self {
        self.shards.truncate(1);
        let mut block = self.store.block.clone();
        block.rows.truncate(1);
        self.store = Store::new(block);
        self
    }

    /// Disables random message loss; partitions still drop messages.
    pub fn lossless(mut self) -> Self {
        self.loss = 0.0;
        self
    }

    /// Records a trace of these nodes. The simulation must not have started.
    pub fn recording(mut self, nodes: &[NodeIndex]) -> Self {
        self.trace = Some(Recorder::new(nodes));
        for ix in topology::processes() {
            self.record_start(ix);
        }
        self
    }

    /// Runs until the simulated time `end` or until the first violation.
    pub fn run_until(&mut self, end: Micros) {
        while self.checks.violation.is_none() {
            match self.queue.peek() {
                Some(Reverse((at, _))) if *at <= end => self.step(),
                _ => break,
            }
        }
        self.now = self.now.max(end);
    }

    fn step(&mut self) {
        let Some(Reverse((at, id))) = self.queue.pop() else {
            return;
        };
        let Some(event) = self.events.remove(&id) else {
            return;
        };
        self.now = at;
        self.steps += 1;
        // Other nodes can't add a server that runs requests, and time can only remove one.
        let checked = match &event {
            Event::Deliver(envelope) => envelope.to < CONTROLLERS.start,
            Event::Fault(_) | Event::Restart(_) | Event::StoreUp => true,
        };
        match event {
            Event::Deliver(envelope) => self.deliver(envelope),
            Event::Fault(fault) => self.inject(&fault),
            Event::Restart(ix) => self.restart(ix),
            Event::StoreUp => {
                self.store.down = false;
                self.store.slow_ms = 0;
                self.store.lost_reply_percent = 0;
            }
        }
        if checked {
            self.check();
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        if let Event::Deliver(envelope) = &event
            && let Some((shard, request)) = request_in_flight(&envelope.message)
        {
            self.in_flight.entry(shard).or_default().push(request);
        }
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    /// Schedules the first tick of a node, unless it is a server.
    fn schedule_first_tick(&mut self, ix: NodeIndex) {
        if SERVERS.contains(&ix) {
            return;
        }
        let delay = self.rng.random_range(0..50) * MS;
        self.send_to_self(ix, delay, Message::Tick);
    }

    /// Schedules a message of a node to itself.
    fn send_to_self(&mut self, ix: NodeIndex, delay: Micros, message: Message) {
        let boot = self.nodes[ix].boot;
        let envelope = Envelope {
            from: ix,
            from_boot: boot,
            to: ix,
            to_boot: boot,
            message,
        };
        self.push(self.now + delay, Event::Deliver(Box::new(envelope)));
    }

    /// Sends a message over the network, which may drop or duplicate it.
    fn send(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        self.send_after(from, to, 0, message);
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers create the message for the call"
    )]
    fn send_after(&mut self, from: NodeIndex, to: NodeIndex, delay: Micros, message: Message) {
        if self.is_partitioned(from, to) || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
            return;
        }
        let copies = if self.rng.random_bool(0.01) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + delay + self.latency(from, to);
            let envelope = Envelope {
                from,
                from_boot: self.nodes[from].boot,
                to,
                to_boot: self.nodes[to].boot,
                message: message.clone(),
            };
            self.push(at, Event::Deliver(Box::new(envelope)));
        }
    }

    fn latency(&mut self, from: NodeIndex, to: NodeIndex) -> Micros {
        let same_region = self.nodes[from].region() == self.nodes[to].region();
        let base = if same_region { 250 } else { 4_000 };
        let jitter = if self.rng.random_bool(0.02) {
            60 * MS
        } else {
            base
        };
        base + self.rng.random_range(0..jitter)
    }

    pub fn is_partitioned(&self, from: NodeIndex, to: NodeIndex) -> bool {
        let blocks = |cut: &Partition| {
            cut.until > self.now && cut.from.contains(&from) && cut.to.contains(&to)
        };
        self.partitions.iter().any(blocks)
    }

    fn deliver(&mut self, envelope: Box<Envelope>) {
        if let Some((shard, request)) = request_in_flight(&envelope.message) {
            let in_flight = self.in_flight.entry(shard).or_default();
            if let Some(at) = in_flight.iter().position(|other| *other == request) {
                in_flight.swap_remove(at);
            }
        }
        let node = &self.nodes[envelope.to];
        if !node.up || node.boot != envelope.to_boot {
            return;
        }
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.push(at, Event::Deliver(envelope));
            return;
        }
        self.handle(*envelope);
    }

    fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::Kill {
                node,
                restart_after,
            } => self.kill(node, restart_after),
            Fault::Pause { node, span } => {
                let until = &mut self.nodes[node].paused_until;
                *until = (*until).max(now + span);
            }
            Fault::Partition {
                from,
                to,
                both,
                span,
            } => {
                self.partition(vec![from], vec![to], span);
                if both {
                    self.partition(vec![to], vec![from], span);
                }
            }
            Fault::PartitionRegion {
                region,
                outgoing,
                incoming,
                span,
            } => {
                let (inside, outside): (Vec<NodeIndex>, Vec<NodeIndex>) =
                    (0..NODES.len()).partition(|ix| self.nodes[*ix].region() == region);
                if outgoing {
                    self.partition(inside.clone(), outside.clone(), span);
                }
                if incoming {
                    self.partition(outside, inside, span);
                }
            }
            Fault::KillDataCentre {
                data_centre,
                restart_after,
            } => {
                for ix in topology::processes() {
                    if self.nodes[ix].data_centre == data_centre {
                        self.kill(ix, restart_after);
                    }
                }
            }
            Fault::StoreDown { span } => {
                self.store.down = true;
                self.push(now + span, Event::StoreUp);
            }
            Fault::StoreSlow { span } => {
                self.store.slow_ms = self.rng.random_range(50..1_500);
                self.push(now + span, Event::StoreUp);
            }
            Fault::LoseReplies { span } => {
                self.store.lost_reply_percent = 70;
                self.push(now + span, Event::StoreUp);
            }
            Fault::Move { shard } => self.request_move(shard),
        }
    }

    fn request_move(&mut self, shard: usize) {
        for node in &mut self.nodes {
            if let Kind::Controller(controller) = &mut node.kind {
                controller.view.requested_moves.push(shard);
            }
        }
    }

    fn partition(&mut self, from: Vec<NodeIndex>, to: Vec<NodeIndex>, span: Micros) {
        let until = self.now + span;
        self.partitions.push(Partition { from, to, until });
    }

    fn kill(&mut self, ix: NodeIndex, restart_after: Option<Micros>) {
        if !self.nodes[ix].up {
            return;
        }
        self.nodes[ix].up = false;
        if let Some(span) = restart_after {
            self.push(self.now + span, Event::Restart(ix));
        }
    }

    /// Ends all faults immediately.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.loss = 0.0;
        self.store.down = false;
        self.store.slow_ms = 0;
        self.store.lost_reply_percent = 0;
        for ix in 0..NODES.len() {
            self.nodes[ix].paused_until = 0;
            if !self.nodes[ix].up {
                self.restart(ix);
            }
        }
    }

    fn restart(&mut self, ix: NodeIndex) {
        if self.nodes[ix].up {
            return;
        }
        let boot = self.nodes[ix].boot + 1;
        let ppm = self.rng.random_range(-200..=200);
        self.nodes[ix] = Node::start(ix, self.now, boot, ppm, &self.setup);
        self.record_start(ix);
        self.schedule_first_tick(ix);
    }
}

/// Returns the request that a message carries or will write to a server.
fn request_in_flight(message: &Message) -> Option<(ShardId, (NodeIndex, Token))> {
    match message {
        Message::Send(permit) => {
            let to = topology::node_ix(permit.server.as_str());
            Some((permit.shard.clone(), (to, permit.token)))
        }
        Message::Request { shard, token, to } => Some((shard.clone(), (*to, *token))),
        _ => None,
    }
}
