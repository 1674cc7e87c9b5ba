//! The condition for making the first placement.

use std::collections::BTreeSet;

use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::time::Time;

use crate::fleet::PlanningInput;

/// Maximum wait for more routers, counted from the first one, in heartbeat intervals.
const MAX_STARTUP_INTERVALS: u32 = 10;

/// Returns whether the routers and servers that start together have had time to appear.
///
/// This is the case once each server owns a shard or has been reported or probed, and either no new
/// router has appeared for one heartbeat interval or the maximum wait has passed. A first placement
/// on only half of them would have to be changed at once.
#[must_use]
pub fn is_startup_complete(input: &PlanningInput<'_>, fleet: &Fleet) -> bool {
    let owners: BTreeSet<&ServerId> = input.view.rows().map(|row| &row.owner).collect();
    let mut servers = input.deployment.servers.iter().map(|server| &server.id);
    if servers.any(|id| !input.servers.is_known(id) && !owners.contains(id)) {
        return false;
    }
    let interval = input.deployment.timing.heartbeat_every.0;
    let live = |router: &RouterId| {
        let row = fleet.router(router);
        row.is_some_and(|row| row.state == NodeState::Live)
    };
    let members = input.view.members.values();
    let mut first_seen: Vec<Time> = members
        .filter(|entry| live(&entry.member.router))
        .map(|entry| entry.since)
        .collect();
    first_seen.sort_unstable();
    let (Some(&first), Some(&last)) = (first_seen.first(), first_seen.last()) else {
        return false;
    };
    input.now.since(last) >= interval || input.now.since(first) >= interval * MAX_STARTUP_INTERVALS
}
