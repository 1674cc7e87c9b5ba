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
pub enum Need {
    /// Nothing: no standby home would trust its copy.
    Nothing,
    /// The acknowledgement of this standby home.
    Acknowledgement(RouterId),
}

/// How far the copy at a standby home has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The standby home has not been told that its copy is complete.
    Behind,
    /// It may have been told.
    MaybeComplete,
    /// It has acknowledged that its copy is complete.
    Complete,
}

#[derive(Debug, Clone)]
struct Link {
    standby: RouterId,
    lineage: Lineage,
    stage: Stage,
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
    links: BTreeMap<ShardId, Link>,
}

impl MirrorTable {
    /// Takes in the standby home that the assignment in force names.
    ///
    /// The former standby home is out at once: it compares the lineage of its copy with the
    /// assignment in force when it takes over.
    pub fn set_standby(&mut self, shard: &ShardId, standby: Option<&RouterId>, lineage: Lineage) {
        let Some(standby) = standby else {
            self.links.remove(shard);
            return;
        };
        let same = |link: &Link| link.standby == *standby && link.lineage == lineage;
        if self.links.get(shard).is_some_and(same) {
            return;
        }
        let link = Link {
            standby: standby.clone(),
            lineage,
            stage: Stage::Behind,
            incarnation: None,
        };
        self.links.insert(shard.clone(), link);
    }

    /// Drops a shard whose home this router is no more.
    pub fn remove(&mut self, shard: &ShardId) {
        self.links.remove(shard);
    }

    /// Returns what a fresh claim of `shard` needs.
    #[must_use]
    pub fn need(&self, shard: &ShardId) -> Need {
        match self.links.get(shard) {
            Some(link) if link.stage != Stage::Behind => {
                Need::Acknowledgement(link.standby.clone())
            }
            _ => Need::Nothing,
        }
    }

    /// Returns the copies that have to be made, at most `max`, of one standby home.
    #[must_use]
    pub fn pending_copies(&self, standby: &RouterId, max: usize) -> Vec<PendingCopy> {
        let open = |link: &Link| link.standby == *standby && link.stage != Stage::Complete;
        self.links
            .iter()
            .filter(|(_, link)| open(link))
            .map(|(shard, link)| PendingCopy {
                shard: shard.clone(),
                standby: link.standby.clone(),
                lineage: link.lineage,
            })
            .take(max)
            .collect()
    }

    /// Returns the standby homes that have a copy to be made.
    #[must_use]
    pub fn standbys_to_sync(&self) -> Vec<RouterId> {
        let open = self
            .links
            .values()
            .filter(|link| link.stage != Stage::Complete);
        let mut standbys: Vec<_> = open.map(|link| link.standby.clone()).collect();
        standbys.sort_unstable();
        standbys.dedup();
        standbys
    }

    /// To be called directly before a message that says the copy is complete is sent, with the
    /// claims of the message taken in the same step.
    ///
    /// Returns false if the copy is not wanted any more.
    #[must_use]
    pub fn mark_maybe_complete(&mut self, sync: &PendingCopy) -> bool {
        let Some(link) = self.link(sync) else {
            return false;
        };
        link.stage = Stage::MaybeComplete;
        true
    }

    /// Takes in that the standby home has acknowledged a complete copy.
    pub fn mark_complete(&mut self, sync: &PendingCopy, incarnation: Incarnation) {
        if let Some(link) = self.link(sync) {
            link.stage = Stage::Complete;
            link.incarnation = Some(incarnation);
        }
    }

    /// Takes in a sign of life of a standby home. A new run has lost its copies and trusts none.
    pub fn observe_standby(&mut self, standby: &RouterId, incarnation: Incarnation) {
        for link in self.links.values_mut() {
            let other = link.incarnation.is_some_and(|known| known < incarnation);
            if link.standby == *standby && other {
                link.stage = Stage::Behind;
                link.incarnation = None;
            }
        }
    }

    fn link(&mut self, sync: &PendingCopy) -> Option<&mut Link> {
        let same = |link: &&mut Link| link.standby == sync.standby && link.lineage == sync.lineage;
        self.links.get_mut(&sync.shard).filter(same)
    }
}
