//! The current speed of a server, as far as one front knows it.
//!
//! It is designed for servers that share machines: about a fifth of the time a server is 3 times
//! slower, for 400 ms. Among 70 fronts, one front hears of a server about every 5 s, so that most
//! figures are old. A figure therefore counts in proportion to the probability that it still holds.

use std::time::Duration;

use crate::time::Time;
use crate::time::floor_to_u64;
use crate::time::millis;

/// The half-life of the deviation of a figure from the usual speed, in milliseconds. Of periods of
/// 400 ms, half have ended after this time.
const DEVIATION_HALF_LIFE_MS: f64 = 200.0;
/// The shortest time over which the mean is taken; the weight hardly changes within a shorter one.
const MIN_MEAN_MS: f64 = 1.0;
/// The lowest and the highest percentage that a server may report.
const MIN_PERCENT: f64 = 10.0;
const MAX_PERCENT: f64 = 1_000.0;

/// How long work takes on a server's machine, in percent of the usual time; 10 to 1,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace(u64);

impl Pace {
    /// Returns the pace for a percentage, without its fraction, or `None` if it is not a number from 10 to 1,000.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<Self> {
        let is_valid = (MIN_PERCENT..=MAX_PERCENT).contains(&percent);
        is_valid.then(|| Self(floor_to_u64(percent)))
    }

    /// Returns the factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        self.0 as f64 / 100.0
    }
}

/// The last known pace of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastPace {
    last: Option<(Pace, Time)>,
}

impl LastPace {
    /// Records a pace that the server reported at `now`.
    pub fn record(&mut self, pace: Pace, now: Time) {
        self.last = Some((pace, now));
    }

    /// Returns the expected mean factor by which work takes longer than usual during `duration_ms`,
    /// which starts `start_ms` after `now`, or before if negative; 1 without a report.
    ///
    /// The pace may change within that time. The expected deviation from the usual one halves with
    /// each half-life before and after the report.
    fn mean_factor(&self, now: Time, start_ms: f64, duration_ms: f64) -> f64 {
        let Some((pace, reported_at)) = self.last else {
            return 1.0;
        };
        let start = millis(now.since(reported_at)) as f64 + start_ms;
        let mean_weight = if duration_ms < MIN_MEAN_MS {
            weight(start)
        } else {
            (weight_sum(start + duration_ms) - weight_sum(start)) / duration_ms
        };
        1.0 + (pace.factor() - 1.0) * mean_weight
    }

    /// Returns the expected factor for work that starts at `now` and usually takes `usual_ms`.
    #[must_use]
    pub fn factor_ahead(&self, now: Time, usual_ms: f64) -> f64 {
        self.mean_factor(now, 0.0, usual_ms)
    }

    /// Returns the expected factor for work that ended at `now` and took `took`.
    #[must_use]
    pub fn factor_behind(&self, now: Time, took: Duration) -> f64 {
        let took_ms = millis(took) as f64;
        self.mean_factor(now, -took_ms, took_ms)
    }
}

/// Returns the weight of a figure `distance_ms` milliseconds after it was reported, or before if
/// negative.
fn weight(distance_ms: f64) -> f64 {
    (-distance_ms.abs() / DEVIATION_HALF_LIFE_MS).exp2()
}

/// Returns the integral of [`weight`] from 0 to `distance_ms`.
fn weight_sum(distance_ms: f64) -> f64 {
    let whole = DEVIATION_HALF_LIFE_MS / std::f64::consts::LN_2;
    whole.copysign(distance_ms) * (1.0 - weight(distance_ms))
}
