//! The state of one shard on its home or standby home.

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

/// The role in which the stored assignment names this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    Home,
    Standby,
}

/// One incarnation of a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServerIncarnation {
    pub(super) server: ServerId,
    pub(super) incarnation: Incarnation,
}

/// The grants given to one incarnation of a server, acknowledged or not.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantState {
    /// The highest token granted.
    pub(super) token: Token,
    /// Latest time on the local clock at which a grant may still be valid.
    pub(super) possible_end: Time,
    /// Time on the local clock before which the acknowledged grant is certainly valid.
    pub(super) certain_end: Option<Time>,
    /// Whether the server acknowledged the revocation and has no request running under the grant.
    pub(super) revoked: bool,
    /// End of the grants of hot keys' shards that were merged back into this shard.
    pub(super) merged_end: Time,
}

/// The order that a server should get about a shard. A change is sent immediately, a repetition
/// only with the periodic message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DesiredOrder {
    Grant(Token),
    Revoke(Token),
    Fence(Term),
}

/// The state of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stopping {
    /// Requests may still be in flight.
    InFlight,
    /// No request is in flight.
    Quiesced,
}

/// The state of one shard.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags have independent causes and can be set in any combination"
)]
#[derive(Debug)]
pub(super) struct ShardRow {
    pub(super) block: BlockId,
    /// The assignment in force, as last read.
    pub(super) stored: Assignment,
    pub(super) role: Role,
    /// Time when the assignment was first read.
    pub(super) first_read: Time,
    /// Whether this router sends requests: always as home, after a takeover as standby home.
    pub(super) acting: bool,
    /// Start of the last read that gave authority.
    pub(super) last_valid_read: Option<Time>,
    /// Whether an intent assigns the shard elsewhere, so that reads give no authority.
    pub(super) blocked: bool,
    /// Whether an intent exists that changes neither home nor owner.
    pub(super) kept_by_intent: bool,
    /// Whether this router has pledged to keep the owner until that change is in force.
    pub(super) pledged: bool,
    /// Whether this router has permanently stopped sending under this assignment.
    pub(super) ended: bool,
    pub(super) stopping: Option<Stopping>,
    /// The server currently chosen as owner.
    pub(super) serving: ServerId,
    /// The token for grants to `serving`.
    pub(super) token: Token,
    pub(super) grants: BTreeMap<ServerIncarnation, GrantState>,
    /// Incarnations that are cleared: evidence newer than their first sighting shows that the
    /// standby home had not taken over.
    pub(super) cleared: BTreeMap<ServerId, Incarnation>,
    /// Cleared incarnations for which the store was also read after their first sighting. Only
    /// these get grants.
    pub(super) trusted: BTreeMap<ServerId, Incarnation>,
    pub(super) last_orders: BTreeMap<ServerId, DesiredOrder>,
    pub(super) standby_asked_at: Option<Time>,
    /// The progress of this router's takeover as standby home.
    pub(super) takeover: StandbyTakeover,
    /// The state of the range at the split, if the shard was split out of a range of this router.
    pub(super) split: Option<Split>,
    /// Whether the row had authority when it was last processed. Used to report the loss once.
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

    /// Returns the other server of the assignment, if there is one.
    pub(super) fn other(&self, server: &ServerId) -> Option<&ServerId> {
        self.servers().find(|id| *id != server)
    }

    /// Returns the standby home and its incarnation if this router is the home.
    pub(super) fn other_standby_home(&self) -> Option<RouterIncarnation> {
        let router = self.stored.standby_home.clone()?;
        (self.role == Role::Home).then_some(RouterIncarnation {
            router,
            incarnation: self.stored.standby_home_run,
        })
    }

    /// Returns whether the row's orders are sent on each tick.
    pub(super) fn is_urgent(&self) -> bool {
        !self.acting && self.takeover.in_progress()
    }

    /// Returns whether this router may send under the assignment as long as it has authority.
    pub(super) fn is_live(&self) -> bool {
        self.acting && !self.ended && self.stopping.is_none()
    }

    /// Returns whether all grants have ended, except those to `except`.
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

    /// Stops sending under this assignment. Returns whether requests in flight must be waited for.
    pub(super) fn stop(&mut self) -> bool {
        let begins = self.acting && self.stopping.is_none();
        if begins {
            self.stopping = Some(Stopping::InFlight);
        }
        begins
    }
}

impl GrantState {
    /// Returns whether none of these grants can be valid any more. Time ends the grants only of
    /// servers that check fencing tokens; others must acknowledge the revocation.
    pub(super) fn has_ended(&self, now: Time, fencing: bool) -> bool {
        now > self.merged_end && (self.revoked || (fencing && now > self.possible_end))
    }
}
