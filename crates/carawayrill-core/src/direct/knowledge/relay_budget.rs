//! How many bytes of complete lists a granter relays.
//!
//! A complete list is relayed to a front that lacks changes which the granter can't relay one by one,
//! and that the store turns away. Many fronts may need it at the same moment, and a list of thousands
//! of objects to each of hundreds of fronts would keep the granter's link busy for minutes.

use crate::time::Time;
use crate::time::millis;

/// The bytes that are relayed in a second.
const BYTES_PER_SECOND: u64 = 512 << 10;
/// The most bytes of one list, and of all that are relayed at once. One message of the fronts' protocol
/// has at most 4 MiB.
const MAX_BYTES: u64 = 3 << 20;

/// The bytes of complete lists that may be relayed.
#[derive(Debug, Clone, Copy)]
pub struct RelayBudget {
    left: u64,
    at: Time,
}

impl RelayBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            left: MAX_BYTES,
            at: now,
        }
    }

    /// Takes `bytes`, and returns whether the budget had as many.
    pub fn try_take(&mut self, bytes: u64, now: Time) -> bool {
        let gained = BYTES_PER_SECOND.saturating_mul(millis(now.since(self.at))) / 1_000;
        if gained > 0 {
            self.left = self.left.saturating_add(gained).min(MAX_BYTES);
            self.at = now;
        }
        let left = self.left.checked_sub(bytes);
        self.left = left.unwrap_or(self.left);
        left.is_some()
    }
}
