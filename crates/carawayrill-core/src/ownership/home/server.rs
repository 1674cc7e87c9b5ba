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
pub(super) struct Reading {
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
    pub(super) run: Option<Incarnation>,
    /// When that run was first heard of.
    pub(super) run_seen: Time,
    /// The latest reading of its clock.
    pub(super) reading: Option<Reading>,
    /// When it last answered, or when we began to ask.
    pub(super) heard: Time,
    /// When the last regular message of orders was sent.
    pub(super) asked: Option<Time>,
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
            run: None,
            run_seen: now,
            reading: None,
            heard: now,
            asked: None,
            lost: false,
            gone: false,
            draining: false,
            leaving: false,
            home: None,
        }
    }

    /// Takes in a reply's run and clock. Returns false for a reply of an earlier run, which says
    /// nothing about the present one.
    pub(super) fn hear(&mut self, now: Time, run: Incarnation, clock: ServerTime) -> bool {
        if self.run.is_some_and(|known| run < known) {
            return false;
        }
        if self.run != Some(run) {
            self.run = Some(run);
            self.run_seen = now;
            self.reading = None;
            self.gone = false;
        }
        self.heard = self.heard.max(now);
        if self.reading.is_none_or(|old| clock >= old.clock) {
            self.reading = Some(Reading {
                clock,
                received: now,
            });
        }
        true
    }

    /// Tells whether the regular message of orders is due.
    pub(super) fn is_due(&self, now: Time, every: u64) -> bool {
        self.asked.is_none_or(|asked| elapsed(now, asked) >= every)
    }

    /// Works out a grant that ends with its lifetime, or with `deadline` if that comes first.
    ///
    /// The reading was taken before `received`, so the server's clock is at least the reading by
    /// then. That bounds the end of the grant on our clock from above.
    pub(super) fn grant(&self, limits: &Limits, deadline: Option<Time>) -> Option<GrantBounds> {
        let reading = self.reading?;
        let left = deadline.map_or(u64::MAX, |at| elapsed(at, reading.received));
        let span = limits
            .grant_ttl
            .min(limits.min_local_ms(left.min(u64::MAX / 4_000_000)));
        (span > 0).then(|| GrantBounds {
            until: reading.clock + std::time::Duration::from_millis(span),
            possible_end: add_ms(reading.received, limits.max_local_ms(span)),
        })
    }

    /// Returns how long ago the server last answered, in milliseconds.
    pub(super) fn silent(&self, now: Time) -> u64 {
        millis(now.since(self.heard))
    }
}
