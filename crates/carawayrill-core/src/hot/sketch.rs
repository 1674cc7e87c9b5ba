//! The Space-Saving sketch of Metwally, Agrawal and El Abbadi (2005), with decaying counts.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::KeyHash;
use crate::measure::Ratio;
use crate::small_data;

small_data! {
    /// A frequent key with its estimated count.
    pub struct HotKey {
        /// The key.
        pub key: KeyHash,
        /// Its decayed count; never lower than the true count.
        pub count: u64,
        /// Upper bound of the difference between `count` and the true count.
        pub error: u64,
    }
}

impl HotKey {
    /// Returns the guaranteed count, which is never higher than the true count.
    #[must_use]
    pub const fn guaranteed(self) -> u64 {
        self.count.saturating_sub(self.error)
    }
}

/// The estimated count of one key and its maximum error.
#[derive(Debug, Clone, Copy)]
struct Counter {
    count: u64,
    error: u64,
}

/// Counts the most frequent keys of a stream.
///
/// With capacity `k` and a decayed total of `n`, the count of a key is never lower than the true
/// count and at most `n / k` higher. Each key with a true count above `n / k` is therefore in the
/// sketch. Each [`decay`](Self::decay) halves all counts and adds at most 2 to an error by
/// rounding. One counter takes about 100 bytes.
#[derive(Debug, Clone)]
pub struct Sketch {
    capacity: usize,
    total: u64,
    counters: HashMap<KeyHash, Counter>,
    ranked: BTreeSet<(u64, KeyHash)>,
}

impl Sketch {
    /// Creates an empty sketch of at most `capacity` counters. A capacity of 0 counts as 1.
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

    /// Returns the initial counter of a new key. If the sketch is full, the least frequent key is
    /// evicted, and the new key inherits its count, as the new key may have been counted as often.
    fn new_counter(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter { count: 0, error: 0 };
        }
        let Some((lowest_count, key)) = self.ranked.pop_first() else {
            return Counter { count: 0, error: 0 };
        };
        self.counters.remove(&key);
        Counter {
            count: lowest_count,
            error: lowest_count,
        }
    }

    /// Halves all counts, so that old requests count less than recent ones. The caller calls this
    /// at a fixed interval, which is the half-life of a count.
    pub fn decay(&mut self) {
        self.total = self.total.div_ceil(2);
        self.ranked.clear();
        for (key, counter) in &mut self.counters {
            // The count is rounded up, so that it is never lower than the true count. The error is
            // increased to cover the difference.
            counter.count = counter.count.div_ceil(2);
            counter.error = (counter.error.div_ceil(2) + 1).min(counter.count);
            self.ranked.insert((counter.count, *key));
        }
    }

    /// Returns the decayed total of all counted requests.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of counters in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether no request was counted yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Returns up to `limit` of the most frequent keys, the hottest first.
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

    /// Returns the guaranteed share of `key` in all requests.
    #[must_use]
    pub fn share(&self, key: HotKey) -> Ratio {
        if self.total == 0 {
            return Ratio::default();
        }
        Ratio::of(key.guaranteed(), self.total)
    }
}
