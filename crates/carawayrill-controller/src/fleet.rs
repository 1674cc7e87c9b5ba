//! The tables of servers and routers that placement reads, built from the controller's tables.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::RouterRow;
use carawayrill_core::placement::ServerRow;
use carawayrill_core::time::Time;
use compact_str::CompactString;

use crate::heartbeats::HeartbeatTable;
use crate::heartbeats::ReceivedHeartbeat;
use crate::servers::ServerTable;
use crate::view::MemberEntry;
use crate::view::StoreView;

/// The tables and times from which the fleet's state and a plan are computed.
#[derive(Debug)]
pub struct PlanningInput<'a> {
    /// The configuration in force.
    pub deployment: &'a Deployment,
    /// Contents of the store.
    pub view: &'a StoreView,
    /// Heartbeats of the routers.
    pub heartbeats: &'a HeartbeatTable,
    /// Health of the servers.
    pub servers: &'a ServerTable,
    /// Names of VMs that the platform will stop soon.
    pub stopping_vms: &'a BTreeSet<CompactString>,
    /// When this controller became the leader. Silence of a router before that doesn't count.
    pub leading_since: Time,
    /// The present time.
    pub now: Time,
}

impl PlanningInput<'_> {
    /// Returns the present state of all servers and routers.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let servers = self.deployment.servers.iter().filter_map(|server| {
            let region = self.deployment.region_of(&server.data_centre)?.clone();
            let draining =
                self.servers.is_draining(&server.id) || self.is_drain_requested(server.id.as_str());
            Some(ServerRow {
                id: server.id.clone(),
                service: server.service.clone(),
                data_centre: server.data_centre.clone(),
                region,
                weight: 1,
                state: node_state(self.servers.is_lost(&server.id), draining),
            })
        });
        let routers = self
            .view
            .members
            .values()
            .filter_map(|entry| self.router(entry));
        Fleet {
            servers: servers.collect(),
            routers: routers.collect(),
        }
    }

    /// Returns the row of one router, or `None` if its data centre is not declared.
    fn router(&self, entry: &MemberEntry) -> Option<RouterRow> {
        let member = &entry.member;
        let region = self.deployment.region_of(&member.data_centre)?.clone();
        let draining = member.draining
            || self.is_drain_requested(member.router.as_str())
            || self
                .last_heartbeat(entry)
                .is_some_and(|received| received.heartbeat.draining);
        Some(RouterRow {
            id: member.router.clone(),
            data_centre: member.data_centre.clone(),
            region,
            state: node_state(self.is_router_lost(entry), draining),
        })
    }

    /// Returns the last heartbeat of a router's present incarnation.
    fn last_heartbeat(&self, entry: &MemberEntry) -> Option<&ReceivedHeartbeat> {
        self.heartbeats
            .get(&entry.member.router)
            .filter(|received| received.heartbeat.incarnation == entry.member.incarnation)
    }

    /// Returns whether a router has been silent for too long.
    fn is_router_lost(&self, entry: &MemberEntry) -> bool {
        let (silent, limit) = self.silence(entry);
        silent >= limit
    }

    /// Returns the time since a router's last heartbeat, and the limit at which it counts as lost.
    #[must_use]
    pub fn silence(&self, entry: &MemberEntry) -> (Duration, Duration) {
        let since = entry.since.max(self.leading_since);
        self.heartbeats.silence(
            &entry.member.router,
            entry.member.incarnation,
            since,
            self.now,
            self.deployment.timing.router_silence.0,
        )
    }

    /// Returns whether an operator or the platform has requested that a server or router drains.
    fn is_drain_requested(&self, name: &str) -> bool {
        self.view.drains.contains_key(name) || self.stopping_vms.contains(name)
    }
}

fn node_state(lost: bool, draining: bool) -> NodeState {
    match (lost, draining) {
        (true, _) => NodeState::Lost,
        (false, true) => NodeState::Draining,
        (false, false) => NodeState::Live,
    }
}
