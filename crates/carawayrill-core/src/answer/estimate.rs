//! How long a server takes for a request, from the home's own measurements.

use std::time::Duration;

/// Smoothed mean and deviation of a server's service time.
///
/// The gains are those of the classic round-trip estimator: an eighth for the mean, a quarter for
/// the deviation. Both follow a change within some tens of requests and ignore a single outlier.
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

/// The mean moves by one part in this many of the difference.
const MEAN_GAIN: u64 = 8;
/// The deviation moves by one part in this many of the difference.
const DEVIATION_GAIN: u64 = 4;

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Moves `value` towards `target` by one part in `gain`.
fn move_towards(value: u64, target: u64, gain: u64) -> u64 {
    if target >= value {
        value + (target - value) / gain
    } else {
        value - (value - target) / gain
    }
}

impl ServiceTime {
    /// Takes in the time of a request that was answered.
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

    /// Takes in that a request was given up on after `elapsed`. It would have taken longer, so
    /// that the time can only raise the mean.
    pub fn observe_at_least(&mut self, elapsed: Duration) {
        if micros(elapsed) > self.mean_us {
            self.observe(elapsed);
        }
    }

    /// Returns the mean, if anything was measured.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us))
    }

    /// Returns the mean and one deviation, if anything was measured: most requests take less.
    #[must_use]
    pub fn mean_plus_deviation(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us + self.deviation_us))
    }
}
