//! The distribution of requests over keys.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The distribution of requests over keys.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyPattern {
    /// The number of keys, if they are not named.
    pub count: u32,
    /// The exponent of the Zipf distribution; 0 means uniform.
    pub exponent: f64,
    /// The names of the keys. If empty, the keys are `key-0`, `key-1` and so on.
    pub names: Vec<CompactString>,
    /// Additional hot keys, if any.
    pub hot: Option<HotKeys>,
}

/// A few keys that receive a fixed share of the requests and are replaced at fixed intervals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeys {
    /// The number of keys that are hot at a time.
    pub count: u32,
    /// The share of requests for hot keys, from 0 to 1.
    pub share: f64,
    /// The interval at which the hot keys are replaced.
    pub change_every: Duration,
}

impl KeyPattern {
    /// Returns a uniform distribution over the keys `names`.
    #[must_use]
    pub fn named(names: Vec<CompactString>) -> Self {
        Self {
            names,
            ..Self::uniform(0)
        }
    }

    /// Returns the number of keys, without hot keys.
    #[must_use]
    pub fn len(&self) -> u32 {
        if self.names.is_empty() {
            return self.count;
        }
        u32::try_from(self.names.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a uniform distribution over `count` keys.
    #[must_use]
    pub fn uniform(count: u32) -> Self {
        Self {
            count,
            exponent: 0.0,
            names: Vec::new(),
            hot: None,
        }
    }
}

/// Samples keys from a [`KeyPattern`].
#[derive(Debug, Clone)]
pub struct KeySampler {
    pattern: KeyPattern,
    /// For each key, the sum of its weight and those of all keys before it.
    cumulative_weights: Vec<f64>,
}

impl KeySampler {
    /// Creates a sampler for `pattern`.
    #[must_use]
    pub fn new(pattern: KeyPattern) -> Self {
        let mut sum = 0.0;
        let weights = (1..=pattern.len()).map(|rank| f64::from(rank).powf(-pattern.exponent));
        let cumulative_weights = weights
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
        Self {
            pattern,
            cumulative_weights,
        }
    }

    /// Returns a random key for a request that is due `at` after the start.
    pub fn sample(&self, at: Duration, rng: &mut ChaCha8Rng) -> CompactString {
        if let Some(hot) = self.pattern.hot
            && rng.random::<f64>() < hot.share
        {
            let generation = at.as_millis() / hot.change_every.as_millis().max(1);
            let index = rng.random_range(0..hot.count.max(1));
            return format_compact!("hot-{generation}-{index}");
        }
        let total = self.cumulative_weights.last().copied().unwrap_or_default();
        let point = rng.random::<f64>() * total;
        let rank = self
            .cumulative_weights
            .partition_point(|weight| *weight <= point);
        match self.pattern.names.get(rank) {
            Some(name) => name.clone(),
            None => format_compact!("key-{rank}"),
        }
    }
}
