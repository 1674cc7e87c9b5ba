//! Whether this front hears from the granter.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::time::Time;

/// How long a follower waits for an update of the granter before it reads the lease.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(900);
/// The addition to `CONTACT_TIMEOUT` per front: the granter sends updates to one front after the
/// other.
const CONTACT_TIMEOUT_PER_FRONT: Duration = Duration::from_millis(5);

/// Returns the time without an update after which the granter of `fronts` fronts counts as
/// unreachable.
pub(crate) fn timeout(fronts: u32) -> Duration {
    CONTACT_TIMEOUT + CONTACT_TIMEOUT_PER_FRONT.saturating_mul(fronts)
}

#[derive(Debug, Clone, Copy, Default)]
struct Stream {
    /// When the last update of the granter arrived.
    last_update: Option<Time>,
    is_open: bool,
}

/// This front's stream to the granter.
#[derive(Debug, Default)]
pub(crate) struct GranterContact(Mutex<Stream>);

impl GranterContact {
    fn stream(&self) -> MutexGuard<'_, Stream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an update of the granter that arrived at `now`.
    pub(crate) fn record(&self, now: Time) {
        *self.stream() = Stream {
            last_update: Some(now),
            is_open: true,
        };
    }

    /// Records that the stream has ended.
    pub(crate) fn clear(&self) {
        self.stream().is_open = false;
    }

    /// Returns the time since the last update.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        let last_update = self.stream().last_update;
        last_update.map(|at| now.since(at))
    }

    /// Returns whether the stream is open and an update has arrived within `timeout`.
    pub(crate) fn is_recent(&self, timeout: Duration, now: Time) -> bool {
        let is_open = self.stream().is_open;
        is_open && self.age(now).is_some_and(|age| age < timeout)
    }
}
