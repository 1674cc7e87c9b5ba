//! Keys and ranges of keys.

use std::fmt;

use crate::counter;
use crate::data;
use crate::direct::knowledge::StoredVersion;
use crate::small_data;

/// The number of keys of a keyed service.
pub const KEY_COUNT: usize = 1 << 16;

counter! {
    /// The fencing token of a grant. A server refuses grants below the highest fence it has seen.
    Fence;
}

/// The number of low bits of a fence that count the fences of one stored record.
///
/// They suffice for a record in which each key is a span of its own that moves.
const FENCE_BITS_PER_WRITE: u32 = 20;
/// The number of low bits of a fence that count within one era of the store.
const FENCE_BITS_PER_ERA: u32 = 48;

impl Fence {
    /// The fence before all fences that are given out.
    pub const ZERO: Self = Self(0);

    /// Returns the lowest fence that a granter gives out if it can't rely on a record of the present
    /// era. `lease` is the version of its lease.
    ///
    /// It is above all fences of earlier eras, so that a store which was restored from an older copy
    /// gives out no fence again. It is also above those of earlier granters of the same era whose
    /// records are lost: each record that they stored had a version of its own, below that of the
    /// lease.
    #[must_use]
    pub const fn first_after(lease: StoredVersion) -> Self {
        let in_era = lease.version.0 << FENCE_BITS_PER_WRITE;
        Self((lease.era.0 << FENCE_BITS_PER_ERA) + in_era + 1)
    }
}

data! {
    /// Opaque state that the former holder of keys passes to the next one to warm it up.
    #[serde(transparent)]
    pub struct Handover {
        /// The token as the server sent it.
        pub token: compact_str::CompactString,
    }
}

small_data! {
    /// An inclusive range of keys.
    pub struct KeyRange {
        /// The first key.
        pub first: u16,
        /// The last key.
        pub last: u16,
    }
}

impl KeyRange {
    /// The range of all keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns whether `key` lies in the range.
    #[must_use]
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether two ranges share a key.
    #[must_use]
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the parts of this range that lie before and after `removed`.
    #[must_use]
    pub fn without(self, removed: Self) -> [Option<Self>; 2] {
        let before = (self.first < removed.first).then(|| Self {
            last: self.last.min(removed.first - 1),
            ..self
        });
        let after = (removed.last < self.last).then(|| Self {
            first: self.first.max(removed.last + 1),
            ..self
        });
        [before, after]
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(self) -> usize {
        usize::from(self.last) - usize::from(self.first) + 1
    }

    /// Returns `false`: an inclusive range always has at least one key.
    #[must_use]
    pub fn is_empty(self) -> bool {
        false
    }

    /// Returns the range as indices into tables with one row per key.
    #[must_use]
    pub fn indices(self) -> std::ops::RangeInclusive<usize> {
        usize::from(self.first)..=usize::from(self.last)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
