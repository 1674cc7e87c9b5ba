//! Decides which claims must be copied to the standby home before their requests are sent.
//!
//! A standby home that takes over uses its copy only if the home has declared the copy complete.
//! Before that declaration, requests may be sent without a mirrored claim, because a takeover would
//! refuse repeated requests. From the moment at which the declaration may have reached the standby
//! home, each new claim has to be acknowledged by it before its request is sent.

use std::collections::BTreeMap;

use crate::answer::claims::Lineage;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ShardId;

/// What a new claim needs before its request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorRequirement {
    /// Nothing: no standby home would use its copy.
    Nothing,
    /// The acknowledgement of this standby home.
    Acknowledgement(RouterId),
}

/// The state of the copy at a standby home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyState {
    /// The copy has not been declared complete to the standby home.
    Incomplete,
    /// The declaration may have reached the standby home.
    MaybeComplete,
    /// The standby home has acknowledged that its copy is complete.
    Complete,
}

#[derive(Debug, Clone)]
struct StandbyCopy {
    standby: RouterId,
    lineage: Lineage,
    state: CopyState,
    /// The incarnation of the standby home that holds the copy.
    incarnation: Option<Incarnation>,
}

/// A copy that has to be made or brought up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingCopy {
    /// The shard whose claims have to be copied.
    pub shard: ShardId,
    /// The standby home.
    pub standby: RouterId,
    /// The lineage for which the copy will be complete.
    pub lineage: Lineage,
}

/// The standby homes of the shards whose home this router is.
#[derive(Debug, Clone, Default)]
pub struct MirrorTable {
    copies: BTreeMap<ShardId, StandbyCopy>,
}

impl MirrorTable {
    /// Records the standby home named by the assignment in force.
    ///
    /// A former standby home needs no notice: before it takes over, it compares the lineage of its
    /// copy with the assignment in force.
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

    /// Removes a shard whose home this router no longer is.
    pub fn remove(&mut self, shard: &ShardId) {
        self.copies.remove(shard);
    }

    /// Returns what a new claim of `shard` needs before its request may be sent.
    #[must_use]
    pub fn requirement(&self, shard: &ShardId) -> MirrorRequirement {
        match self.copies.get(shard) {
            Some(copy) if copy.state != CopyState::Incomplete => {
                MirrorRequirement::Acknowledgement(copy.standby.clone())
            }
            _ => MirrorRequirement::Nothing,
        }
    }

    /// Returns at most `max` copies that have to be made at one standby home.
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

    /// Returns the standby homes that lack a complete copy.
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

    /// Records that the copy may be complete from now on. Must be called directly before the
    /// message that declares it complete is sent, in the same step as the export of its claims.
    ///
    /// Returns false if the copy is no longer needed.
    #[must_use]
    pub fn mark_maybe_complete(&mut self, pending: &PendingCopy) -> bool {
        let Some(copy) = self.copy_mut(pending) else {
            return false;
        };
        copy.state = CopyState::MaybeComplete;
        true
    }

    /// Records that the standby home has acknowledged a complete copy.
    pub fn mark_complete(&mut self, pending: &PendingCopy, incarnation: Incarnation) {
        if let Some(copy) = self.copy_mut(pending) {
            copy.state = CopyState::Complete;
            copy.incarnation = Some(incarnation);
        }
    }

    /// Records the incarnation of a standby home that was heard from. A new incarnation has lost
    /// its copies.
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
