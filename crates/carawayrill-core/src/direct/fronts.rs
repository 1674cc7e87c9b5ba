//! The number of fronts that share the servers' connections and the retry budget.

use std::time::Duration;

use crate::time::Time;

/// The number of fronts that is assumed until the granter reports it.
pub const DEFAULT_FRONT_COUNT: u32 = 12;
/// How long a report of the granter counts as current. The granter forgets a front that it has not
/// heard of for as long.
const REPORT_TTL: Duration = Duration::from_secs(2);

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
///
/// The fronts divide limits on what they send in a window of time. As a process remembers nothing of
/// the one before it, and knows nothing of fronts that the granter doesn't hear of, two rules keep the
/// sum within such a limit:
///
/// - A front takes a share only while the granter reports to it, and not within a window of its start
///   if another process may have been in its place.
/// - A lower number is applied only when what the missing fronts have sent is older than the window.
///   A granter that has just begun has not heard of all fronts, so that a number after a time without
///   reports doesn't count as lower before.
#[derive(Debug, Clone, Copy)]
pub struct FrontCount {
    count: u32,
    /// Until when a process that was in the place of this one may have used a share.
    predecessor_until: Time,
    window: Duration,
    /// When the granter last reported a number at least as large as `count`.
    confirmed_at: Time,
    reported_at: Option<Time>,
}

impl FrontCount {
    /// Creates the count of a front that starts at `now`, with an assumed number of fronts. `window`
    /// is the longest window of time of a limit that the fronts divide.
    #[must_use]
    pub fn new(count: u32, window: Duration, now: Time) -> Self {
        Self {
            count: count.max(1),
            predecessor_until: now + window,
            window,
            confirmed_at: now,
            reported_at: None,
        }
    }

    /// Marks the count as that of a front that has no predecessor, as the whole system starts for the
    /// first time.
    #[must_use]
    pub fn without_predecessor(self) -> Self {
        Self {
            predecessor_until: Time(0),
            ..self
        }
    }

    /// Returns the number of fronts, or `None` before the granter has reported it.
    #[must_use]
    pub fn reported(&self) -> Option<u32> {
        self.reported_at.map(|_| self.count)
    }

    /// Returns the number of fronts, assumed or reported.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.count
    }

    /// Returns the number of fronts by which this front divides a limit on what all fronts send in a
    /// window, or `None` while it may take no share.
    #[must_use]
    pub fn sharing(&self, now: Time) -> Option<u32> {
        let is_current = self
            .reported_at
            .is_some_and(|at| now.since(at) <= REPORT_TTL);
        (is_current && now >= self.predecessor_until).then_some(self.count)
    }

    /// Applies a number that the granter reported at `now`.
    pub fn update(&mut self, count: u32, now: Time) {
        let count = count.max(1);
        let has_resumed = self.reported_at.is_none_or(|at| now.since(at) > REPORT_TTL);
        if has_resumed {
            self.confirmed_at = now;
        }
        self.reported_at = Some(now);
        let lower_delay = self.window + REPORT_TTL;
        if count >= self.count || now.since(self.confirmed_at) > lower_delay {
            self.count = count;
            self.confirmed_at = now;
        }
    }
}
