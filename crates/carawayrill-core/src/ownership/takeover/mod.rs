//! A controller's side of ownership: changes of assignments by intent and evidence.
//!
//! A controller first writes an intent beside the assignment in force. Routers that read the intent
//! lose their authority. A second conditional update then replaces the assignment, once there is
//! evidence that the old authority has ended:
//!
//! - The home has stopped, or has pledged to keep the owner if the change keeps the home, and the
//!   standby home has promised not to act or has stopped.
//! - Or both servers have acknowledged the new term in two rounds.
//! - Or the intent has existed for as long as a read gives authority.

mod evidence;
mod message;
mod pending;
mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use self::message::Action;
pub use self::message::Change;
pub use self::message::Input;
use self::pending::PendingChange;
use self::store::BlockRow;
use super::evidence::RouterIncarnation;
use super::limits::Limits;
use super::limits::Mechanisms;
use super::limits::Policy;
use crate::assignment::BlockId;
use crate::id::ControllerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::time::Time;
use crate::time::WallTime;

/// Number of times that a question is asked within the retry interval of a call.
const ASKS_PER_RETRY: u64 = 4;

/// The changes that a controller is carrying out.
///
/// The table starts empty, because all state that it needs is in the store, the routers and the
/// servers. The caller passes in each block that it reads, and the table resumes changes that
/// another controller has announced.
#[derive(Debug)]
pub struct TakeoverTable {
    me: ControllerId,
    limits: Limits,
    mechanisms: Mechanisms,
    policies: BTreeMap<ServiceId, Policy>,
    leading: bool,
    blocks: BTreeMap<BlockId, BlockRow>,
    pending_changes: BTreeMap<ShardId, PendingChange>,
    /// Blocks changed by the current input.
    dirty: BTreeSet<BlockId>,
    actions: Vec<Action>,
}

impl TakeoverTable {
    /// Creates the table of a controller.
    #[must_use]
    pub fn new(me: ControllerId, limits: Limits) -> Self {
        Self {
            me,
            limits,
            mechanisms: Mechanisms::ALL,
            policies: BTreeMap::new(),
            leading: false,
            blocks: BTreeMap::new(),
            pending_changes: BTreeMap::new(),
            dirty: BTreeSet::new(),
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
        if self.leading {
            self.write_dirty(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs the periodic work and returns the resulting actions. Call it about every 50 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if self.leading {
            self.read_blocks(now);
            self.write_blocks(now);
            self.gather_evidence(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the shards whose changes are not in force yet.
    pub fn pending(&self) -> impl Iterator<Item = &ShardId> {
        self.pending_changes.keys()
    }

    fn dispatch(&mut self, now: Time, input: Input) {
        match input {
            Input::Limits { limits } => self.limits = limits,
            Input::Policy { service, policy } => {
                self.policies.insert(service, policy);
            }
            Input::Leading { leading } => self.set_leading(leading),
            Input::Wanted { change, wall } => self.add_change(now, change, wall),
            Input::Block { version, block } => self.handle_block(now, version, block),
            Input::Written { block, version } => self.handle_written(now, &block, version),
            Input::WriteFailed { block } => self.handle_write_failed(now, &block),
            Input::OrderReply {
                sent,
                orders,
                reply,
            } => self.handle_order_reply(now, sent, &orders, &reply),
            Input::ReleaseReply {
                router,
                incarnation,
                rows,
            } => {
                let from = RouterIncarnation {
                    router,
                    incarnation,
                };
                self.handle_release_statuses(now, &from, &rows);
            }
            Input::StandbyReply {
                router,
                incarnation,
                rows,
            } => {
                let from = RouterIncarnation {
                    router,
                    incarnation,
                };
                self.handle_standby_statuses(&from, &rows);
            }
        }
    }

    /// Clears the state when the lease is acquired or lost, because another controller may have
    /// acted in the meantime.
    fn set_leading(&mut self, leading: bool) {
        if leading != self.leading {
            self.blocks.clear();
            self.pending_changes.clear();
        }
        self.leading = leading;
    }

    fn add_change(&mut self, now: Time, change: Change, wall: WallTime) {
        if !self.leading {
            return;
        }
        let block = change.block.clone();
        let shard = change.shard.clone();
        let former = self.pending_changes.remove(&shard);
        let mut pending = PendingChange::new(now, change, wall);
        if let Some(former) = former.filter(|former| former.change.from == pending.change.from) {
            if former.change == pending.change {
                pending = former;
            } else {
                pending.intent = former.intent;
                pending.home_last_reply = former.home_last_reply;
            }
        }
        self.pending_changes.insert(shard, pending);
        self.request_read(now, &block);
    }

    /// Returns the interval between two questions about one change, in milliseconds.
    fn ask_interval_ms(&self) -> u64 {
        self.limits.retry_after / ASKS_PER_RETRY
    }

    fn policy(&self, service: &ServiceId) -> Policy {
        self.policies.get(service).copied().unwrap_or_default()
    }
}
