//! What a router knows of one shard whose home or standby home it is.

use std::collections::BTreeMap;

use super::split::Split;
use super::standby::Rounds;
use crate::assignment::Assignment;
use crate::assignment::BlockId;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::ownership::evidence::RouterIncarnation;
use crate::time::Time;
use crate::token::Term;
use crate::token::Token;

/// In which role the stored assignment names this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    Home,
    Standby,
}

/// One run of one server, to which grants may have been given.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneId {
    pub(super) server: ServerId,
    pub(super) run: Incarnation,
}

/// The grants that were given to one run of a server, acknowledged or not.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lane {
    /// The highest token granted.
    pub(super) token: Token,
    /// The latest time on our clock at which a grant can still be valid.
    pub(super) possible_end: Time,
    /// The time on our clock before which the acknowledged grant is certainly valid.
    pub(super) certain_end: Option<Time>,
    /// Whether the server acknowledged the end of the grant and that nothing runs under it.
    pub(super) revoked: bool,
    /// The end of grants of hot keys' shards that were merged back into this one.
    pub(super) merged_end: Time,
}

/// What was last ordered of a server for a shard. A different one is sent at once, the same one
/// only with the regular message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Want {
    Grant(Token),
    Revoke(Token),
    Fence(Term),
}

/// The state of a planned end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stopping {
    /// Requests may be in flight here.
    InFlight,
    /// None is.
    Quiesced,
}

/// What a router knows of one shard.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag has a cause of its own and any may be set together"
)]
#[derive(Debug)]
pub(super) struct Row {
    pub(super) block: BlockId,
    /// The assignment in force, as last read.
    pub(super) stored: Assignment,
    pub(super) role: Role,
    /// When the assignment was first read.
    pub(super) named: Time,
    /// Whether this router sends: always as home, as standby home after a takeover.
    pub(super) acting: bool,
    /// The start of the last read that gave authority.
    pub(super) basis: Option<Time>,
    /// Whether an intent takes the shard away, so that reads give no authority.
    pub(super) blocked: bool,
    /// Whether an intent stands that leaves home and owner as they are.
    pub(super) keeping: bool,
    /// Whether this router has pledged to keep the owner until that change is in force.
    pub(super) pledged: bool,
    /// Whether this router never sends again under this assignment.
    pub(super) ended: bool,
    pub(super) stopping: Option<Stopping>,
    /// The server chosen as owner.
    pub(super) serving: ServerId,
    /// The token of its grant.
    pub(super) token: Token,
    pub(super) lanes: BTreeMap<LaneId, Lane>,
    /// Runs for which it was shown, after they were first seen, that the standby home had not
    /// taken over.
    pub(super) cleared: BTreeMap<ServerId, Incarnation>,
    /// Cleared runs after whose first sight the store was read as well. Grants go to these.
    pub(super) trusted: BTreeMap<ServerId, Incarnation>,
    pub(super) sent: BTreeMap<ServerId, Want>,
    pub(super) asked_standby: Option<Time>,
    /// The progress of a takeover as standby home.
    pub(super) rounds: Rounds,
    /// The split, if the shard was split out of a range of this router.
    pub(super) split: Option<Split>,
    /// Whether authority was there at the last look, so that its loss is told once.
    pub(super) had_authority: bool,
}

impl Row {
    pub(super) fn new(now: Time, block: BlockId, stored: Assignment, role: Role) -> Self {
        Self {
            block,
            role,
            named: now,
            acting: role == Role::Home,
            basis: None,
            blocked: false,
            keeping: false,
            pledged: false,
            ended: false,
            stopping: None,
            serving: stored.owner.clone(),
            token: stored.token,
            stored,
            lanes: BTreeMap::new(),
            cleared: BTreeMap::new(),
            trusted: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked_standby: None,
            rounds: Rounds::default(),
            split: None,
            had_authority: false,
        }
    }

    /// Returns the owner and the standby server of the stored assignment.
    pub(super) fn servers(&self) -> impl Iterator<Item = &ServerId> {
        std::iter::once(&self.stored.owner).chain(self.stored.standby.as_ref())
    }

    /// Returns the server that is not `server`, if there are two.
    pub(super) fn other(&self, server: &ServerId) -> Option<&ServerId> {
        self.servers().find(|id| *id != server)
    }

    /// Returns the standby home with its run, unless it is this router that acts.
    pub(super) fn rival(&self) -> Option<RouterIncarnation> {
        let router = self.stored.standby_home.clone()?;
        (self.role == Role::Home).then_some(RouterIncarnation {
            router,
            incarnation: self.stored.standby_home_run,
        })
    }

    /// Returns whether the row's orders are sent with each tick.
    pub(super) fn is_urgent(&self) -> bool {
        !self.acting && self.rounds.are_open()
    }

    /// Returns whether this router may still send under the assignment, authority aside.
    pub(super) fn is_live(&self) -> bool {
        self.acting && !self.ended && self.stopping.is_none()
    }

    /// Returns whether all grants have ended but those to `except`.
    pub(super) fn lanes_ended(&self, now: Time, fencing: bool, except: Option<&LaneId>) -> bool {
        self.lanes
            .iter()
            .filter(|(id, _)| Some(*id) != except)
            .all(|(_, lane)| lane.has_ended(now, fencing))
    }

    /// Notes that this router must not send any more under this assignment. Returns whether
    /// requests in flight have to be waited for.
    pub(super) fn stop(&mut self) -> bool {
        let begins = self.acting && self.stopping.is_none();
        if begins {
            self.stopping = Some(Stopping::InFlight);
        }
        begins
    }
}

impl Lane {
    /// Returns whether no grant of this lane can be valid any more. A server that does not check
    /// fencing has to say so itself.
    pub(super) fn has_ended(&self, now: Time, fencing: bool) -> bool {
        now > self.merged_end && (self.revoked || (fencing && now > self.possible_end))
    }
}
