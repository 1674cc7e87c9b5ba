//! Which keys requests are for.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How requests spread over keys.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyPattern {
    /// How many keys there are.
    pub count: u32,
    /// The exponent of a Zipf distribution; 0 is uniform.
    pub exponent: f64,
    /// The keys by name; without any, they are named `key-0` and so on.
    pub names: Vec<CompactString>,
    /// Hot keys besides, if any.
    pub hot: Option<HotKeys>,
}

/// A few keys that take a large share of the requests, and change at stated times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeys {
    /// How many keys are hot at a time.
    pub count: u32,
    /// Share of requests that go to them.
    pub share: f64,
    /// How long the same keys stay hot.
    pub change_every: Duration,
}

impl KeyPattern {
    /// Spreads requests evenly over the keys `names`.
    #[must_use]
    pub fn named(names: Vec<CompactString>) -> Self {
        Self {
            names,
            ..Self::uniform(0)
        }
    }

    /// Returns how many keys there are.
    #[must_use]
    pub fn len(&self) -> u32 {
        if self.names.is_empty() {
            return self.count;
        }
        u32::try_from(self.names.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Spreads requests evenly over `count` keys.
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

/// Chooses keys.
#[derive(Debug, Clone)]
pub struct KeySampler {
    pattern: KeyPattern,
    /// The summed weights of the keys up to each one.
    cumulative_weights: Vec<f64>,
}

impl KeySampler {
    /// Prepares the choice for `pattern`.
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

    /// Chooses the key of a request that is due `at` after the start.
    pub fn choose(&self, at: Duration, rng: &mut ChaCha8Rng) -> CompactString {
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
