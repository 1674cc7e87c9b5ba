//! The space-saving sketch of Metwally, Agrawal and El Abbadi (2005), with counts that decay.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::KeyHash;
use crate::measure::Ratio;
use crate::small_data;

small_data! {
    /// A key that may be hot.
    pub struct HotKey {
        /// The key.
        pub key: KeyHash,
        /// Its decayed count, never below the true one.
        pub count: u64,
        /// How far the count may lie above the true one.
        pub error: u64,
    }
}

impl HotKey {
    /// Returns the part of the count that is certain.
    #[must_use]
    pub const fn guaranteed(self) -> u64 {
        self.count.saturating_sub(self.error)
    }
}

/// The count of one key and its possible error.
#[derive(Debug, Clone, Copy)]
struct Counter {
    count: u64,
    error: u64,
}

/// Counts the most frequent keys of a stream.
///
/// With capacity `k` and a decayed total of `n` counts, each key's count is at most `n / k` above
/// the true one and never below it. So each key with more than `n / k` is in the sketch. Each
/// [`decay`](Self::decay) halves what was counted before and adds at most 2 to an error by
/// rounding. One counter takes about 100 bytes.
#[derive(Debug, Clone)]
pub struct Sketch {
    capacity: usize,
    total: u64,
    counters: HashMap<KeyHash, Counter>,
    ranked: BTreeSet<(u64, KeyHash)>,
}

impl Sketch {
    /// Makes an empty sketch of at most `capacity` counters; at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            total: 0,
            counters: HashMap::new(),
            ranked: BTreeSet::new(),
        }
    }

    /// Counts one request of `key`.
    pub fn add(&mut self, key: KeyHash) {
        self.total += 1;
        let counter = match self.counters.get(&key) {
            Some(&known) => {
                self.ranked.remove(&(known.count, key));
                known
            }
            None => self.new_counter(),
        };
        let count = counter.count + 1;
        let error = counter.error;
        self.counters.insert(key, Counter { count, error });
        self.ranked.insert((count, key));
    }

    /// Returns the start of a new key's counter. If the sketch is full, the key takes the place of
    /// the least frequent one, and may have been counted as often as that one.
    fn new_counter(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter { count: 0, error: 0 };
        }
        let Some((least, key)) = self.ranked.pop_first() else {
            return Counter { count: 0, error: 0 };
        };
        self.counters.remove(&key);
        Counter {
            count: least,
            error: least,
        }
    }

    /// Halves all counts, so that what was hot before fades. Called at a fixed interval, which is
    /// the half-life of a count.
    pub fn decay(&mut self) {
        self.total = self.total.div_ceil(2);
        self.ranked.clear();
        for (key, counter) in &mut self.counters {
            // Rounding the count up keeps it above the true one; the error takes what that adds.
            counter.count = counter.count.div_ceil(2);
            counter.error = (counter.error.div_ceil(2) + 1).min(counter.count);
            self.ranked.insert((counter.count, *key));
        }
    }

    /// Returns the decayed number of requests counted.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of counters in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Tells whether nothing was counted yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Returns the `limit` most frequent keys, the hottest first.
    #[must_use]
    pub fn top(&self, limit: usize) -> Vec<HotKey> {
        let ranked = self.ranked.iter().rev().take(limit);
        ranked
            .filter_map(|(_, key)| {
                let &Counter { count, error } = self.counters.get(key)?;
                Some(HotKey {
                    key: *key,
                    count,
                    error,
                })
            })
            .collect()
    }

    /// Returns the share of all requests that certainly went to `key`.
    #[must_use]
    pub fn share(&self, key: HotKey) -> Ratio {
        if self.total == 0 {
            return Ratio::default();
        }
        Ratio::of(key.guaranteed(), self.total)
    }
}
