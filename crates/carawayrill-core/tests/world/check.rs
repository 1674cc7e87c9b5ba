//! Invariants that are checked after each step.

use std::collections::BTreeMap;

use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::token::Token;

use super::World;
use super::message::NodeIndex;
use super::node::Kind;
use super::topology::ROUTERS;
use super::topology::SERVERS;
use super::topology::node_ix;

/// The kind of a violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// Two servers would run requests of one shard at the same time.
    TwoOwners,
    /// A server ran a request of a former owner after the next owner had run one.
    StaleRun,
    /// A granted stored token is not in the store's history, or the token in the store decreased.
    LostAssignment,
    /// The highest token of a server decreased within one incarnation.
    TokenRegressed,
    /// A shard was not served in time.
    NotServed,
}

/// The state of the checks.
#[derive(Debug, Default)]
pub struct Checks {
    pub violation: Option<(u64, ViolationKind, String)>,
    last_run: BTreeMap<ShardId, (Token, NodeIndex)>,
    highest: BTreeMap<(NodeIndex, u64, ShardId), Token>,
    rows: BTreeMap<ShardId, Token>,
}

impl World {
    /// Returns the servers that would run a request of the shard now. With fencing these are the
    /// servers with a grant that has not ended. Without it these are the servers to which a router
    /// may send or has sent requests.
    pub fn runnable(&self, shard: &ShardId) -> Vec<(NodeIndex, Token)> {
        if !self.setup.mechanisms.fence || !self.setup.policy.fencing {
            return self.sendable(shard);
        }
        let servers = SERVERS.filter(|ix| self.nodes[*ix].up);
        let open = servers.filter_map(|ix| Some((ix, self.open_grant(ix, shard)?)));
        open.collect()
    }

    fn open_grant(&self, ix: NodeIndex, shard: &ShardId) -> Option<Token> {
        let node = &self.nodes[ix];
        match &node.kind {
            Kind::Server(fence) => fence.open_grant(node.clock.server(self.now), shard),
            _ => None,
        }
    }

    fn sendable(&self, shard: &ShardId) -> Vec<(NodeIndex, Token)> {
        let mut found = Vec::new();
        if self.setup.policy.fencing {
            found.extend(self.in_flight.get(shard).into_iter().flatten().copied());
        }
        for ix in ROUTERS {
            let node = &self.nodes[ix];
            let Kind::Router(table) = &node.kind else {
                continue;
            };
            let permit = table.permit(node.clock.local(self.now), shard).ok();
            if let Some(permit) = permit.filter(|_| node.up) {
                found.push((node_ix(permit.server.as_str()), permit.token));
            }
        }
        found
    }

    pub fn check(&mut self) {
        if self.checks.violation.is_some() {
            return;
        }
        for shard in self.shards.clone() {
            self.check_owners(&shard);
            self.check_tokens(&shard);
        }
    }

    fn check_owners(&mut self, shard: &ShardId) {
        let runnable = self.runnable(shard);
        let first = runnable.first().copied();
        let second = runnable
            .iter()
            .find(|(ix, _)| Some(*ix) != first.map(|(ix, _)| ix));
        if let (Some(first), Some(second)) = (first, second) {
            let text = format!(
                "{shard}: {} would run requests with {} and {} with {}",
                self.nodes[first.0].name, first.1, self.nodes[second.0].name, second.1
            );
            self.report(ViolationKind::TwoOwners, text);
        }
    }

    fn check_tokens(&mut self, shard: &ShardId) {
        for ix in SERVERS {
            let node = &self.nodes[ix];
            let Kind::Server(fence) = &node.kind else {
                continue;
            };
            let highest = fence.highest(shard);
            let known = self
                .checks
                .highest
                .entry((ix, node.boot, shard.clone()))
                .or_default();
            let decreased = highest < *known;
            *known = highest;
            if decreased {
                self.report(
                    ViolationKind::TokenRegressed,
                    format!("{shard}: the highest token on node {ix} decreased"),
                );
            }
        }
    }

    /// Checks a request that starts to run against those that ran before.
    pub fn check_run(&mut self, ix: NodeIndex, shard: &ShardId, token: Token) {
        if !self.setup.policy.fencing {
            return;
        }
        let last = self.checks.last_run.get(shard).copied();
        if let Some((newer, by)) = last
            && newer > token
            && by != ix
        {
            let text = format!(
                "{shard}: {} ran {token} after {} ran {newer}",
                self.nodes[ix].name, self.nodes[by].name
            );
            self.report(ViolationKind::StaleRun, text);
        }
        if last.is_none_or(|(newer, _)| token >= newer) {
            self.checks.last_run.insert(shard.clone(), (token, ix));
        }
    }

    /// Checks a request that is written to a server without fencing: no other server may get
    /// requests of the shard at the same time.
    pub fn check_single_receiver(&mut self, permit: &Permit) {
        if self.setup.policy.fencing {
            return;
        }
        let to = node_ix(permit.server.as_str());
        let others = self.sendable(&permit.shard);
        if let Some((other, token)) = others.into_iter().find(|(ix, _)| *ix != to) {
            let text = format!(
                "{}: sent to node {to} while {token} permits node {other}",
                permit.shard
            );
            self.report(ViolationKind::TwoOwners, text);
        }
    }

    /// Checks that the store has acknowledged the term of a granted token, unless the term is a
    /// reserved one.
    pub fn check_granted(&mut self, shard: &ShardId, token: Token) {
        let stored = |term| {
            self.store
                .history
                .values()
                .filter_map(|block| block.row(shard))
                .any(|row| row.token.term == term)
        };
        if token.term.0.is_multiple_of(2) && !stored(token.term) {
            self.report(
                ViolationKind::LostAssignment,
                format!("{shard}: granted {token}, which was never stored"),
            );
        }
    }

    pub fn check_stored(&mut self) {
        for row in self.store.block.rows.clone() {
            let known = self.checks.rows.entry(row.shard.clone()).or_default();
            let decreased = row.token < *known;
            *known = row.token;
            if decreased {
                self.report(
                    ViolationKind::LostAssignment,
                    format!(
                        "{}: the token in the store decreased to {}",
                        row.shard, row.token
                    ),
                );
            }
        }
    }

    pub fn report(&mut self, kind: ViolationKind, text: String) {
        if self.checks.violation.is_none() {
            self.checks.violation = Some((self.now, kind, text));
        }
    }

    /// Returns whether a request of the shard would be answered now.
    pub fn is_served(&self, shard: &ShardId) -> bool {
        ROUTERS.into_iter().any(|ix| self.serves(ix, shard))
    }

    fn serves(&self, ix: NodeIndex, shard: &ShardId) -> bool {
        let node = &self.nodes[ix];
        let Kind::Router(table) = &node.kind else {
            return false;
        };
        let now = node.clock.local(self.now);
        let Ok(permit) = table.permit(now, shard) else {
            return false;
        };
        let to = node_ix(permit.server.as_str());
        let server = &self.nodes[to];
        let Kind::Server(fence) = &server.kind else {
            return false;
        };
        let accepts = fence
            .check(server.clock.server(self.now), shard, permit.token)
            .is_ok();
        let reached = !self.is_partitioned(ix, to) && !self.is_partitioned(to, ix);
        node.runs(self.now) && server.runs(self.now) && accepts && reached
    }
}
