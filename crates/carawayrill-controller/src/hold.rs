//! The grace period for takeovers that need no controller.
//!
//! A home replaces a lost server by its standby without the controller, and a standby home takes
//! over from a lost home in the same way. Both are faster than a change by the controller, which
//! would only conflict with them. The controller therefore defers its own change for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::assignment::Reason;
use carawayrill_core::id::NodeId;
use carawayrill_core::id::RouterId;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::NodeState;
use carawayrill_core::time::Time;

/// Time for a takeover by a home or standby home before the controller makes the change itself.
pub const TAKEOVER_GRACE: Duration = Duration::from_millis(1_500);

/// The lost servers and routers, with the time since which each has been lost.
#[derive(Debug, Default)]
pub struct HoldTable {
    lost: BTreeMap<NodeId, Time>,
}

impl HoldTable {
    /// Updates the table with the servers and routers that are lost now.
    pub fn on_fleet(&mut self, now: Time, fleet: &Fleet) {
        let servers = fleet.servers.iter().map(|row| (row.id.as_str(), row.state));
        let routers = fleet.routers.iter().map(|row| (row.id.as_str(), row.state));
        let lost = servers
            .chain(routers)
            .filter(|(_, state)| *state == NodeState::Lost)
            .filter_map(|(name, _)| NodeId::try_from(name).ok());
        let before = std::mem::take(&mut self.lost);
        let since = |name: &NodeId| before.get(name).copied().unwrap_or(now);
        self.lost = lost
            .map(|name| (since(&name), name))
            .map(|(at, name)| (name, at))
            .collect();
    }

    /// Returns whether a move is deferred, because a home or standby home may still take over by
    /// itself. `fenced` says whether the service's servers check fencing tokens; without them no
    /// standby home takes over.
    #[must_use]
    pub fn defers(&self, now: Time, fleet: &Fleet, step: &Move, fenced: bool) -> bool {
        let from = &step.from;
        let is_server_live = |id| {
            fleet
                .server(id)
                .is_some_and(|row| row.state != NodeState::Lost)
        };
        let is_router_live = |id| {
            fleet
                .router(id)
                .is_some_and(|row| row.state != NodeState::Lost)
        };
        let (name, can_take_over) = match step.reason {
            Reason::ServerLost => {
                let standby = from.standby.as_ref().is_some_and(is_server_live);
                (from.owner.as_str(), standby && is_router_live(&from.home))
            }
            // Only the standby home is lost. To replace it, the home has to pledge its owner. If
            // the same failure has taken the owner as well, the home has to replace that first.
            Reason::HomeLost if is_router_live(&from.home) => {
                let standby_home = from.standby_home.as_ref();
                (standby_home.map_or("", RouterId::as_str), true)
            }
            Reason::HomeLost => {
                let standby = from.standby_home.as_ref().is_some_and(is_router_live);
                (from.home.as_str(), standby && fenced)
            }
            _ => return false,
        };
        let since = NodeId::try_from(name)
            .ok()
            .and_then(|name| self.lost.get(&name));
        can_take_over && since.is_some_and(|at| now.since(*at) < TAKEOVER_GRACE)
    }

    /// Returns whether a grace period ended after `from` and by `to`. A new plan is then needed
    /// even if nothing else has changed.
    #[must_use]
    pub fn ends_between(&self, from: Time, to: Time) -> bool {
        let ends = self.lost.values().map(|at| *at + TAKEOVER_GRACE);
        ends.into_iter().any(|end| from < end && end <= to)
    }
}
