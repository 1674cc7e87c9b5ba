//! One round of placement: what to write next, given all tables.

use carawayrill_core::id::ShardId;
use carawayrill_core::placement::Degraded;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placed;
use carawayrill_core::placement::initial;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;

use crate::blocks::BlockWrite;
use crate::blocks::all_ranges;
use crate::blocks::first_writes;
use crate::fleet::Judge;

/// Heartbeat intervals that the first placement waits at most for more routers to appear.
const SETTLE_INTERVALS: u32 = 10;

/// What a round decided.
#[derive(Debug, Default)]
pub struct Round {
    /// Blocks to write.
    pub writes: Vec<BlockWrite>,
    /// What falls short of rule 1 in them.
    pub degraded: Vec<Degraded>,
    /// Shards that no server can take now.
    pub open: Vec<ShardId>,
}

/// Places all shards that have no owner yet.
#[must_use]
pub fn place_new(judge: &Judge<'_>, fleet: &Fleet, now: WallTime) -> Round {
    if !is_settled(judge, fleet) {
        return Round::default();
    }
    let current: Vec<Placed> = judge.view.rows().map(Placed::from).collect();
    let plan = initial(fleet, &all_ranges(judge.deployment), &current);
    Round {
        writes: first_writes(judge.deployment, judge.view, plan.placed, now),
        degraded: plan.degraded,
        open: plan.open,
    }
}

/// Tells whether the routers that start together have had the time to show up. A first placement
/// made for half of them would have to be moved at once.
fn is_settled(judge: &Judge<'_>, fleet: &Fleet) -> bool {
    let interval = judge.deployment.timing.heartbeat_every.0;
    let live = |router: &carawayrill_core::id::RouterId| {
        fleet
            .router(router)
            .is_some_and(|row| row.state == NodeState::Live)
    };
    let mut seen: Vec<Time> = judge
        .view
        .members
        .values()
        .filter(|member| live(&member.member.router))
        .map(|member| member.since)
        .collect();
    seen.sort_unstable();
    let (Some(&first), Some(&last)) = (seen.first(), seen.last()) else {
        return false;
    };
    judge.now.since(last) >= interval || judge.now.since(first) >= interval * SETTLE_INTERVALS
}
