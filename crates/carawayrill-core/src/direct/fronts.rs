//! How many fronts share the servers' connections and the retry budget.

use std::time::Duration;

use crate::time::Time;

/// The fronts that are assumed before the granter has told their number.
pub const DEFAULT_FRONT_COUNT: u32 = 12;
/// How long a lower number has to be told before it counts. A granter that has just begun knows
/// few fronts, and a larger share for each would be too much for all together.
const LOWER_COUNT_DELAY: Duration = Duration::from_secs(12);

/// The number of fronts, as told by the granter.
#[derive(Debug, Clone, Copy)]
pub struct FrontCount {
    count: u32,
    /// When the number was last told to be as large.
    confirmed_at: Time,
}

impl FrontCount {
    /// Starts with an assumed number.
    #[must_use]
    pub fn new(count: u32, now: Time) -> Self {
        Self {
            count: count.max(1),
            confirmed_at: now,
        }
    }

    /// Returns the number to count with.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.count
    }

    /// Takes in a number that was told at `now`.
    pub fn update(&mut self, count: u32, now: Time) {
        let count = count.max(1);
        if count >= self.count || now.since(self.confirmed_at) > LOWER_COUNT_DELAY {
            self.count = count;
            self.confirmed_at = now;
        }
    }
}
