//! The monotonic clock of the process, and its incarnation.

use std::time::Duration;

use carawayrill_core::id::Incarnation;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use tokio::time::Instant;

/// A clock that measures the time since the process started. It uses the clock of the runtime, so
/// that tests can run in virtual time.
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

    /// Returns the time since the start.
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

/// Returns the incarnation of a process that starts now: the wall clock time in milliseconds. It is
/// higher than that of any earlier process with the same name, provided the VM's clock does not go
/// backwards between the two starts.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(carawayrill_telemetry::wall_now().0)
}
