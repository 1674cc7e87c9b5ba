//! One change on its way into force.

use std::collections::BTreeMap;

use super::message::Change;
use crate::assignment::Assignment;
use crate::assignment::Intent;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::ownership::evidence::Released;
use crate::time::Time;
use crate::time::WallTime;
use crate::token::Epoch;
use crate::token::Term;
use crate::token::Token;

/// What a server said when it was told to refuse the old terms.
#[derive(Debug, Clone, Copy)]
pub(super) struct FenceAck {
    pub(super) run: Incarnation,
    pub(super) held: Option<Token>,
}

/// Evidence that the old authority has ended.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one piece of evidence and any may be there"
)]
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// The home has stopped for good.
    pub(super) home_stopped: bool,
    /// The home goes on and keeps this server as owner.
    pub(super) pledged: Option<ServerId>,
    /// The standby home will not act under its reserved term.
    pub(super) standby_promised: bool,
    /// The standby home has acted under its reserved term.
    pub(super) standby_acted: bool,
    /// The standby home has acted, and has stopped for good.
    pub(super) standby_stopped: bool,
    /// Acknowledgements of the present round of fences.
    pub(super) round: BTreeMap<ServerId, FenceAck>,
    /// Those of the round before.
    pub(super) before: BTreeMap<ServerId, FenceAck>,
    /// When the present round was opened.
    pub(super) opened: Time,
    /// Two rounds were acknowledged by the same runs of all servers.
    pub(super) fenced: bool,
}

/// One change on its way into force.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) change: Change,
    /// The wall clock when the change was wanted.
    pub(super) wall: WallTime,
    /// The intent in the store, and a time by which it was there.
    pub(super) intent: Option<(Intent, Time)>,
    pub(super) evidence: Evidence,
    /// When questions were last asked.
    pub(super) asked: Option<Time>,
    /// When the old home last answered, or when the task began.
    pub(super) home_heard: Time,
}

impl Task {
    pub(super) fn new(now: Time, change: Change, wall: WallTime) -> Self {
        Self {
            change,
            wall,
            intent: None,
            evidence: Evidence::default(),
            asked: None,
            home_heard: now,
        }
    }

    /// Returns whether the change leaves home and owner as they are, so that the home may go on.
    pub(super) fn keeps_home(&self, row: &Assignment) -> bool {
        row.has_same_home_and_owner(&self.next(Some(row)))
    }

    /// Returns the assignment that the change makes out of the one in force.
    pub(super) fn next(&self, row: Option<&Assignment>) -> Assignment {
        let term = row.map_or(Term(2), |row| row.token.term.next_stored());
        let change = &self.change;
        let standby_home = change.standby_home.as_ref();
        Assignment {
            shard: change.shard.clone(),
            owner: change.owner.clone(),
            standby: change.standby.clone(),
            home: change.home.router.clone(),
            home_run: change.home.incarnation,
            standby_home: standby_home.map(|run| run.router.clone()),
            standby_home_run: standby_home.map_or(Incarnation(0), |run| run.incarnation),
            token: Token {
                term,
                epoch: Epoch(1),
            },
            reason: change.reason,
            since: self.wall,
        }
    }

    /// Returns the assignment to put in force, with the owner that the evidence names.
    pub(super) fn settled(&self, row: &Assignment) -> Assignment {
        let mut next = self.next(Some(row));
        let pledged = self.evidence.pledged.clone();
        let owner = pledged.filter(|_| self.keeps_home(row) && !self.evidence.home_stopped);
        let owner = owner.or_else(|| self.holder(&next));
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

    /// Returns which of the two servers of the coming assignment held the latest grant, when both
    /// were fenced: the state of the shard is there.
    fn holder(&self, next: &Assignment) -> Option<ServerId> {
        if !self.evidence.fenced {
            return None;
        }
        let named = |id: &&ServerId| **id == next.owner || Some(*id) == next.standby.as_ref();
        let acks = self.evidence.round.iter();
        let held = acks.filter_map(|(id, ack)| Some((ack.held?, id)));
        let (_, last) = held.max()?;
        Some(last).filter(named).cloned()
    }
}

impl Evidence {
    /// Takes in what the home said.
    pub(super) fn take_home(&mut self, said: &Released) {
        self.home_stopped |= said.stopped;
        self.pledged = said.server.clone().filter(|_| said.pledged);
    }

    /// Opens the next round of fences.
    pub(super) fn open_round(&mut self, now: Time) {
        self.opened = now;
        self.before = std::mem::take(&mut self.round);
    }

    /// Returns whether this round repeats the one before: the same runs of the same servers.
    pub(super) fn repeats(&self) -> bool {
        let same = |id: &ServerId, run: Incarnation| {
            self.before.get(id).is_some_and(|before| before.run == run)
        };
        !self.before.is_empty() && self.round.iter().all(|(id, ack)| same(id, ack.run))
    }
}
