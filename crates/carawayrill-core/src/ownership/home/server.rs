//! What a router knows of one server.

use crate::id::Incarnation;
use crate::id::RouterId;
use crate::ownership::limits::Limits;
use crate::ownership::limits::add_ms;
use crate::ownership::limits::elapsed;
use crate::time::ServerTime;
use crate::time::Time;
use crate::time::millis;

/// A reading of a server's clock, taken before `received` on our clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClockReading {
    clock: ServerTime,
    received: Time,
}

/// What a router knows of one server.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag has a source of its own and any may be set together"
)]
#[derive(Debug)]
pub(super) struct ServerRow {
    /// Its latest run that has answered.
    pub(super) incarnation: Option<Incarnation>,
    /// When that run was first heard of.
    pub(super) incarnation_seen_at: Time,
    /// The latest reading of its clock.
    pub(super) clock_reading: Option<ClockReading>,
    /// When it last answered, or when we began to ask.
    pub(super) last_reply: Time,
    /// When the last regular message of orders was sent.
    pub(super) last_orders_sent: Option<Time>,
    /// Whether it is held to be lost.
    pub(super) lost: bool,
    /// Whether its process has certainly ended.
    pub(super) gone: bool,
    /// Whether it asks for no new work.
    pub(super) draining: bool,
    /// Whether it leaves by plan.
    pub(super) leaving: bool,
    /// The router that counts its slots, if another.
    pub(super) home: Option<RouterId>,
}

/// A grant to be sent, with what it means on our own clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantBounds {
    /// The end on the server's clock.
    pub(super) until: ServerTime,
    /// The latest time on our clock at which the grant can still be valid.
    pub(super) possible_end: Time,
}

impl ServerRow {
    pub(super) fn new(now: Time) -> Self {
        Self {
            incarnation: None,
            incarnation_seen_at: now,
            clock_reading: None,
            last_reply: now,
            last_orders_sent: None,
            lost: false,
            gone: false,
            draining: false,
            leaving: false,
            home: None,
        }
    }

    /// Takes in a reply's run and clock. Returns false for a reply of an earlier run, which says
    /// nothing about the present one.
    pub(super) fn record_reply(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        clock: ServerTime,
    ) -> bool {
        if self.incarnation.is_some_and(|known| incarnation < known) {
            return false;
        }
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.incarnation_seen_at = now;
            self.clock_reading = None;
            self.gone = false;
        }
        self.last_reply = self.last_reply.max(now);
        if self.clock_reading.is_none_or(|old| clock >= old.clock) {
            self.clock_reading = Some(ClockReading {
                clock,
                received: now,
            });
        }
        true
    }

    /// Tells whether the regular message of orders is due.
    pub(super) fn is_due(&self, now: Time, every: u64) -> bool {
        self.last_orders_sent
            .is_none_or(|last_orders_sent| elapsed(now, last_orders_sent) >= every)
    }

    /// Works out a grant that ends with its lifetime, or with `deadline` if that comes first.
    ///
    /// The reading was taken before `received`, so the server's clock is at least the reading by
    /// then. That bounds the end of the grant on our clock from above.
    pub(super) fn grant_bounds(
        &self,
        limits: &Limits,
        deadline: Option<Time>,
    ) -> Option<GrantBounds> {
        let clock_reading = self.clock_reading?;
        let left = deadline.map_or(u64::MAX, |at| elapsed(at, clock_reading.received));
        let span = limits
            .grant_ttl
            .min(limits.min_local_ms(left.min(u64::MAX / 4_000_000)));
        (span > 0).then(|| GrantBounds {
            until: clock_reading.clock + std::time::Duration::from_millis(span),
            possible_end: add_ms(clock_reading.received, limits.max_local_ms(span)),
        })
    }

    /// Returns how long ago the server last answered, in milliseconds.
    pub(super) fn silence_ms(&self, now: Time) -> u64 {
        millis(now.since(self.last_reply))
    }
}
