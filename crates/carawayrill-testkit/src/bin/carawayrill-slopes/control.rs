//! Processor time of placement and recovery, and the store calls of events.

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
use carawayrill_core::placement::EndedRuns;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placed;
use carawayrill_core::placement::initial;
use carawayrill_core::placement::replace;
use carawayrill_core::route::block_of;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;

use crate::fleet;
use crate::meter::processor;
use crate::meter::time_of;

/// Runs of one round of placement.
const RUNS: usize = 3;
/// Milliseconds between two ticks of the table of changes.
const TICK_MS: u64 = 50;
/// Ticks after which a takeover counts as stuck.
const MOST_TICKS: u64 = 2_000;

/// Microseconds to place so many shards for the first time.
pub fn first_placement(shards: usize) -> f64 {
    let fleet = fleet::fleet(shards);
    let shards = fleet::shards(shards);
    time_of(RUNS, || initial(&fleet, &shards, &[]))
}

/// Microseconds of one balance round over so many shards with skewed demand.
pub fn balance_round(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let load = |index: usize| if index.is_multiple_of(97) { 900 } else { 100 };
    let rows = placed.iter().enumerate();
    let demand: Vec<Demand> = rows
        .map(|(index, row)| Demand::of_load(row.shard.clone(), load(index)))
        .collect();
    time_of(RUNS, || {
        let mut balancer = Balancer::new(BalanceConfig::default());
        balancer.round(Time(1), &fleet, &placed, &demand, &BTreeSet::new())
    })
}

/// Takes one router out of a fleet.
fn lose_router(fleet: &mut Fleet) {
    fleet.routers[0].state = NodeState::Lost;
}

/// Takes a whole data centre out of a fleet.
fn lose_data_centre(fleet: &mut Fleet) {
    let gone = fleet.routers[0].data_centre.clone();
    let routers = fleet.routers.iter_mut();
    for row in routers.filter(|row| row.data_centre == gone) {
        row.state = NodeState::Lost;
    }
    let servers = fleet.servers.iter_mut();
    for row in servers.filter(|row| row.data_centre == gone) {
        row.state = NodeState::Lost;
    }
}

/// Microseconds to decide on what replaces one lost router, among so many shards.
pub fn replace_router(shards: usize) -> f64 {
    let (mut fleet, placed) = fleet::placed(shards);
    lose_router(&mut fleet);
    time_of(RUNS, || replace(&fleet, &placed, &EndedRuns::default()))
}

/// Microseconds to decide on what replaces a lost data centre, among so many shards.
pub fn replace_data_centre(shards: usize) -> f64 {
    let (mut fleet, placed) = fleet::placed(shards);
    lose_data_centre(&mut fleet);
    time_of(RUNS, || replace(&fleet, &placed, &EndedRuns::default()))
}

/// What a takeover took.
#[derive(Debug, Default)]
struct Takeover {
    /// Processor time of the table, in microseconds.
    time: f64,
    reads: usize,
    writes: usize,
    changes: usize,
    /// Milliseconds until all changes were in force, if each answer takes one tick.
    virtual_ms: u64,
}

/// The store and the routers that a takeover meets. All answer; the home has stopped.
#[derive(Debug)]
struct World {
    blocks: BTreeMap<BlockId, (Version, Block)>,
}

impl World {
    fn answer(&mut self, action: Action) -> Option<Input> {
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
                incarnation: run(),
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
                incarnation: run(),
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

/// The run of all routers here.
fn run() -> Incarnation {
    Incarnation(1_796_335_200_000)
}

/// Makes the change of a move.
fn change(step: &Move, ranges: u32) -> Change {
    let run = |router: &RouterId| RouterIncarnation {
        router: router.clone(),
        incarnation: run(),
    };
    Change {
        block: block_of(&step.from.shard, ranges, fleet::SHARDS_PER_BLOCK),
        shard: step.from.shard.clone(),
        from: Some(fleet::assignment(&step.from).token),
        owner: step.to.owner.clone(),
        standby: step.to.standby.clone(),
        home: run(&step.to.home),
        standby_home: step.to.standby_home.as_ref().map(run),
        reason: step.reason,
    }
}

/// Carries out what replaces what `lose` takes out of a fleet for so many shards.
fn take_over(shards: usize, lose: fn(&mut Fleet)) -> Takeover {
    let (mut fleet, placed) = fleet::placed(shards);
    lose(&mut fleet);
    let moves = replace(&fleet, &placed, &EndedRuns::default());
    let ranges = u32::try_from(placed.len() / fleet::SERVICES).unwrap_or(u32::MAX);
    let blocks = fleet::blocks(&placed).into_iter();
    let mut world = World {
        blocks: blocks
            .map(|block| (block.id.clone(), (Version(7), block)))
            .collect(),
    };
    let mut table = TakeoverTable::new(fleet::id("controller-1"), Limits::default());
    let mut found = Takeover {
        changes: moves.len(),
        ..Takeover::default()
    };
    let before = processor();
    let mut now = Time(1);
    let mut actions = table.input(now, Input::Leading { leading: true });
    for step in &moves {
        let change = change(step, ranges);
        let wall = WallTime(1);
        actions.extend(table.input(now, Input::Wanted { change, wall }));
    }
    for _ in 0..MOST_TICKS {
        if table.pending().next().is_none() {
            break;
        }
        now = Time(now.0 + TICK_MS);
        let mut next = table.tick(now);
        for action in actions.drain(..) {
            found.reads += usize::from(matches!(action, Action::ReadBlock { .. }));
            found.writes += usize::from(matches!(action, Action::WriteBlock { .. }));
            if let Some(input) = world.answer(action) {
                next.extend(table.input(now, input));
            }
        }
        actions = next;
    }
    found.time = processor() - before;
    found.virtual_ms = now.0 - 1;
    found
}

/// Microseconds of the table of changes for the loss of one router among so many shards.
pub fn takeover_time(shards: usize) -> f64 {
    take_over(shards, lose_router).time
}

/// Changes that follow from the loss of one router.
pub fn takeover_changes(shards: usize) -> f64 {
    take_over(shards, lose_router).changes as f64
}

/// Reads of the store by the controller for the loss of one router.
pub fn takeover_reads(shards: usize) -> f64 {
    take_over(shards, lose_router).reads as f64
}

/// Writes to the store by the controller for the loss of one router.
pub fn takeover_writes(shards: usize) -> f64 {
    take_over(shards, lose_router).writes as f64
}

/// Virtual milliseconds until all changes after the loss of one router are in force.
pub fn takeover_span(shards: usize) -> f64 {
    take_over(shards, lose_router).virtual_ms as f64
}

/// Microseconds of the table of changes for the loss of a data centre.
pub fn data_centre_time(shards: usize) -> f64 {
    take_over(shards, lose_data_centre).time
}

/// Changes that follow from the loss of a data centre.
pub fn data_centre_changes(shards: usize) -> f64 {
    take_over(shards, lose_data_centre).changes as f64
}

/// Reads and writes of the store by the controller for the loss of a data centre.
pub fn data_centre_calls(shards: usize) -> f64 {
    let found = take_over(shards, lose_data_centre);
    (found.reads + found.writes) as f64
}

/// Blocks that all data centres together check: each relay those in which a router of its data
/// centre is a home or a standby home.
pub fn checked_blocks(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let centre: BTreeMap<_, _> = fleet
        .routers
        .iter()
        .map(|row| (&row.id, &row.data_centre))
        .collect();
    let ranges = u32::try_from(placed.len() / fleet::SERVICES).unwrap_or(u32::MAX);
    let pairs = placed.iter().flat_map(|row: &Placed| {
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
