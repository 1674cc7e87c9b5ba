//! How many of a service's requests are of routes with homes.
//!
//! It is designed for routes with homes that carry next to none of a service's requests beside
//! routes without homes that carry the rest: the keys of the service must not be crowded into the
//! home regions for them.

use std::time::Duration;

use crate::time::Time;

/// The half-life of counted requests.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The share of requests with homes from which on they count.
const MIN_SHARE: f64 = 0.1;
/// The share below which they no longer count. It is lower, so that keys don't move back and forth.
const LEAVING_SHARE: f64 = 0.03;
/// The number of requests, after decay, below which the share is not known. It then stays as it was.
const MIN_REQUESTS: f64 = 10.0;

/// The requests of one service that were sent lately, with decay.
#[derive(Debug, Clone, Default)]
pub struct HomedShare {
    with_homes: f64,
    total: f64,
    counted_at: Time,
    is_significant: bool,
}

impl HomedShare {
    /// Counts requests, `with_homes` of which are of routes with homes.
    pub fn record(&mut self, with_homes: u32, total: u32, now: Time) {
        let half_lives = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = (-half_lives).exp2();
        self.with_homes = self.with_homes * decay + f64::from(with_homes);
        self.total = self.total * decay + f64::from(total);
        self.counted_at = self.counted_at.max(now);
        if self.total < MIN_REQUESTS {
            return;
        }
        let share = self.with_homes / self.total;
        let bound = if self.is_significant {
            LEAVING_SHARE
        } else {
            MIN_SHARE
        };
        self.is_significant = share >= bound;
    }

    /// Returns whether the requests with homes are more than a few.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.is_significant
    }
}
