//! Limits the slots of a server during warm-up and after it shed requests.

use std::time::Duration;

use crate::time::Time;
use crate::time::millis;

/// Pause after the first shed request.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Maximum pause after a shed request.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Number of consecutive sheds after which the pause stops doubling.
const MAX_DOUBLINGS: u32 = 6;

/// The number of a server's slots that may be used now.
///
/// It starts with one slot and rises linearly to all slots over the warm-up time. A shed request
/// halves it and pauses the server for a bounded time; it then rises again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    slots: u32,
    warm_up: Duration,
    /// Number of slots that could be used at `start_time`.
    start_level: f64,
    start_time: Time,
    consecutive_sheds: u32,
    paused_until: Time,
}

impl Ramp {
    /// Creates the ramp of a cold server with `slots` slots.
    #[must_use]
    pub fn new(slots: u32, warm_up: Duration, now: Time) -> Self {
        Self {
            slots: slots.max(1),
            warm_up,
            start_level: 1.0,
            start_time: now,
            consecutive_sheds: 0,
            paused_until: now,
        }
    }

    /// Creates the ramp of a server that already runs at full capacity.
    #[must_use]
    pub fn warm(slots: u32, warm_up: Duration, now: Time) -> Self {
        Self {
            start_level: f64::from(slots.max(1)),
            ..Self::new(slots, warm_up, now)
        }
    }

    /// Returns the number of slots that may be used: 0 during a pause, otherwise at least 1.
    #[must_use]
    pub fn usable_slots(&self, now: Time) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        floor_slots(self.level(now)).clamp(1, self.slots)
    }

    /// Returns the remaining time of the pause.
    #[must_use]
    pub fn pause_left(&self, now: Time) -> Duration {
        self.paused_until.since(now)
    }

    /// Records that the server shed a request.
    ///
    /// Sheds during a pause are ignored: those requests were sent before the pause, and one burst
    /// of sheds halves the slots once.
    pub fn shed(&mut self, now: Time) {
        if now < self.paused_until {
            return;
        }
        let pause = MIN_PAUSE * 2_u32.pow(self.consecutive_sheds.min(MAX_DOUBLINGS));
        self.start_level = (self.level(now) / 2.0).max(1.0);
        self.consecutive_sheds += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.start_time = self.paused_until;
    }

    /// Records that the server answered a request.
    pub fn answered(&mut self) {
        self.consecutive_sheds = 0;
    }

    fn level(&self, now: Time) -> f64 {
        let span = millis(self.warm_up);
        if span == 0 {
            return f64::from(self.slots);
        }
        let part = (millis(now.since(self.start_time)) as f64 / span as f64).min(1.0);
        self.start_level + (f64::from(self.slots) - self.start_level) * part
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a level lies between 1 and the number of slots"
)]
fn floor_slots(level: f64) -> u32 {
    level as u32
}
