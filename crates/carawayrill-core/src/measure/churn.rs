//! Churn: the share of the keys that changed owner in one event.

use std::collections::BTreeMap;
use std::fmt;

use super::ratio::Ratio;
use crate::id::ServerId;
use crate::small_data;

small_data! {
    /// The churn of one event.
    pub struct Churn {
        /// The share of the keys that changed owner.
        pub moved: Ratio,
        /// The least share that had to change owner.
        pub least: Ratio,
    }
}

/// The owner of a number of keys before or after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedItem<'a, K> {
    /// What is owned: a key, a shard, a range.
    pub item: K,
    /// Its owner.
    pub owner: &'a ServerId,
    /// How many keys it stands for.
    pub keys: u64,
}

impl Churn {
    /// Compares the owners before and after an event.
    ///
    /// The least possible share is what servers that own nothing any more (`gone`) owned before,
    /// or, if that is more, the fair share of servers that own something only now (`new`).
    /// Items that stand on one side only count by their keys there, but not as moved.
    #[must_use]
    pub fn between<'a, K: Ord>(before: &[OwnedItem<'a, K>], after: &[OwnedItem<'a, K>]) -> Self {
        let owners_before: BTreeMap<&K, &ServerId> =
            before.iter().map(|row| (&row.item, row.owner)).collect();
        let is_moved = |row: &&OwnedItem<'a, K>| {
            owners_before
                .get(&row.item)
                .is_some_and(|&owner| owner != row.owner)
        };
        let moved = sum(after.iter().filter(is_moved));
        let total = sum(after.iter());
        let old = by_owner(before);
        let new = by_owner(after);
        let gone = old.iter().filter(|(owner, _)| !new.contains_key(*owner));
        let gone: u64 = gone.map(|(_, keys)| keys).sum();
        let added = new.keys().filter(|owner| !old.contains_key(*owner)).count() as u64;
        let share = |keys: u64| {
            if total == 0 {
                Ratio::default()
            } else {
                Ratio::of(keys, total)
            }
        };
        Self {
            moved: share(moved),
            least: share(gone).max(Ratio::of(added, (new.len() as u64).max(1))),
        }
    }

    /// Returns the share that moved without need.
    #[must_use]
    pub fn avoidable(self) -> Ratio {
        Ratio(self.moved.0.saturating_sub(self.least.0))
    }
}

impl fmt::Display for Churn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of least {}", self.moved, self.least)
    }
}

/// Adds up the keys of some rows.
fn sum<'r, 'a: 'r, K: 'r>(rows: impl Iterator<Item = &'r OwnedItem<'a, K>>) -> u64 {
    rows.map(|row| row.keys).sum()
}

/// Adds up the keys of each owner.
fn by_owner<'a, K>(rows: &[OwnedItem<'a, K>]) -> BTreeMap<&'a ServerId, u64> {
    let mut keys = BTreeMap::new();
    for row in rows {
        *keys.entry(row.owner).or_default() += row.keys;
    }
    keys
}
