//! Whether some of a service's requests are more than a few of them.
//!
//! It is designed for routes that carry next to none of a service's requests beside others that carry
//! the rest: the keys of the service must not be crowded into their home regions, and no room must be
//! reserved for their priority.

use std::time::Duration;

use crate::time::Time;

/// The half-life of counted requests.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The share of requests from which on they count.
const MIN_SHARE: f64 = 0.1;
/// The share below which they no longer count. It is lower, so that decisions don't go back and
/// forth.
const LEAVING_SHARE: f64 = 0.03;
/// The number of requests, after decay, below which the share is not known. It then stays as it was.
const MIN_REQUESTS: f64 = 10.0;

/// The requests of one service, and those of some of its routes, with decay.
#[derive(Debug, Clone, Default)]
pub struct RequestShare {
    counted: f64,
    total: f64,
    counted_at: Time,
    is_significant: bool,
}

impl RequestShare {
    /// Counts requests of the service, `counted` of which are of the routes in question.
    pub fn record(&mut self, counted: u32, total: u32, now: Time) {
        let half_lives = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = (-half_lives).exp2();
        self.counted = self.counted * decay + f64::from(counted);
        self.total = self.total * decay + f64::from(total);
        self.counted_at = self.counted_at.max(now);
        if self.total < MIN_REQUESTS {
            return;
        }
        let share = self.counted / self.total;
        let bound = if self.is_significant {
            LEAVING_SHARE
        } else {
            MIN_SHARE
        };
        self.is_significant = share >= bound;
    }

    /// Returns whether the requests are more than a few.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.is_significant
    }
}
