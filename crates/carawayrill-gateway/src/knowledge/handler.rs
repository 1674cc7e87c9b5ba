//! What happens to the objects of one kind.

use std::fmt::Debug;
use std::time::Duration;

use carawayrill_core::id::Revision;
use carawayrill_core::time::Time;
use carawayrill_store::port::Object;

/// The complete list of the objects of one kind.
#[derive(Debug)]
pub(super) struct Snapshot<'a> {
    pub(super) objects: &'a [Object],
    /// The revision of the store that was read.
    pub(super) revision: Revision,
    /// Whether the store has come back from an older copy since the last list.
    pub(super) restored: bool,
    /// When the objects were last known to be complete. None of the changes was made before.
    pub(super) complete_at: Time,
}

/// Applies the objects of one kind to the tables of this front.
pub(super) trait ChangeHandler: Debug + Send {
    /// Applies the complete list of objects.
    fn on_snapshot(&mut self, snapshot: &Snapshot<'_>);

    /// Applies changed objects. None of the changes was made before `complete_at`.
    fn on_changes(&mut self, objects: &[Object], revision: Revision, complete_at: Time);

    /// Handles a failed call that was sent at `sent`.
    fn on_failure(&mut self, sent: Time);

    /// Notes that the objects were known to be complete at `confirmed`, and before that at
    /// `complete_at`.
    fn on_confirmed(&mut self, confirmed: Time, complete_at: Time);

    /// Returns whether the tables hold what the store said last. While they retain objects that the store
    /// no longer lists, another front may know for certain that these are gone.
    fn is_settled(&self) -> bool {
        true
    }

    /// Returns the delay between a change and the next watch call, so that successive changes are
    /// read together.
    fn batch_delay(&self) -> Duration;
}
