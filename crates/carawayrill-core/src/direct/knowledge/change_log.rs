//! The latest state of each object that changed after a point in the store's history.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::StorePosition;
use crate::id::Revision;

/// The maximum number of objects in a log. Beyond it, the oldest half is dropped.
const MAX_OBJECTS: usize = 4_096;

/// The objects of one kind that changed between two points of the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta<T> {
    /// The position after which the changes are contained.
    pub after: StorePosition,
    /// The position up to which the changes are contained, in the same era.
    pub position: StorePosition,
    /// The latest state of each changed object.
    pub objects: Vec<T>,
}

/// The changes of one kind of object since a point of the store's history, for fronts that know an
/// earlier state.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    position: StorePosition,
    /// All changes after this revision are in the log.
    start: Revision,
    /// The state of each changed object and the revision up to which it was read.
    changed: BTreeMap<CompactString, (Revision, T)>,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates the log of a front that knows the state at `position`.
    #[must_use]
    pub fn new(position: StorePosition) -> Self {
        Self {
            position,
            start: position.revision,
            changed: BTreeMap::new(),
        }
    }

    /// Returns the position up to which the log has all changes.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Adds changes that lead from the log's position to `position`. Changes up to an earlier
    /// position are ignored; a change of the era starts the log anew.
    pub fn append(
        &mut self,
        position: StorePosition,
        objects: impl IntoIterator<Item = (CompactString, T)>,
    ) {
        if position.era != self.position.era {
            *self = Self::new(position);
            return;
        }
        if position.revision < self.position.revision {
            return;
        }
        self.position = position;
        let revision = position.revision;
        let changed = objects
            .into_iter()
            .map(|(name, object)| (name, (revision, object)));
        self.changed.extend(changed);
        if self.changed.len() > MAX_OBJECTS {
            self.drop_oldest();
        }
    }

    /// Drops the half of the objects that changed first.
    fn drop_oldest(&mut self) {
        let mut revisions: Vec<Revision> =
            self.changed.values().map(|(changed, _)| *changed).collect();
        revisions.sort_unstable();
        self.start = revisions[revisions.len() / 2];
        let start = self.start;
        self.changed.retain(|_, (changed, _)| *changed > start);
    }

    /// Returns the changes after `known`, or `None` if the log does not reach back that far or
    /// `known` is of another era.
    #[must_use]
    pub fn since(&self, known: StorePosition) -> Option<Delta<T>> {
        if known.era != self.position.era || known.revision < self.start {
            return None;
        }
        let missed = self
            .changed
            .values()
            .filter(|(changed, _)| *changed > known.revision);
        Some(Delta {
            after: known,
            position: self.position,
            objects: missed.map(|(_, object)| object.clone()).collect(),
        })
    }
}
