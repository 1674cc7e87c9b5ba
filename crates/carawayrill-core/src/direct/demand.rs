//! The request rate of each key of a service.

use std::time::Duration;

use crate::direct::keys::KEY_COUNT;
use crate::direct::keys::KeyRange;

/// The rate that is added to the measured rate of each key, in requests a second, so that keys
/// without requests are distributed evenly too.
const BASE_RATE_PER_KEY: f64 = 2.0 / KEY_COUNT as f64;

/// The request rate of each key, as an exponentially weighted moving average.
#[derive(Debug, Clone)]
pub struct KeyDemand {
    /// The rate by key, in requests a second.
    rates: Vec<f32>,
    /// The requests by key since the last update of `rates`.
    pending: Vec<f32>,
    /// Prefix sums: the total rate of all keys below each key.
    sums: Vec<f64>,
    hottest: Option<(u16, f64)>,
    /// The time after which an old rate has the weight 1/e.
    time_constant: Duration,
}

impl KeyDemand {
    /// Creates the table of a service that has received no requests.
    #[must_use]
    pub fn new(time_constant: Duration) -> Self {
        let mut demand = Self {
            rates: vec![0.0; KEY_COUNT],
            pending: vec![0.0; KEY_COUNT],
            sums: vec![0.0; KEY_COUNT + 1],
            hottest: None,
            time_constant,
        };
        demand.rebuild_sums();
        demand
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        self.pending[usize::from(key)] += requests as f32;
    }

    /// Updates the average rates with the requests that were added over the last `elapsed`.
    pub fn advance(&mut self, elapsed: Duration) {
        let secs = elapsed.as_secs_f32().max(0.001);
        let decay = (-secs / self.time_constant.as_secs_f32()).exp();
        let gain = (1.0 - decay) / secs;
        for (rate, pending) in self.rates.iter_mut().zip(&mut self.pending) {
            *rate = *rate * decay + *pending * gain;
            *pending = 0.0;
        }
        self.rebuild_sums();
    }

    fn rebuild_sums(&mut self) {
        let mut sum = 0.0;
        self.hottest = None;
        for (key, rate) in self.rates.iter().enumerate() {
            let rate = f64::from(*rate);
            if rate > self.hottest.map_or(0.0, |(_, highest)| highest) {
                self.hottest = u16::try_from(key).ok().map(|key| (key, rate));
            }
            sum += rate + BASE_RATE_PER_KEY;
            self.sums[key + 1] = sum;
        }
    }

    /// Returns the rate of one key, in requests a second.
    #[must_use]
    pub fn rate(&self, key: usize) -> f64 {
        f64::from(self.rates[key]) + BASE_RATE_PER_KEY
    }

    /// Returns the key with the highest rate and that rate, or `None` if there were no requests.
    #[must_use]
    pub fn hottest(&self) -> Option<(u16, f64)> {
        self.hottest
    }

    /// Returns the standard deviation of a measured `rate`, in requests a second, for requests that
    /// arrive independently of each other.
    ///
    /// An exponentially weighted average with time constant τ has the variance of a plain average
    /// over 2τ.
    #[must_use]
    pub fn deviation(&self, rate: f64) -> f64 {
        (rate.max(0.0) / (2.0 * self.time_constant.as_secs_f64())).sqrt()
    }

    /// Returns the total rate of a range, in requests a second.
    #[must_use]
    pub fn range_rate(&self, range: KeyRange) -> f64 {
        self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]
    }
}
