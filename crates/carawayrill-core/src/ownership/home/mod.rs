//! A router's side of ownership: the shards for which it is home or standby home.
//!
//! [`HomeTable`] is a state machine without I/O: it takes inputs and ticks and returns actions. It
//! never waits; an action without an answer is repeated after a timeout.
//!
//! Assignments that the table writes keep the `since` of those they replace. The daemon sets it
//! from the wall clock.

mod blocks;
mod failover;
mod message;
mod orders;
mod permit;
mod release;
mod server;
mod shard;
mod split;
mod standby;
mod trust;
mod write_back;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use self::blocks::BlockRow;
use self::failover::Peer;
pub use self::message::Action;
pub use self::message::BlockVersion;
pub use self::message::Denial;
pub use self::message::Input;
pub use self::message::Permit;
pub use self::permit::ServerStatus;
use self::server::ServerRow;
use self::shard::ShardRow;
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

/// The state of a router as home and as standby home.
#[derive(Debug)]
pub struct HomeTable {
    me: RouterIncarnation,
    limits: Limits,
    mechanisms: Mechanisms,
    policies: BTreeMap<ServiceId, Policy>,
    blocks: BTreeMap<BlockId, BlockRow>,
    rows: BTreeMap<ShardId, ShardRow>,
    servers: BTreeMap<ServerId, ServerRow>,
    peers: BTreeMap<RouterId, Peer>,
    /// Terms of assignments under which this router promised not to act as standby home.
    promised: BTreeMap<ShardId, Term>,
    last_tick: Option<Time>,
    /// Shards whose rows must be processed before the current call returns.
    dirty: BTreeSet<ShardId>,
    /// Orders collected during the current call.
    batch: BTreeMap<ServerId, Vec<Order>>,
    actions: Vec<Action>,
}

impl HomeTable {
    /// Creates the table of one incarnation of a router.
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
            last_tick: None,
            dirty: BTreeSet::new(),
            batch: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Sets the enabled mechanisms, for tests.
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Handles one input and returns the resulting actions.
    pub fn input(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.dispatch(now, input);
        self.process_dirty(now, &[]);
        self.flush(now, &[]);
        std::mem::take(&mut self.actions)
    }

    /// Runs the periodic work and returns the resulting actions. Call it about every 50 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.discount_own_pause(now);
        self.update_lost_servers(now);
        self.check_blocks(now);
        self.dirty.extend(self.rows.keys().cloned());
        let due = self.due_servers(now);
        self.process_dirty(now, &due);
        self.ask_standbys(now);
        self.write_changes(now);
        self.flush(now, &due);
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, now: Time, input: Input) {
        match input {
            Input::Limits { limits } => self.limits = limits,
            Input::Policy { service, policy } => {
                self.policies.insert(service, policy);
            }
            Input::Hint { version, block } => self.handle_hint(now, version, &block),
            Input::Block {
                started,
                version,
                block,
            } => self.handle_block(now, started, version, block),
            Input::Versions { started, versions } => self.handle_versions(now, started, &versions),
            Input::Written { block, version } => self.handle_written(now, &block, version),
            Input::WriteFailed { block } => self.handle_write_failed(now, &block),
            Input::OrderReply {
                sent,
                orders,
                reply,
            } => self.handle_order_reply(now, sent, &orders, &reply),
            // Silence counts from the last reply, so a failure changes nothing.
            Input::OrderFailed { .. } => {}
            Input::PeerSeen {
                router,
                incarnation,
            } => self.handle_heartbeat(now, &router, incarnation),
            Input::Release { ask, rows } => self.answer_release(now, ask, &rows),
            Input::Quiesced { shard } => self.handle_quiesced(&shard),
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
                self.handle_standby_statuses(now, asked, &from, &rows);
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
        self.mark_rows_dirty(id);
    }

    /// Processes the dirty rows until there are none.
    fn process_dirty(&mut self, now: Time, due: &[ServerId]) {
        while let Some(shard) = self.dirty.pop_first() {
            self.update_authority(now, &shard);
            self.update_trust(&shard);
            self.fail_over(now, &shard);
            self.advance_takeover(now, &shard);
            self.collect_orders(now, &shard, due);
        }
    }

    /// Returns the servers that get their periodic message of orders now.
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

    /// Returns whether the servers of the row's service check fencing tokens.
    fn has_fencing(&self, row: &ShardRow) -> bool {
        self.policy(&row.stored.shard.service).fencing
    }

    /// Returns the time at which the row's authority ends.
    fn deadline(&self, row: &ShardRow) -> Option<Time> {
        let policy = self.policy(&row.stored.shard.service);
        row.last_valid_read.map(|read| policy.deadline(read))
    }

    fn has_authority(&self, now: Time, row: &ShardRow) -> bool {
        self.deadline(row).is_some_and(|deadline| now < deadline)
    }

    fn emit(&mut self, kind: EventKind) {
        self.actions.push(Action::Emit { kind });
    }
}
