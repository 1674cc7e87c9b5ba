//! What a front knows of the store's objects: up to which point of the store's history, how old
//! that knowledge is, and where its next changes come from.
//!
//! It is designed for hundreds of fronts. If each of them watched the store, each change would cost
//! a call for each front. Instead one front, the granter, watches the store and relays the changes
//! to the others. A front that does not hear from the granter for a limited time asks the store
//! itself, from the point up to which it knows the history.

mod change_log;
mod changes_known;
mod freshness;
mod relay_budget;

pub use self::change_log::ChangeLog;
pub use self::change_log::Delta;
pub use self::changes_known::KnownHistories;
pub use self::changes_known::KnownHistory;
pub use self::changes_known::LatestChanges;
pub use self::freshness::Freshness;
pub use self::freshness::Limits;
pub use self::freshness::NextRead;
pub use self::freshness::confirmed_time;
pub use self::freshness::spread_delay;
pub use self::relay_budget::RelayBudget;
use crate::id::Era;
use crate::id::Revision;
use crate::id::Version;
use crate::small_data;

small_data! {
    /// The version of an object and the era in which it was given out.
    #[derive(Default)]
    pub struct StoredVersion {
        /// The era.
        pub era: Era,
        /// The version; 0 if there is no such object.
        pub version: Version,
    }

    /// A point in the history of the store.
    #[derive(Default)]
    pub struct StorePosition {
        /// The era, in which the revision was given out.
        pub era: Era,
        /// The revision.
        pub revision: Revision,
    }
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
