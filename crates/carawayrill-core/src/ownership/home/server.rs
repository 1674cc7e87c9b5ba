//! A router's state of one server.

use crate::id::Incarnation;
use crate::id::RouterId;
use crate::ownership::limits::Limits;
use crate::ownership::limits::add_ms;
use crate::ownership::limits::elapsed;
use crate::time::ServerTime;
use crate::time::Time;
use crate::time::millis;

/// A reading of a server's clock. The server took it before `received` on the local clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClockReading {
    clock: ServerTime,
    received: Time,
}

/// The state of one server.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags come from independent sources and can be set in any combination"
)]
#[derive(Debug)]
pub(super) struct ServerRow {
    /// The latest incarnation that has replied.
    pub(super) incarnation: Option<Incarnation>,
    /// Time when that incarnation first replied.
    pub(super) incarnation_seen_at: Time,
    pub(super) clock_reading: Option<ClockReading>,
    /// Time of the last reply, or of the first probe if there was none.
    pub(super) last_reply: Time,
    /// Time when the last periodic message of orders was sent.
    pub(super) last_orders_sent: Option<Time>,
    /// Whether the server is suspected or confirmed to have failed.
    pub(super) lost: bool,
    /// Whether the process is confirmed to have ended.
    pub(super) gone: bool,
    /// Whether the server has asked for no new work.
    pub(super) draining: bool,
    /// Whether a planned removal is in progress.
    pub(super) leaving: bool,
    /// The router that counts the server's used slots, if it was reported.
    pub(super) home: Option<RouterId>,
}

/// The end of a grant on the server's clock and on the local clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantBounds {
    /// End on the server's clock.
    pub(super) until: ServerTime,
    /// Latest time on the local clock at which the grant may still be valid.
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

    /// Records the incarnation and clock of a reply. Returns false for a reply from an earlier
    /// incarnation, which says nothing about the current one.
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

    /// Returns whether the periodic message of orders is due.
    pub(super) fn is_due(&self, now: Time, every: u64) -> bool {
        self.last_orders_sent
            .is_none_or(|last_orders_sent| elapsed(now, last_orders_sent) >= every)
    }

    /// Computes the end of a grant from its lifetime or `deadline`, whichever comes first.
    ///
    /// The server read its clock before `received`, so at `received` its clock shows at least the
    /// reading. This gives an upper bound for the end of the grant on the local clock.
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

    /// Returns the time since the server's last reply, in milliseconds.
    pub(super) fn silence_ms(&self, now: Time) -> u64 {
        millis(now.since(self.last_reply))
    }
}
