//! The number of fronts that share the servers' connections and the retry budget.

use std::time::Duration;

use crate::time::Time;

/// The number of fronts that is assumed until the granter reports it.
pub const DEFAULT_FRONT_COUNT: u32 = 12;
/// How long lower numbers have to be reported before one is applied. A new granter knows only the
/// fronts that have connected to it; dividing the limits by that number would exceed them in total.
const LOWER_COUNT_DELAY: Duration = Duration::from_secs(12);

/// The number of fronts as reported by the granter.
#[derive(Debug, Clone, Copy)]
pub struct FrontCount {
    count: u32,
    /// When the granter last reported a number at least as large as `count`.
    confirmed_at: Time,
    is_reported: bool,
}

impl FrontCount {
    /// Creates a count with an assumed number of fronts.
    #[must_use]
    pub fn new(count: u32, now: Time) -> Self {
        Self {
            count: count.max(1),
            confirmed_at: now,
            is_reported: false,
        }
    }

    /// Returns the number of fronts, or `None` before the granter has reported it.
    #[must_use]
    pub fn reported(&self) -> Option<u32> {
        self.is_reported.then_some(self.count)
    }

    /// Returns the number of fronts to divide shared limits by.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.count
    }

    /// Applies a number that the granter reported at `now`.
    pub fn update(&mut self, count: u32, now: Time) {
        let count = count.max(1);
        self.is_reported = true;
        if count >= self.count || now.since(self.confirmed_at) > LOWER_COUNT_DELAY {
            self.count = count;
            self.confirmed_at = now;
        }
    }
}
