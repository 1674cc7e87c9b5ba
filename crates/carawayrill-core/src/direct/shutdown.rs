//! Until when a front that shuts down passes requests on.
//!
//! A front has a grace period from its stop signal until the process is killed. Shortly before its
//! end the requests that are still in flight are aborted, so that callers get a reply at all. The
//! server of such a request may have run it, so that the reply promises nothing, and a request of at
//! most one run is lost. A request is therefore passed on only if it ends by itself before the abort,
//! at its own deadline, or if it arrives so early that callers have not yet been directed to other
//! fronts.

use std::time::Duration;

use crate::time::Time;

/// The share of the grace period after which requests in flight are aborted.
const ABORT_SHARE: f64 = 0.85;
/// The share of the grace period within which a graceful shutdown ends.
const END_SHARE: f64 = 0.93;
/// The most of the grace period during which all requests are passed on: as much must be left for
/// their servers.
const MAX_ADMIT_SHARE: f64 = 0.45;
/// How much later than the platform has sent the stop signal a busy process may have noticed it.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);

/// The moments of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The last moment at which a request is passed on whatever its deadline is.
    pub admit_until: Time,
    /// When requests in flight are aborted.
    pub abort_at: Time,
    /// The moment by which the process ends.
    pub end_by: Time,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that began at `begun`, with a grace period of `grace`.
    /// Callers are directed to other fronts within `redirect`.
    #[must_use]
    pub fn new(begun: Time, grace: Duration, redirect: Duration) -> Self {
        let admit = redirect.saturating_sub(SIGNAL_DELAY);
        Self {
            admit_until: begun + admit.min(grace.mul_f64(MAX_ADMIT_SHARE)),
            abort_at: begun + grace.mul_f64(ABORT_SHARE),
            end_by: begun + grace.mul_f64(END_SHARE),
        }
    }

    /// Returns whether a caller's request that is complete at `now` is passed on.
    #[must_use]
    pub fn admits(&self, now: Time, deadline: Time) -> bool {
        now <= self.admit_until || self.admits_of_peer(deadline)
    }

    /// Returns whether a request that another front has passed on is passed on to a server. That
    /// front goes on running and can ask a further one, so only the deadline counts.
    #[must_use]
    pub fn admits_of_peer(&self, deadline: Time) -> bool {
        deadline <= self.abort_at
    }

    /// Returns whether a send that begins at `now` and is expected to take `expected` ends before
    /// requests are aborted.
    #[must_use]
    pub fn has_time_for(&self, now: Time, expected: Duration) -> bool {
        now + expected <= self.abort_at
    }
}
