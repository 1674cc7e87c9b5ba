//! The time for which a server is cold, as one process knows it.

use super::ColdStatement;
use super::RequestRate;
use crate::direct::cold::MAX_COLD;
use crate::direct::cold::Origin;
use crate::time::Time;

/// The limit of a cold server, and when it ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdPeriod {
    rate: RequestRate,
    until: Time,
}

impl ColdPeriod {
    /// Creates the period that a statement describes at `now`.
    pub(super) fn new(statement: ColdStatement, now: Time) -> Self {
        Self {
            rate: statement.rate,
            until: now + statement.left.min(MAX_COLD),
        }
    }

    /// Returns the limit, unless the server is warm.
    pub(super) fn rate_at(self, now: Time) -> Option<RequestRate> {
        (now < self.until).then_some(self.rate)
    }

    /// Returns what other processes are told.
    pub(super) fn statement(self, now: Time) -> Option<ColdStatement> {
        self.rate_at(now).map(|rate| ColdStatement {
            rate,
            left: self.until.since(now),
        })
    }

    /// Combines what is known with a further statement. The later end counts, because entries and
    /// messages arrive late and out of order; the rate is that of the further statement.
    pub(super) fn merge(
        known: Option<Self>,
        further: Option<Self>,
        origin: Origin,
    ) -> Option<Self> {
        match (known, further) {
            (Some(known), Some(further)) => Some(Self {
                rate: further.rate,
                until: origin.later_end(known.until, further.until),
            }),
            (known, further) => further.or(known),
        }
    }
}
