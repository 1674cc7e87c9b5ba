//! The permits by which a front spends its share of a server's limit.

use std::time::Duration;

use crate::time::Time;

/// The time for which all fronts together can save up permits. It bounds what they send at once.
const BURST_TIME: Duration = Duration::from_millis(1_500);
/// The number of permits that all fronts together can save up besides, so that those of a low limit
/// don't expire before there is a request.
const BURST_REQUESTS: f64 = 3.0;
/// The number of permits for a cold server that all fronts together can save up. With those of a
/// second at a thousand random phases, they must stay well below 1.5 times the rate plus 8.
const COLD_BURST_REQUESTS: f64 = 2.0;

/// Permits that come at a steady rate and expire.
#[derive(Debug, Clone)]
pub struct Permits {
    /// The permits a second.
    rate: f64,
    /// The time in seconds for which a permit can be used.
    ttl: f64,
    /// The number of permits that have come until `at`; a fraction is one that is on its way.
    position: f64,
    at: Time,
    /// The number of permits that are used or expired.
    spent: f64,
}

impl Permits {
    /// Creates permits of which none has come, at a rate of 0. `phase`, between 0 and 1, is the part
    /// of the time to the first one that is over, so that the permits of many fronts don't come
    /// together.
    #[must_use]
    pub fn new(phase: f64, now: Time) -> Self {
        Self {
            rate: 0.0,
            ttl: 0.0,
            position: phase.clamp(0.0, 1.0),
            at: now,
            spent: 0.0,
        }
    }

    /// Changes the rate of this front's permits from `now` on, and the limit for all fronts. Both are
    /// in requests a second.
    pub fn set_rate(&mut self, rate: f64, limit: f64, now: Time) {
        let ttl = BURST_TIME.as_secs_f64() + BURST_REQUESTS / limit;
        self.change(rate, ttl, now);
    }

    /// Changes the rate as [`Self::set_rate`] does, for a cold server: fewer permits are saved up.
    pub fn set_cold_rate(&mut self, rate: f64, limit: f64, now: Time) {
        self.change(rate, COLD_BURST_REQUESTS / limit, now);
    }

    fn change(&mut self, rate: f64, ttl: f64, now: Time) {
        self.spent = self.spent_at(now);
        self.position = self.position_at(now);
        self.at = self.at.max(now);
        self.rate = rate;
        self.ttl = ttl;
    }

    /// Discards the permits that were saved up.
    pub fn discard(&mut self, now: Time) {
        self.spent = self.spent.max(self.position_at(now).floor());
    }

    /// Returns whether there is a permit.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        self.position_at(now).floor() > self.spent_at(now)
    }

    /// Uses a permit if there is one.
    pub fn take(&mut self, now: Time) {
        self.spent = self.spent_at(now);
        if self.is_available(now) {
            self.spent += 1.0;
        }
    }

    /// Returns the time until there is a permit, or `None` if none will come.
    #[must_use]
    pub fn wait(&self, now: Time) -> Option<Duration> {
        if self.is_available(now) {
            return Some(Duration::ZERO);
        }
        let position = self.position_at(now);
        let missing = position.floor() + 1.0 - position;
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }

    fn position_at(&self, now: Time) -> f64 {
        self.position + self.rate * now.since(self.at).as_secs_f64()
    }

    fn spent_at(&self, now: Time) -> f64 {
        let expired = self.position_at(now) - self.rate * self.ttl;
        self.spent.max(expired.floor())
    }
}
