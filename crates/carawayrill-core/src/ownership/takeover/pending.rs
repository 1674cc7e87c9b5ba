//! A change that is not in force yet, and the evidence gathered for it.

use std::collections::BTreeMap;

use super::message::Change;
use crate::assignment::Assignment;
use crate::assignment::Intent;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::ownership::evidence::ReleaseStatus;
use crate::time::Time;
use crate::time::WallTime;
use crate::token::Epoch;
use crate::token::Term;
use crate::token::Token;

/// A server's acknowledgement of a fence.
#[derive(Debug, Clone, Copy)]
pub(super) struct FenceAck {
    pub(super) incarnation: Incarnation,
    pub(super) held: Option<Token>,
}

/// Evidence that the old authority has ended.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one piece of evidence, and they can be set in any combination"
)]
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// The home has stopped permanently.
    pub(super) home_stopped: bool,
    /// The server that the home has pledged to keep as owner.
    pub(super) pledged: Option<ServerId>,
    /// The standby home has promised not to act under its reserved term.
    pub(super) standby_promised: bool,
    /// The standby home has acted under its reserved term.
    pub(super) standby_acted: bool,
    /// The standby home acted and has stopped permanently.
    pub(super) standby_stopped: bool,
    /// Acknowledgements of the current round of fences.
    pub(super) round_acks: BTreeMap<ServerId, FenceAck>,
    /// Acknowledgements of the previous round.
    pub(super) previous_acks: BTreeMap<ServerId, FenceAck>,
    /// Start of the current round.
    pub(super) round_started: Time,
    /// Whether the same incarnations of all servers have acknowledged two consecutive rounds.
    pub(super) fenced: bool,
}

/// A change that is not in force yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    pub(super) change: Change,
    /// Time on the wall clock when the change was requested.
    pub(super) wall: WallTime,
    /// The intent in the store, and a time by which it was written.
    pub(super) intent: Option<(Intent, Time)>,
    pub(super) evidence: Evidence,
    /// Time when the questions were last asked.
    pub(super) last_asked: Option<Time>,
    /// Time of the old home's last answer, or of the start of the change if there was none.
    pub(super) home_last_reply: Time,
}

impl PendingChange {
    pub(super) fn new(now: Time, change: Change, wall: WallTime) -> Self {
        Self {
            change,
            wall,
            intent: None,
            evidence: Evidence::default(),
            last_asked: None,
            home_last_reply: now,
        }
    }

    /// Returns whether the change leaves home and owner unchanged, so that the home may continue.
    pub(super) fn keeps_home(&self, row: &Assignment) -> bool {
        row.has_same_home_and_owner(&self.next_assignment(Some(row)))
    }

    /// Returns the assignment that results from applying the change to the one in force.
    pub(super) fn next_assignment(&self, row: Option<&Assignment>) -> Assignment {
        let term = row.map_or(Term(2), |row| row.token.term.next_stored());
        let change = &self.change;
        let standby_home = change.standby_home.as_ref();
        Assignment {
            shard: change.shard.clone(),
            owner: change.owner.clone(),
            standby: change.standby.clone(),
            home: change.home.router.clone(),
            home_run: change.home.incarnation,
            standby_home: standby_home.map(|other| other.router.clone()),
            standby_home_run: standby_home.map_or(Incarnation(0), |other| other.incarnation),
            token: Token {
                term,
                epoch: Epoch(1),
            },
            reason: change.reason,
            since: self.wall,
        }
    }

    /// Returns the assignment to put in force, with the owner according to the evidence.
    pub(super) fn final_assignment(&self, row: &Assignment) -> Assignment {
        let mut next = self.next_assignment(Some(row));
        let pledged = self.evidence.pledged.clone();
        let owner = pledged.filter(|_| self.keeps_home(row) && !self.evidence.home_stopped);
        let owner = owner.or_else(|| self.latest_holder(&next));
        if let Some(owner) = owner
            && owner != next.owner
        {
            let former = std::mem::replace(&mut next.owner, owner);
            if next.standby.as_ref() == Some(&next.owner) {
                next.standby = Some(former);
            }
        }
        next
    }

    /// Returns which of the new assignment's two servers held the latest grant, if both were
    /// fenced. That server has the state of the shard.
    fn latest_holder(&self, next: &Assignment) -> Option<ServerId> {
        if !self.evidence.fenced {
            return None;
        }
        let named = |id: &&ServerId| **id == next.owner || Some(*id) == next.standby.as_ref();
        let acks = self.evidence.round_acks.iter();
        let held = acks.filter_map(|(id, ack)| Some((ack.held?, id)));
        let (_, last) = held.max()?;
        Some(last).filter(named).cloned()
    }
}

impl Evidence {
    /// Adds a home's answer to the evidence.
    pub(super) fn add_home_status(&mut self, status: &ReleaseStatus) {
        self.home_stopped |= status.stopped;
        self.pledged = status.server.clone().filter(|_| status.pledged);
    }

    /// Starts the next round of fences.
    pub(super) fn start_round(&mut self, now: Time) {
        self.round_started = now;
        self.previous_acks = std::mem::take(&mut self.round_acks);
    }

    /// Returns whether the same server incarnations acknowledged this round and the previous one.
    pub(super) fn matches_previous_round(&self) -> bool {
        let same = |id: &ServerId, incarnation: Incarnation| {
            self.previous_acks
                .get(id)
                .is_some_and(|previous| previous.incarnation == incarnation)
        };
        !self.previous_acks.is_empty()
            && self
                .round_acks
                .iter()
                .all(|(id, ack)| same(id, ack.incarnation))
    }
}
