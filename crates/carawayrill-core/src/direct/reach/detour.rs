//! Whether requests for servers that a front does not reach are passed on to other fronts.
//!
//! A front may reach some servers and not others, or not know yet that it is cut off. Another front may
//! reach the server of such a request. If the server has crashed none does, and passing its requests on
//! would only cost a further front time. A circuit breaker for each service tells these apart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceId;
use crate::time::Time;

/// The number of requests in a row that other fronts could not serve either, from which on the
/// breaker is open.
const MAX_FAILURES: u32 = 3;
/// The time until a further request is passed on while the breaker is open.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The circuit breaker of one service.
#[derive(Debug, Default)]
struct Breaker {
    failures: u32,
    /// While it is open, when the next request is passed on.
    next_at: Time,
}

/// The circuit breakers of all services.
#[derive(Debug, Default)]
pub struct Detours {
    breakers: BTreeMap<ServiceId, Breaker>,
}

impl Detours {
    /// Returns whether a request for servers of `service` is passed on now.
    pub fn try_acquire(&mut self, service: &ServiceId, now: Time) -> bool {
        let Some(breaker) = self.breakers.get_mut(service) else {
            return true;
        };
        if breaker.failures < MAX_FAILURES {
            return true;
        }
        let is_due = now >= breaker.next_at;
        if is_due {
            breaker.next_at = now + RETRY_INTERVAL;
        }
        is_due
    }

    /// Records whether another front has reached a server of `service`.
    pub fn record(&mut self, service: &ServiceId, is_reached: bool, now: Time) {
        if is_reached {
            self.breakers.remove(service);
            return;
        }
        let breaker = self.breakers.entry(service.clone()).or_default();
        breaker.failures = breaker.failures.saturating_add(1);
        breaker.next_at = now + RETRY_INTERVAL;
    }
}
