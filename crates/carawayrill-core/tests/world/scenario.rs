//! Fixed schedules in which several faults coincide, taken from interleavings that were found while
//! the design was reviewed.

use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::ownership::limits::Policy;

use super::check::ViolationKind;
use super::clock::MS;
use super::clock::Micros;
use super::fault::Fault;
use super::fault::ScheduledFault;
use super::message::NodeIndex;
use super::node::Setup;
use super::schedule;
use super::topology::STORE;
use super::topology::node_ix;

/// Number of seeds for each scenario. A seed varies the delays of messages.
const VARIANTS: u64 = 20;

/// A fixed fault schedule under one policy.
pub struct Scenario {
    pub policy: Policy,
    pub plan: Vec<ScheduledFault>,
}

impl Scenario {
    pub fn setup(&self, mechanisms: Mechanisms) -> Setup {
        Setup {
            limits: Limits::default(),
            policy: self.policy,
            mechanisms,
        }
    }

    /// Runs the scenario with several seeds and counts the violations of safety.
    pub fn breaks(&self, mechanisms: Mechanisms) -> usize {
        let setup = self.setup(mechanisms);
        let runs = (0..VARIANTS).filter_map(|seed| schedule::run(seed, setup, &self.plan));
        runs.filter(|(_, kind, _)| *kind != ViolationKind::NotServed)
            .count()
    }
}

fn at(ms: Micros, fault: Fault) -> ScheduledFault {
    ScheduledFault { at: ms * MS, fault }
}

fn cut(ms: Micros, from: NodeIndex, to: NodeIndex, span_ms: Micros) -> ScheduledFault {
    at(
        ms,
        Fault::Partition {
            from,
            to,
            both: true,
            span: span_ms * MS,
        },
    )
}

fn kill(ms: Micros, node: NodeIndex, back_ms: Micros) -> ScheduledFault {
    at(
        ms,
        Fault::Kill {
            node,
            restart_after: Some(back_ms * MS),
        },
    )
}

fn pause(ms: Micros, node: NodeIndex, span_ms: Micros) -> ScheduledFault {
    at(
        ms,
        Fault::Pause {
            node,
            span: span_ms * MS,
        },
    )
}

const STOP: Policy = Policy {
    validity: 2_000,
    fencing: true,
    ranges: 2,
};
const HOLD: Policy = Policy {
    validity: 20_000,
    fencing: true,
    ranges: 2,
};
const UNFENCED: Policy = Policy {
    validity: 2_000,
    fencing: false,
    ranges: 2,
};

/// The home is partitioned from the store just before the intent is written, and its server from
/// all other processes. Only the elapsed time shows that the home's authority has ended.
pub fn home_and_server_cut_off() -> Scenario {
    let (s0, r0, r2, c0, c1) = (
        node_ix("s0"),
        node_ix("r0"),
        node_ix("r2"),
        node_ix("c0"),
        node_ix("c1"),
    );
    let mut plan = vec![cut(3_000, r2, s0, 8_000)];
    plan.extend(
        [c0, c1]
            .into_iter()
            .flat_map(|c| [cut(3_000, c, r0, 8_000), cut(3_000, c, s0, 8_000)]),
    );
    plan.push(cut(6_300, r0, STORE, 5_000));
    Scenario { policy: STOP, plan }
}

/// The standby home takes over while the home is paused, and can't write the takeover to the store.
/// The owner restarts and loses the fence. The home resumes and finds a server without a fence.
pub fn owner_forgets_the_takeover() -> Scenario {
    let (s0, r0, r2) = (node_ix("s0"), node_ix("r0"), node_ix("r2"));
    let plan = vec![
        pause(3_000, r0, 2_600),
        cut(3_500, r2, STORE, 5_500),
        kill(5_300, s0, 150),
        cut(5_300, r2, s0, 3_700),
    ];
    Scenario { policy: HOLD, plan }
}

/// The home replaces the owner without the store, and restarts before it has written the change.
pub fn home_forgets_the_failover() -> Scenario {
    let (s0, r0) = (node_ix("s0"), node_ix("r0"));
    let plan = vec![
        cut(3_000, r0, STORE, 2_600),
        cut(3_100, r0, s0, 2_400),
        kill(5_500, r0, 50),
    ];
    Scenario { policy: HOLD, plan }
}

/// The standby home is partitioned from the home and takes over, but can't write the takeover to
/// the store. Meanwhile the home releases the shard for a planned move.
pub fn move_races_the_standby() -> Scenario {
    let (s0, r0, r2) = (node_ix("s0"), node_ix("r0"), node_ix("r2"));
    let plan = vec![
        cut(2_900, r2, STORE, 6_000),
        cut(2_900, r2, r0, 6_000),
        cut(2_900, r0, s0, 6_000),
        at(3_200, Fault::Move { shard: 0 }),
    ];
    Scenario { policy: HOLD, plan }
}

/// The home is paused between the permit and the send, and is replaced before it resumes. Its
/// servers don't check fencing tokens.
pub fn paused_before_the_send() -> Scenario {
    let plan = vec![
        kill(2_000, node_ix("s0"), 20_000),
        kill(4_200, node_ix("r2"), 6_000),
        pause(2_600, node_ix("r0"), 5_800),
    ];
    Scenario {
        policy: UNFENCED,
        plan,
    }
}

/// The home is paused for longer than its grants last, and resumes.
pub fn home_frozen() -> Scenario {
    let plan = vec![pause(3_000, node_ix("r0"), 3_000)];
    Scenario { policy: STOP, plan }
}
