//! The number of fronts that share the servers' connections and the retry budget.

use std::time::Duration;

use crate::time::Time;

/// The number of fronts that is assumed until the granter reports it.
pub const DEFAULT_FRONT_COUNT: u32 = 12;
/// How long lower numbers have to be reported before one is applied. A new granter knows only the
/// fronts that have connected to it; dividing the limits by that number would exceed them in total.
const LOWER_COUNT_DELAY: Duration = Duration::from_secs(12);

/// The least number of fronts of which only the strong ones call the store often during an outage.
const MIN_LARGE_FLEET: u32 = 30;
/// The ratio of a front's processor time to that of the strongest front from which it is strong.
const STRONG_SHARE: f64 = 0.5;

/// Returns whether a front waits longer than others before it calls the store again: it is one of
/// many, and not strong enough to become the granter soon. `fronts` is their number, as far as it is
/// known.
///
/// Each call is paid for, also while the store is down. It is enough that some fronts notice its
/// return, since one of them becomes the granter and tells the others.
#[must_use]
pub fn waits_longer(fronts: Option<u32>, cores: f64, strongest_cores: f64) -> bool {
    let is_large = fronts.is_some_and(|fronts| fronts >= MIN_LARGE_FLEET);
    is_large && cores < strongest_cores * STRONG_SHARE
}

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
