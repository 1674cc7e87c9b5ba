//! Decides when a front asks the store itself, because what it knows may be too old.
//!
//! The bound comes from the time for which a draining server may still be sent requests: a front
//! whose granter falls silent has to learn of the server from the store within that time.
//!
//! A watch that waits proves nothing until it is answered: its connection may be dead, or the store
//! may have dropped it. So no watch waits for longer than knowledge may get old.

use std::time::Duration;

use crate::time::Time;

/// The age at which knowledge is too old, as a share of the drain time.
const MAX_AGE_SHARE: f64 = 0.6;
/// The spread of that age over the fronts, as a share of the drain time. Without it, the loss of
/// the granter would send all fronts to the store at the same moment.
const SPREAD_SHARE: f64 = 0.45;
/// The wait of a granter's watch, as a share of the drain time. Each response without changes
/// confirms that the granter's knowledge was complete then.
const RELAY_WAIT_SHARE: f64 = 0.1;

/// The limits on the age of knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    max_age: Duration,
    spread: Duration,
    relay_wait: Duration,
}

impl Limits {
    /// Returns the limits for servers that are drained within `drain`.
    #[must_use]
    pub fn for_drain(drain: Duration) -> Self {
        Self {
            max_age: drain.mul_f64(MAX_AGE_SHARE),
            spread: drain.mul_f64(SPREAD_SHARE),
            relay_wait: drain.mul_f64(RELAY_WAIT_SHARE),
        }
    }

    /// Returns the longest time for which a front relies on the granter alone.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.max_age + self.spread
    }

    /// Returns whether knowledge of this age means that the front asked the store in vain.
    #[must_use]
    pub fn is_overdue(&self, age: Duration) -> bool {
        age > self.overdue_age()
    }

    /// Returns the age of knowledge above which the front has asked the store in vain.
    #[must_use]
    pub fn overdue_age(&self) -> Duration {
        self.longest() + self.relay_wait
    }
}

/// The next step of a front to keep its knowledge current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// What is known is recent enough; decide again after this time.
    NotBefore(Duration),
    /// Watch the store. The response is due after this time at the latest, so that it confirms that
    /// nothing changed.
    Watch(Duration),
}

/// When the knowledge of one kind of object was last known to be complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Records that the knowledge was complete at `at`.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns when the knowledge was last known to be complete.
    #[must_use]
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Returns the time since the knowledge was last known to be complete.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns the next step. The granter watches all the time, with short waits, since it relays
    /// the changes. `spread` is this front's share of the spread, between 0 and 1.
    #[must_use]
    pub fn next_read(&self, now: Time, is_granter: bool, limits: &Limits, spread: f64) -> NextRead {
        if is_granter {
            return NextRead::Watch(limits.relay_wait);
        }
        let Some(age) = self.age(now) else {
            return NextRead::Watch(limits.max_age);
        };
        let bound = limits.max_age + limits.spread.mul_f64(spread.clamp(0.0, 1.0));
        if age < bound {
            return NextRead::NotBefore(bound.saturating_sub(age));
        }
        NextRead::Watch(limits.max_age)
    }
}

/// Returns the delay of one front before its next watch after a change, at most `delay`. `spread` is
/// this front's share of the spread, between 0 and 1. All fronts see a change at the same moment, and
/// would otherwise call the store together from then on.
#[must_use]
pub fn spread_delay(delay: Duration, spread: f64) -> Duration {
    delay.mul_f64(0.5 + 0.5 * spread.clamp(0.0, 1.0))
}

/// Returns the time at which the knowledge after a watch was complete.
///
/// A watch without changes was answered after its `wait`, counted from its arrival. One with
/// changes may have been answered right after it was sent.
#[must_use]
pub fn confirmed_time(sent: Time, received: Time, wait: Duration, has_changes: bool) -> Time {
    if has_changes {
        return sent;
    }
    received.min(sent + wait)
}
