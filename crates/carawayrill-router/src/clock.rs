//! The monotonic clock of this process.

use std::time::Duration;

use carawayrill_core::id::Incarnation;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use tokio::time::Instant;

/// Reads the time since the process started. It follows the runtime's clock, so that tests can run
/// it in virtual time.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(millis(self.start.elapsed()))
    }

    /// Returns the instant at which this clock reads `at`.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_millis(at.0)
    }
}

/// Returns the incarnation of a run that starts now: the wall clock in milliseconds, which is
/// higher than that of any earlier run on a VM with a sane clock.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(carawayrill_telemetry::wall_now().0)
}
