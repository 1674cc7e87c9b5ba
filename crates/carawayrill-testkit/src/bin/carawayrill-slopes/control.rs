//! Processor time of placement and recovery, and the store calls of a loss.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::Version;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::evidence::StandbyStatus;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::takeover::Action;
use carawayrill_core::ownership::takeover::Change;
use carawayrill_core::ownership::takeover::Input;
use carawayrill_core::ownership::takeover::TakeoverTable;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Balancer;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::EndedIncarnations;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::placement::plan_replacements;
use carawayrill_core::route::block_of;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;

use crate::fleet;
use crate::meter::cpu_time;
use crate::meter::cpu_time_of;

/// Number of timed repetitions of a placement.
const REPEATS: usize = 3;
/// Interval between two ticks of the takeover table, in virtual milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// Number of ticks after which a takeover counts as stuck.
const MAX_TICKS: u64 = 2_000;

/// Returns the processor time of the initial placement, in microseconds.
pub fn first_placement(shards: usize) -> f64 {
    let fleet = fleet::fleet(shards);
    let shards = fleet::shards(shards);
    cpu_time_of(REPEATS, || plan_initial(&fleet, &shards, &[]))
}

/// Returns the processor time of one balance round with skewed demand, in microseconds.
pub fn balance_round(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let load = |index: usize| if index.is_multiple_of(97) { 900 } else { 100 };
    let rows = placed.iter().enumerate();
    let demand: Vec<Demand> = rows
        .map(|(index, row)| Demand::of_load(row.shard.clone(), load(index)))
        .collect();
    cpu_time_of(REPEATS, || {
        let mut balancer = Balancer::new(BalanceConfig::default());
        balancer.round(Time(1), &fleet, &placed, &demand, &BTreeSet::new())
    })
}

/// Marks one router of a fleet as lost.
fn mark_router_lost(fleet: &mut Fleet) {
    fleet.routers[0].state = NodeState::Lost;
}

/// Marks all routers and servers of one data centre as lost.
fn mark_data_centre_lost(fleet: &mut Fleet) {
    let lost = fleet.routers[0].data_centre.clone();
    let routers = fleet.routers.iter_mut();
    for row in routers.filter(|row| row.data_centre == lost) {
        row.state = NodeState::Lost;
    }
    let servers = fleet.servers.iter_mut();
    for row in servers.filter(|row| row.data_centre == lost) {
        row.state = NodeState::Lost;
    }
}

/// Returns the processor time to plan the moves after the loss of one router, in microseconds.
pub fn replace_router(shards: usize) -> f64 {
    let (mut fleet, placed) = fleet::placed(shards);
    mark_router_lost(&mut fleet);
    cpu_time_of(REPEATS, || {
        plan_replacements(&fleet, &placed, &EndedIncarnations::default())
    })
}

/// Returns the processor time to plan the moves after the loss of a data centre, in microseconds.
pub fn replace_data_centre(shards: usize) -> f64 {
    let (mut fleet, placed) = fleet::placed(shards);
    mark_data_centre_lost(&mut fleet);
    cpu_time_of(REPEATS, || {
        plan_replacements(&fleet, &placed, &EndedIncarnations::default())
    })
}

/// Cost of a takeover.
#[derive(Debug, Default)]
struct TakeoverCost {
    /// Processor time of the takeover table, in microseconds.
    cpu_time: f64,
    reads: usize,
    writes: usize,
    changes: usize,
    /// Virtual milliseconds until all changes are in force, if each response takes one tick.
    virtual_ms: u64,
}

/// Simulated store and routers. All of them answer, and each former home has stopped.
#[derive(Debug)]
struct SimulatedCluster {
    blocks: BTreeMap<BlockId, (Version, Block)>,
}

impl SimulatedCluster {
    fn respond(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::ReadBlock { block } => {
                let (version, block) = self.blocks.get(&block)?.clone();
                Some(Input::Block { version, block })
            }
            Action::WriteBlock { expected, block } => {
                let id = block.id.clone();
                let version = expected.next();
                self.blocks.insert(id.clone(), (version, block));
                Some(Input::Written { block: id, version })
            }
            Action::AskRelease { router, rows } => Some(Input::ReleaseReply {
                router,
                incarnation: incarnation(),
                rows: rows
                    .into_iter()
                    .map(|claimed| ReleaseStatus {
                        highest: claimed.token,
                        claimed,
                        stopped: true,
                        pledged: true,
                        server: None,
                        revoked: true,
                        grant_left: 0,
                    })
                    .collect(),
            }),
            Action::AskPromise { router, rows } => Some(Input::StandbyReply {
                router,
                incarnation: incarnation(),
                rows: rows
                    .into_iter()
                    .map(|claimed| StandbyStatus {
                        claimed,
                        acted: false,
                        promised: true,
                    })
                    .collect(),
            }),
            Action::Order { .. } | Action::Emit { .. } => None,
        }
    }
}

/// Returns the incarnation of all routers of the simulation.
fn incarnation() -> Incarnation {
    Incarnation(1_796_335_200_000)
}

