//! Whether a request that no server may be used for now waits at the front or is refused.
//!
//! It is designed for bursts of some seconds: a less urgent request has a longer objective, and the
//! servers have room for it once the urgent requests of the burst have been answered.

use std::time::Duration;

use crate::direct::admission::Choice;
use crate::direct::priority::reserve::Reserve;
use crate::time::Time;

/// The number of service times before its objective by which a request has to be sent. The server
/// that it is sent to may have a queue of its own.
const SEND_BY_SERVICE_TIMES: f64 = 1.5;

/// Returns the latest time at which a request may be sent in order to meet its objective. `idle_ms`
/// is the response time of an idle server.
#[must_use]
pub fn send_by(objective: Time, idle_ms: f64) -> Time {
    let before_ms = (SEND_BY_SERVICE_TIMES * idle_ms).max(0.0);
    objective - Duration::from_secs_f64(before_ms / 1_000.0)
}

/// Returns whether a request of a shared service for which `choice` was made may wait for a server.
/// `next_usable` is the time until a server that may not be used now can be used again, if one is
/// expected to, and `time_left` the time until the request has to be sent.
///
/// A less urgent request waits for room. The most urgent ones wait only if no server may be used
/// at this moment: when the servers are full of requests that are as urgent, waiting would delay
/// the requests behind them.
#[must_use]
pub fn may_wait(
    choice: &Choice,
    reserve: &Reserve,
    next_usable: Option<Duration>,
    time_left: Duration,
) -> bool {
    if time_left.is_zero() {
        return false;
    }
    match choice {
        Choice::Send(_) => false,
        Choice::Full(_) | Choice::Reserved(_) => !reserve.is_empty(),
        Choice::NoServer => next_usable.is_some_and(|after| after <= time_left),
    }
}
