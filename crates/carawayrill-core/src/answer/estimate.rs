//! Estimates a server's service time from the home's measurements.

use std::time::Duration;

/// Smoothed mean and deviation of a server's service time.
///
/// The gains are those of the TCP round-trip time estimator: 1/8 for the mean and 1/4 for the
/// deviation. Both follow a change within some tens of requests and damp a single outlier.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use carawayrill_core::answer::estimate::ServiceTime;
///
/// let mut time = ServiceTime::default();
/// assert_eq!(time.mean(), None);
/// time.observe(Duration::from_millis(8));
/// assert_eq!(time.mean(), Some(Duration::from_millis(8)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTime {
    mean_us: u64,
    deviation_us: u64,
    samples: u64,
}

/// Divisor of the difference by which a sample moves the mean.
const MEAN_GAIN: u64 = 8;
/// Divisor of the difference by which a sample moves the deviation.
const DEVIATION_GAIN: u64 = 4;

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Moves `value` towards `target` by `1 / gain` of the difference.
fn move_towards(value: u64, target: u64, gain: u64) -> u64 {
    if target >= value {
        value + (target - value) / gain
    } else {
        value - (value - target) / gain
    }
}

impl ServiceTime {
    /// Records the service time of an answered request.
    pub fn observe(&mut self, took: Duration) {
        let took = micros(took);
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = took;
            self.deviation_us = took / 2;
            return;
        }
        let error = self.mean_us.abs_diff(took);
        self.mean_us = move_towards(self.mean_us, took, MEAN_GAIN);
        self.deviation_us = move_towards(self.deviation_us, error, DEVIATION_GAIN);
    }

    /// Records that a request was given up on after `elapsed`. The full service time is at least
    /// that long, so the sample can only raise the mean.
    pub fn observe_at_least(&mut self, elapsed: Duration) {
        if micros(elapsed) > self.mean_us {
            self.observe(elapsed);
        }
    }

    /// Returns the mean, or `None` without samples.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us))
    }

    /// Returns the mean plus one deviation, which most requests stay below, or `None` without
    /// samples.
    #[must_use]
    pub fn mean_plus_deviation(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us + self.deviation_us))
    }
}
