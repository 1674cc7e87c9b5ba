//! How much each key of a service is asked for.

use std::time::Duration;

use crate::direct::keys::KEY_COUNT;
use crate::direct::keys::KeyRange;

/// What each key counts with beside its own demand, in requests a second, so that keys nobody
/// asks for are spread as well.
const BASE_RATE_PER_KEY: f64 = 2.0 / KEY_COUNT as f64;

/// The demand by key, in requests a second, as an exponentially weighted mean.
#[derive(Debug, Clone)]
pub struct KeyDemand {
    rates: Vec<f32>,
    pending: Vec<f32>,
    /// The summed rate of all keys before each key.
    sums: Vec<f64>,
    hottest: Option<(u16, f64)>,
    /// The time after which an old rate counts 1/e.
    time_constant: Duration,
}

impl KeyDemand {
    /// Makes the table of a service without demand.
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

    /// Takes the requests added over the last `elapsed` into the mean rates.
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

    /// Returns the rate of one key.
    #[must_use]
    pub fn rate(&self, key: usize) -> f64 {
        f64::from(self.rates[key]) + BASE_RATE_PER_KEY
    }

    /// Returns the key with the highest rate, if any key was asked for.
    #[must_use]
    pub fn hottest(&self) -> Option<(u16, f64)> {
        self.hottest
    }

    /// Returns the summed rate of a range.
    #[must_use]
    pub fn range_rate(&self, range: KeyRange) -> f64 {
        self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]
    }
}
