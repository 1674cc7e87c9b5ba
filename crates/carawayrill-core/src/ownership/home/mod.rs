//! A router's side of ownership: the shards whose home or standby home it is.
//!
//! [`HomeTable`] is fed with inputs and ticks and returns actions. Nothing in it waits: an action
//! that is not answered is taken again after a while.
//!
//! The assignments that it writes carry the `since` of those they replace; the daemon puts the
//! wall clock in.

mod blocks;
mod failover;
mod gate;
mod message;
mod orders;
mod record;
mod release;
mod row;
mod server;
mod split;
mod standby;
mod trust;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use self::blocks::BlockRow;
use self::failover::Peer;
pub use self::gate::ServerStatus;
pub use self::message::Action;
pub use self::message::BlockVersion;
pub use self::message::Denial;
pub use self::message::Input;
pub use self::message::Permit;
use self::row::Row;
use self::server::ServerRow;
use super::evidence::RouterIncarnation;
use super::limits::Limits;
use super::limits::Mechanisms;
use super::limits::Policy;
use crate::assignment::BlockId;
use crate::event::EventKind;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::order::Order;
use crate::time::Time;
use crate::token::Term;

/// What a router knows as home and as standby home.
#[derive(Debug)]
pub struct HomeTable {
    me: RouterIncarnation,
    limits: Limits,
    mechanisms: Mechanisms,
    policies: BTreeMap<ServiceId, Policy>,
    blocks: BTreeMap<BlockId, BlockRow>,
    rows: BTreeMap<ShardId, Row>,
    servers: BTreeMap<ServerId, ServerRow>,
    peers: BTreeMap<RouterId, Peer>,
    /// Terms of assignments under which this router promised not to act as standby home.
    promised: BTreeMap<ShardId, Term>,
    ticked: Option<Time>,
    /// Rows that have to be looked at before the present call returns.
    touched: BTreeSet<ShardId>,
    /// Orders that are collected during one call.
    batch: BTreeMap<ServerId, Vec<Order>>,
    actions: Vec<Action>,
}

impl HomeTable {
    /// Makes the table of one run of a router.
    #[must_use]
    pub fn new(me: RouterIncarnation, limits: Limits) -> Self {
        Self {
            me,
            limits,
            mechanisms: Mechanisms::ALL,
            policies: BTreeMap::new(),
            blocks: BTreeMap::new(),
            rows: BTreeMap::new(),
            servers: BTreeMap::new(),
            peers: BTreeMap::new(),
            promised: BTreeMap::new(),
            ticked: None,
            touched: BTreeSet::new(),
            batch: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes mechanisms out, for tests.
    #[must_use]
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Takes one input and returns the actions that follow from it at once.
    pub fn input(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.take(now, input);
        self.look(now, &[]);
        self.flush(now, &[]);
        std::mem::take(&mut self.actions)
    }

    /// Runs the systems: call it every 50 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.note_pause(now);
        self.suspect_servers(now);
        self.check_blocks(now);
        self.touched.extend(self.rows.keys().cloned());
        let due = self.due_servers(now);
        self.look(now, &due);
        self.ask_standbys(now);
        self.record(now);
        self.flush(now, &due);
        std::mem::take(&mut self.actions)
    }

    fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::Limits { limits } => self.limits = limits,
            Input::Policy { service, policy } => {
                self.policies.insert(service, policy);
            }
            Input::Hint { version, block } => self.take_hint(now, version, &block),
            Input::Block {
                started,
                version,
                block,
            } => self.take_block(now, started, version, block),
            Input::Versions { started, versions } => self.take_versions(now, started, &versions),
            Input::Written { block, version } => self.take_written(now, &block, version),
            Input::WriteFailed { block } => self.take_write_failed(now, &block),
            Input::OrderReply {
                sent,
                orders,
                reply,
            } => self.take_reply(now, sent, &orders, &reply),
            // Silence is counted from the last answer; a failure adds nothing to it.
            Input::OrderFailed { .. } => {}
            Input::PeerSeen {
                router,
                incarnation,
            } => self.take_heartbeat(now, &router, incarnation),
            Input::Release { ask, rows } => self.answer_release(now, ask, &rows),
            Input::Quiesced { shard } => self.take_quiesced(&shard),
            Input::Standby { ask, promise, rows } => self.answer_standby(ask, promise, &rows),
            Input::StandbyReply {
                asked,
                router,
                incarnation,
                rows,
            } => {
                let from = RouterIncarnation {
                    router,
                    incarnation,
                };
                self.take_standings(now, asked, &from, &rows);
            }
            Input::ServerGone { server } => self.set_server(now, &server, |row| row.gone = true),
            Input::ServerLeaving { server, leaving } => {
                self.set_server(now, &server, |row| row.leaving = leaving);
            }
            Input::ServerHome { server, home } => {
                self.set_server(now, &server, |row| row.home = Some(home));
            }
        }
    }

    fn set_server(&mut self, now: Time, id: &ServerId, set: impl FnOnce(&mut ServerRow)) {
        self.watch_server(now, id);
        if let Some(row) = self.servers.get_mut(id) {
            set(row);
        }
        self.touch_server(id);
    }

    /// Looks at the rows that were touched.
    fn look(&mut self, now: Time, due: &[ServerId]) {
        while let Some(shard) = self.touched.pop_first() {
            self.note_authority(now, &shard);
            self.update_trust(&shard);
            self.fail_over(now, &shard);
            self.step_standby(now, &shard);
            self.collect_orders(now, &shard, due);
        }
    }

    /// Returns the servers that get their regular message now.
    fn due_servers(&self, now: Time) -> Vec<ServerId> {
        let mut urgent = BTreeSet::new();
        let mut named = BTreeSet::new();
        for row in self.rows.values() {
            named.extend(row.servers());
            if row.is_urgent() {
                urgent.extend(row.servers());
            }
        }
        let every = self.limits.renew_every;
        self.servers
            .iter()
            .filter(|(id, row)| {
                urgent.contains(id) || (named.contains(id) && row.is_due(now, every))
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn policy(&self, service: &ServiceId) -> Policy {
        self.policies.get(service).copied().unwrap_or_default()
    }

    /// Returns whether the servers of a row's service check fencing.
    fn fences(&self, row: &Row) -> bool {
        self.policy(&row.stored.shard.service).fencing
    }

    /// Returns the end of a row's authority.
    fn deadline(&self, row: &Row) -> Option<Time> {
        let policy = self.policy(&row.stored.shard.service);
        row.basis.map(|basis| policy.deadline(basis))
    }

    fn has_authority(&self, now: Time, row: &Row) -> bool {
        self.deadline(row).is_some_and(|deadline| now < deadline)
    }

    fn emit(&mut self, kind: EventKind) {
        self.actions.push(Action::Emit { kind });
    }
}
