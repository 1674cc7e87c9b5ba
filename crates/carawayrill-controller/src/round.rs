//! When the first placement may be made.

use std::collections::BTreeSet;

use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::time::Time;

use crate::fleet::Judge;

/// Heartbeat intervals that the first placement waits at most for more routers to appear.
const SETTLE_INTERVALS: u32 = 10;

/// Tells whether the routers and servers that start together have had the time to show up. A first
/// placement made for half of them would have to be moved at once.
#[must_use]
pub fn is_settled(judge: &Judge<'_>, fleet: &Fleet) -> bool {
    let owners: BTreeSet<&ServerId> = judge.view.rows().map(|row| &row.owner).collect();
    let mut servers = judge.deployment.servers.iter().map(|server| &server.id);
    if servers.any(|id| !judge.servers.is_known(id) && !owners.contains(id)) {
        return false;
    }
    let interval = judge.deployment.timing.heartbeat_every.0;
    let live = |router: &RouterId| {
        let row = fleet.router(router);
        row.is_some_and(|row| row.state == NodeState::Live)
    };
    let members = judge.view.members.values();
    let mut seen: Vec<Time> = members
        .filter(|member| live(&member.member.router))
        .map(|member| member.since)
        .collect();
    seen.sort_unstable();
    let (Some(&first), Some(&last)) = (seen.first(), seen.last()) else {
        return false;
    };
    judge.now.since(last) >= interval || judge.now.since(first) >= interval * SETTLE_INTERVALS
}
