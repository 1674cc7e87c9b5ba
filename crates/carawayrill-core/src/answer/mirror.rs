//! Which claims have to reach the standby home before their requests are sent.
//!
//! A standby home that takes over trusts its copy only if the home has told it that the copy is
//! complete. As long as it has not been told, requests may be sent without a mirrored claim: a
//! takeover would refuse their repeats. From the moment that the message may have reached it, each
//! claim needs its acknowledgement before its request is sent.

use std::collections::BTreeMap;

use crate::answer::claims::Lineage;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ShardId;

/// What a fresh claim needs before its request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorRequirement {
    /// Nothing: no standby home would trust its copy.
    Nothing,
    /// The acknowledgement of this standby home.
    Acknowledgement(RouterId),
}

/// How far the copy at a standby home has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyState {
    /// The standby home has not been told that its copy is complete.
    Incomplete,
    /// It may have been told.
    MaybeComplete,
    /// It has acknowledged that its copy is complete.
    Complete,
}

#[derive(Debug, Clone)]
struct StandbyCopy {
    standby: RouterId,
    lineage: Lineage,
    state: CopyState,
    /// The run of the standby home that holds the copy.
    incarnation: Option<Incarnation>,
}

/// A copy that has to be made or brought up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingCopy {
    /// The shard whose claims are to be copied.
    pub shard: ShardId,
    /// The standby home.
    pub standby: RouterId,
    /// The lineage under which the copy is complete.
    pub lineage: Lineage,
}

/// The standby homes of the shards whose home this router is.
#[derive(Debug, Clone, Default)]
pub struct MirrorTable {
    copies: BTreeMap<ShardId, StandbyCopy>,
}

impl MirrorTable {
    /// Takes in the standby home that the assignment in force names.
    ///
    /// The former standby home is out at once: it compares the lineage of its copy with the
    /// assignment in force when it takes over.
    pub fn set_standby(&mut self, shard: &ShardId, standby: Option<&RouterId>, lineage: Lineage) {
        let Some(standby) = standby else {
            self.copies.remove(shard);
            return;
        };
        let same = |copy: &StandbyCopy| copy.standby == *standby && copy.lineage == lineage;
        if self.copies.get(shard).is_some_and(same) {
            return;
        }
        let copy = StandbyCopy {
            standby: standby.clone(),
            lineage,
            state: CopyState::Incomplete,
            incarnation: None,
        };
        self.copies.insert(shard.clone(), copy);
    }

    /// Drops a shard whose home this router is no more.
    pub fn remove(&mut self, shard: &ShardId) {
        self.copies.remove(shard);
    }

    /// Returns what a fresh claim of `shard` needs.
    #[must_use]
    pub fn requirement(&self, shard: &ShardId) -> MirrorRequirement {
        match self.copies.get(shard) {
            Some(copy) if copy.state != CopyState::Incomplete => {
                MirrorRequirement::Acknowledgement(copy.standby.clone())
            }
            _ => MirrorRequirement::Nothing,
        }
    }

    /// Returns the copies that have to be made, at most `max`, of one standby home.
    #[must_use]
    pub fn pending_copies(&self, standby: &RouterId, max: usize) -> Vec<PendingCopy> {
        let incomplete =
            |copy: &StandbyCopy| copy.standby == *standby && copy.state != CopyState::Complete;
        self.copies
            .iter()
            .filter(|(_, copy)| incomplete(copy))
            .map(|(shard, copy)| PendingCopy {
                shard: shard.clone(),
                standby: copy.standby.clone(),
                lineage: copy.lineage,
            })
            .take(max)
            .collect()
    }

    /// Returns the standby homes that have a copy to be made.
    #[must_use]
    pub fn standbys_to_sync(&self) -> Vec<RouterId> {
        let incomplete = self
            .copies
            .values()
            .filter(|copy| copy.state != CopyState::Complete);
        let mut standbys: Vec<_> = incomplete.map(|copy| copy.standby.clone()).collect();
        standbys.sort_unstable();
        standbys.dedup();
        standbys
    }

    /// To be called directly before a message that says the copy is complete is sent, with the
    /// claims of the message taken in the same step.
    ///
    /// Returns false if the copy is not wanted any more.
    #[must_use]
    pub fn mark_maybe_complete(&mut self, pending: &PendingCopy) -> bool {
        let Some(copy) = self.copy_mut(pending) else {
            return false;
        };
        copy.state = CopyState::MaybeComplete;
        true
    }

    /// Takes in that the standby home has acknowledged a complete copy.
    pub fn mark_complete(&mut self, pending: &PendingCopy, incarnation: Incarnation) {
        if let Some(copy) = self.copy_mut(pending) {
            copy.state = CopyState::Complete;
            copy.incarnation = Some(incarnation);
        }
    }

    /// Takes in a sign of life of a standby home. A new run has lost its copies and trusts none.
    pub fn observe_standby(&mut self, standby: &RouterId, incarnation: Incarnation) {
        for copy in self.copies.values_mut() {
            let other = copy.incarnation.is_some_and(|known| known < incarnation);
            if copy.standby == *standby && other {
                copy.state = CopyState::Incomplete;
                copy.incarnation = None;
            }
        }
    }

    fn copy_mut(&mut self, pending: &PendingCopy) -> Option<&mut StandbyCopy> {
        let same = |copy: &&mut StandbyCopy| {
            copy.standby == pending.standby && copy.lineage == pending.lineage
        };
        self.copies.get_mut(&pending.shard).filter(same)
    }
}
