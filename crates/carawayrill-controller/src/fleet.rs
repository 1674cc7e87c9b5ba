//! The tables of servers and routers that placement reads, made of all that is known of them.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::RouterRow;
use carawayrill_core::placement::ServerRow;
use carawayrill_core::time::Time;
use compact_str::CompactString;

use crate::heard::Heard;
use crate::heard::HeardTable;
use crate::servers::ServerTable;
use crate::view::MemberSeen;
use crate::view::View;

/// What the fleet is judged by.
#[derive(Debug)]
pub struct Judge<'a> {
    /// The configuration in force.
    pub deployment: &'a Deployment,
    /// What the store holds.
    pub view: &'a View,
    /// What the routers said.
    pub heard: &'a HeardTable,
    /// What is known of servers.
    pub servers: &'a ServerTable,
    /// Names of VMs that the platform will stop soon.
    pub leaving: &'a BTreeSet<CompactString>,
    /// When this controller began to lead: silence before that says nothing.
    pub leading_since: Time,
    /// Now.
    pub now: Time,
}

impl Judge<'_> {
    /// Makes the tables.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let servers = self.deployment.servers.iter().filter_map(|server| {
            let region = self.deployment.region_of(&server.data_centre)?.clone();
            let leaves =
                self.servers.is_draining(&server.id) || self.is_told_to_leave(server.id.as_str());
            Some(ServerRow {
                id: server.id.clone(),
                service: server.service.clone(),
                data_centre: server.data_centre.clone(),
                region,
                weight: 1,
                state: state(self.servers.is_lost(&server.id), leaves),
            })
        });
        let routers = self
            .view
            .members
            .values()
            .filter_map(|seen| self.router(seen));
        Fleet {
            servers: servers.collect(),
            routers: routers.collect(),
        }
    }

    /// Makes the row of one router.
    fn router(&self, seen: &MemberSeen) -> Option<RouterRow> {
        let member = &seen.member;
        let region = self.deployment.region_of(&member.data_centre)?.clone();
        let leaves = member.draining
            || self.is_told_to_leave(member.router.as_str())
            || self.beat(seen).is_some_and(|heard| heard.beat.draining);
        Some(RouterRow {
            id: member.router.clone(),
            data_centre: member.data_centre.clone(),
            region,
            state: state(self.is_router_lost(seen), leaves),
        })
    }

    /// Returns the last heartbeat of a router's present run.
    fn beat(&self, seen: &MemberSeen) -> Option<&Heard> {
        self.heard
            .get(&seen.member.router)
            .filter(|heard| heard.beat.incarnation == seen.member.incarnation)
    }

    /// Tells whether a router has been silent too long.
    fn is_router_lost(&self, seen: &MemberSeen) -> bool {
        let (silent, limit) = self.silence(seen);
        silent >= limit
    }

    /// Returns how long a router has been silent, and the silence that makes it lost.
    #[must_use]
    pub fn silence(&self, seen: &MemberSeen) -> (Duration, Duration) {
        let since = seen.since.max(self.leading_since);
        self.heard.silence(
            &seen.member.router,
            seen.member.incarnation,
            since,
            self.now,
            self.deployment.timing.router_silence.0,
        )
    }

    /// Tells whether an operator or the platform wants a server or router to leave.
    fn is_told_to_leave(&self, name: &str) -> bool {
        self.view.drains.contains_key(name) || self.leaving.contains(name)
    }
}

/// Folds what is known of a server or router into its state.
fn state(lost: bool, leaves: bool) -> NodeState {
    match (lost, leaves) {
        (true, _) => NodeState::Lost,
        (false, true) => NodeState::Draining,
        (false, false) => NodeState::Live,
    }
}
