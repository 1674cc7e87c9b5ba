//! Churn: the share of the keys that change owner in one event.

use std::collections::BTreeMap;
use std::fmt;

use super::ratio::Ratio;
use crate::id::ServerId;
use crate::small_data;

small_data! {
    /// The churn of one event.
    pub struct Churn {
        /// Share of the keys that changed owner.
        pub moved: Ratio,
        /// Lowest possible share: that of the keys that had to change owner.
        pub least: Ratio,
    }
}

/// An item with its owner and its number of keys, before or after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedItem<'a, K> {
    /// The owned item, such as a key or a shard.
    pub item: K,
    /// The owner of the item.
    pub owner: &'a ServerId,
    /// Number of keys in the item.
    pub keys: u64,
}

impl Churn {
    /// Compares the owners before and after an event.
    ///
    /// The lowest possible share is the higher of two: the share of keys owned before by servers
    /// that own nothing afterwards, and the fair share of servers that own keys only afterwards.
    /// Items that are in only one of the lists count towards the total of that list, but not as moved.
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
        let removed = old.iter().filter(|(owner, _)| !new.contains_key(*owner));
        let removed: u64 = removed.map(|(_, keys)| keys).sum();
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
            least: share(removed).max(Ratio::of(added, (new.len() as u64).max(1))),
        }
    }

    /// Returns the share of keys that moved beyond the lowest possible share.
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

/// Sums up the keys of rows.
fn sum<'r, 'a: 'r, K: 'r>(rows: impl Iterator<Item = &'r OwnedItem<'a, K>>) -> u64 {
    rows.map(|row| row.keys).sum()
}

/// Sums up the keys of each owner.
fn by_owner<'a, K>(rows: &[OwnedItem<'a, K>]) -> BTreeMap<&'a ServerId, u64> {
    let mut keys = BTreeMap::new();
    for row in rows {
        *keys.entry(row.owner).or_default() += row.keys;
    }
    keys
}