/// Converts a move to a change of the takeover table.
fn change(planned_move: &Move, ranges: u32) -> Change {
    let router_incarnation = |router: &RouterId| RouterIncarnation {
        router: router.clone(),
        incarnation: incarnation(),
    };
    Change {
        block: block_of(&planned_move.from.shard, ranges, fleet::SHARDS_PER_BLOCK),
        shard: planned_move.from.shard.clone(),
        from: Some(fleet::assignment(&planned_move.from).token),
        owner: planned_move.to.owner.clone(),
        standby: planned_move.to.standby.clone(),
        home: router_incarnation(&planned_move.to.home),
        standby_home: planned_move
            .to
            .standby_home
            .as_ref()
            .map(router_incarnation),
        reason: planned_move.reason,
    }
}

/// Simulates the takeover of all shards that are affected by the loss that `mark_lost` marks.
fn simulate_takeover(shards: usize, mark_lost: fn(&mut Fleet)) -> TakeoverCost {
    let (mut fleet, placed) = fleet::placed(shards);
    mark_lost(&mut fleet);
    let moves = plan_replacements(&fleet, &placed, &EndedIncarnations::default());
    let ranges = u32::try_from(placed.len() / fleet::SERVICES).unwrap_or(u32::MAX);
    let blocks = fleet::blocks(&placed).into_iter();
    let mut cluster = SimulatedCluster {
        blocks: blocks
            .map(|block| (block.id.clone(), (Version(7), block)))
            .collect(),
    };
    let mut table = TakeoverTable::new(fleet::id("controller-1"), Limits::default());
    let mut cost = TakeoverCost {
        changes: moves.len(),
        ..TakeoverCost::default()
    };
    let before = cpu_time();
    let mut now = Time(1);
    let mut actions = table.input(now, Input::Leading { leading: true });
    for planned_move in &moves {
        let change = change(planned_move, ranges);
        let wall = WallTime(1);
        actions.extend(table.input(now, Input::Wanted { change, wall }));
    }
    for _ in 0..MAX_TICKS {
        if table.pending().next().is_none() {
            break;
        }
        now = Time(now.0 + TICK_INTERVAL_MS);
        let mut next = table.tick(now);
        for action in actions.drain(..) {
            cost.reads += usize::from(matches!(action, Action::ReadBlock { .. }));
            cost.writes += usize::from(matches!(action, Action::WriteBlock { .. }));
            if let Some(input) = cluster.respond(action) {
                next.extend(table.input(now, input));
            }
        }
        actions = next;
    }
    cost.cpu_time = cpu_time() - before;
    cost.virtual_ms = now.0 - 1;
    cost
}

/// Returns the processor time of the takeover table for the loss of one router, in microseconds.
pub fn takeover_time(shards: usize) -> f64 {
    simulate_takeover(shards, mark_router_lost).cpu_time
}

/// Returns the number of changes after the loss of one router.
pub fn takeover_changes(shards: usize) -> f64 {
    simulate_takeover(shards, mark_router_lost).changes as f64
}

/// Returns the number of store reads by the controller after the loss of one router.
pub fn takeover_reads(shards: usize) -> f64 {
    simulate_takeover(shards, mark_router_lost).reads as f64
}

/// Returns the number of store writes by the controller after the loss of one router.
pub fn takeover_writes(shards: usize) -> f64 {
    simulate_takeover(shards, mark_router_lost).writes as f64
}

/// Returns the time until all changes after the loss of one router are in force, in virtual
/// milliseconds.
pub fn takeover_span(shards: usize) -> f64 {
    simulate_takeover(shards, mark_router_lost).virtual_ms as f64
}

/// Returns the processor time of the takeover table for the loss of a data centre, in microseconds.
pub fn data_centre_time(shards: usize) -> f64 {
    simulate_takeover(shards, mark_data_centre_lost).cpu_time
}

/// Returns the number of changes after the loss of a data centre.
pub fn data_centre_changes(shards: usize) -> f64 {
    simulate_takeover(shards, mark_data_centre_lost).changes as f64
}

/// Returns the number of store reads and writes by the controller after the loss of a data centre.
pub fn data_centre_calls(shards: usize) -> f64 {
    let cost = simulate_takeover(shards, mark_data_centre_lost);
    (cost.reads + cost.writes) as f64
}

/// Returns the number of blocks that the relays of all data centres check.
///
/// A relay checks each block in which a router of its data centre is a home or standby home.
pub fn checked_blocks(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let centre: BTreeMap<_, _> = fleet
        .routers
        .iter()
        .map(|row| (&row.id, &row.data_centre))
        .collect();
    let ranges = u32::try_from(placed.len() / fleet::SERVICES).unwrap_or(u32::MAX);
    let pairs = placed.iter().flat_map(|row: &Placement| {
        let block = block_of(&row.shard, ranges, fleet::SHARDS_PER_BLOCK);
        let routers = [Some(&row.home), row.standby_home.as_ref()];
        routers
            .into_iter()
            .flatten()
            .filter_map(|id| {
                centre
                    .get(id)
                    .map(|centre| ((*centre).clone(), block.clone()))
            })
            .collect::<Vec<_>>()
    });
    let distinct: BTreeSet<String> = pairs
        .map(|(centre, block)| format!("{centre} {block}"))
        .collect();
    distinct.len() as f64
}
