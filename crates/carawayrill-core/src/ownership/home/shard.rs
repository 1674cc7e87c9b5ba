//! What a router knows of one shard whose home or standby home it is.

use std::collections::BTreeMap;

use super::split::Split;
use super::standby::StandbyTakeover;
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
pub(super) struct ServerIncarnation {
    pub(super) server: ServerId,
    pub(super) incarnation: Incarnation,
}

/// The grants that were given to one run of a server, acknowledged or not.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantState {
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
pub(super) enum DesiredOrder {
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
pub(super) struct ShardRow {
    pub(super) block: BlockId,
    /// The assignment in force, as last read.
    pub(super) stored: Assignment,
    pub(super) role: Role,
    /// When the assignment was first read.
    pub(super) first_read: Time,
    /// Whether this router sends: always as home, as standby home after a takeover.
    pub(super) acting: bool,
    /// The start of the last read that gave authority.
    pub(super) last_valid_read: Option<Time>,
    /// Whether an intent takes the shard away, so that reads give no authority.
    pub(super) blocked: bool,
    /// Whether an intent stands that leaves home and owner as they are.
    pub(super) kept_by_intent: bool,
    /// Whether this router has pledged to keep the owner until that change is in force.
    pub(super) pledged: bool,
    /// Whether this router never sends again under this assignment.
    pub(super) ended: bool,
    pub(super) stopping: Option<Stopping>,
    /// The server chosen as owner.
    pub(super) serving: ServerId,
    /// The token of its grant.
    pub(super) token: Token,
    pub(super) grants: BTreeMap<ServerIncarnation, GrantState>,
    /// Runs for which it was shown, after they were first seen, that the standby home had not
    /// taken over.
    pub(super) cleared: BTreeMap<ServerId, Incarnation>,
    /// Cleared runs after whose first sight the store was read as well. Grants go to these.
    pub(super) trusted: BTreeMap<ServerId, Incarnation>,
    pub(super) last_orders: BTreeMap<ServerId, DesiredOrder>,
    pub(super) standby_asked_at: Option<Time>,
    /// The progress of a takeover as standby home.
    pub(super) takeover: StandbyTakeover,
    /// The split, if the shard was split out of a range of this router.
    pub(super) split: Option<Split>,
    /// Whether authority was there at the last look, so that its loss is told once.
    pub(super) had_authority: bool,
}

impl ShardRow {
    pub(super) fn new(now: Time, block: BlockId, stored: Assignment, role: Role) -> Self {
        Self {
            block,
            role,
            first_read: now,
            acting: role == Role::Home,
            last_valid_read: None,
            blocked: false,
            kept_by_intent: false,
            pledged: false,
            ended: false,
            stopping: None,
            serving: stored.owner.clone(),
            token: stored.token,
            stored,
            grants: BTreeMap::new(),
            cleared: BTreeMap::new(),
            trusted: BTreeMap::new(),
            last_orders: BTreeMap::new(),
            standby_asked_at: None,
            takeover: StandbyTakeover::default(),
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
    pub(super) fn other_standby_home(&self) -> Option<RouterIncarnation> {
        let router = self.stored.standby_home.clone()?;
        (self.role == Role::Home).then_some(RouterIncarnation {
            router,
            incarnation: self.stored.standby_home_run,
        })
    }

    /// Returns whether the row's orders are sent with each tick.
    pub(super) fn is_urgent(&self) -> bool {
        !self.acting && self.takeover.in_progress()
    }

    /// Returns whether this router may still send under the assignment, authority aside.
    pub(super) fn is_live(&self) -> bool {
        self.acting && !self.ended && self.stopping.is_none()
    }

    /// Returns whether all grants have ended but those to `except`.
    pub(super) fn grants_ended(
        &self,
        now: Time,
        fencing: bool,
        except: Option<&ServerIncarnation>,
    ) -> bool {
        self.grants
            .iter()
            .filter(|(id, _)| Some(*id) != except)
            .all(|(_, grant)| grant.has_ended(now, fencing))
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

impl GrantState {
    /// Returns whether no grant of this lane can be valid any more. A server that does not check
    /// fencing has to say so itself.
    pub(super) fn has_ended(&self, now: Time, fencing: bool) -> bool {
        now > self.merged_end && (self.revoked || (fencing && now > self.possible_end))
    }
}
