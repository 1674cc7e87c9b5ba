//! The part of each server's queue that is reserved for more urgent requests.
//!
//! It is designed for servers with 2 to 4 slots whose load a front knows only from reports that may
//! be seconds old: one front of 70 sends a server about one request in five seconds.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::direct::admission::Candidate;
use crate::direct::admission::MAX_RETRY_AFTER_MS;
use crate::direct::admission::MAX_SERVICE_ROUNDS;
use crate::direct::admission::limit_ms;
use crate::direct::priority::classes::Class;

/// The number of standard deviations by which more requests may be at a server than expected. The
/// requests that other fronts send at the same time are independent, so that their number has about
/// the variance of its mean. With 1.3, 0.03 fewer of the urgent requests were in time in bursts.
const DEVIATIONS: f64 = 2.0;
/// The shortest retry-after time of a less urgent request, in service times for each more urgent
/// class.
const MIN_RETRY_SERVICE_TIMES: f64 = 1.0;
/// The longest retry-after time of a less urgent request, in service times for each more urgent
/// class.
const MAX_RETRY_SERVICE_TIMES: f64 = 3.0;

/// The rule for sending a request to a server whose service more urgent requests use too.
///
/// The request may be sent only if an urgent one that arrives at the server next would still meet
/// its own objective there.
#[derive(Debug, Clone, Default)]
pub struct Reserve {
    /// The classes that are more urgent than the request.
    more_urgent: Vec<Class>,
    /// The share of the queues that the request may use, if it is less than the whole.
    share: Option<f64>,
}

impl Reserve {
    /// Creates the rule for a request; `more_urgent` are the classes that are more urgent than it.
    /// Without any, nothing is reserved.
    #[must_use]
    pub fn new(more_urgent: &[Class]) -> Self {
        Self {
            more_urgent: more_urgent.to_vec(),
            share: None,
        }
    }

    /// Restricts the request to a share of the queues, from 0 to 1, but never to less than the
    /// slots of a server.
    #[must_use]
    pub fn with_share(self, share: f64) -> Self {
        Self {
            share: Some(share),
            ..self
        }
    }

    /// Returns whether nothing is reserved: no class is more urgent than the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.more_urgent.is_empty()
    }

    /// Returns whether the request may be sent to a server, as far as more urgent requests are
    /// concerned.
    #[must_use]
    pub fn allows(&self, candidate: &Candidate) -> bool {
        let mut limits = self
            .more_urgent
            .iter()
            .map(|class| max_requests(class, candidate, self.share.unwrap_or(1.0)));
        limits.all(|limit| requests_for_next(candidate) <= limit)
    }

    /// Returns the time after which a request that was refused by this rule may be retried:
    /// jittered, and later for a less urgent request.
    pub fn retry_after(&self, idle_ms: f64, rng: &mut impl Rng) -> Duration {
        let classes = self.more_urgent.len().max(1) as f64;
        let service_times = rng.random_range(MIN_RETRY_SERVICE_TIMES..=MAX_RETRY_SERVICE_TIMES);
        let wait_ms = classes * service_times * idle_ms.max(1.0);
        Duration::from_secs_f64(wait_ms.min(MAX_RETRY_AFTER_MS) / 1_000.0)
    }
}

/// Returns the number of requests at the server once this request and a more urgent one after it
/// have been sent, with a margin for requests that this front does not know of.
fn requests_for_next(candidate: &Candidate) -> f64 {
    let ahead = candidate.requests_ahead.max(0.0);
    ahead + 2.0 + DEVIATIONS * ahead.sqrt()
}

/// Returns the maximum number of requests at the server with which the last one, of a more urgent
/// class, meets its objective. It is never below the number of slots, plus one for a server with a
/// single slot: a request may always be sent to an idle server.
fn max_requests(class: &Class, candidate: &Candidate, share: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let service_ms = candidate.response_ms / candidate.service_rounds.max(1.0);
    let round_trip_ms = candidate.distance.round_trip_ms();
    let limit_ms = limit_ms(&class.new_request(), service_ms + round_trip_ms) - round_trip_ms;
    let service_rounds = if service_ms > 0.0 {
        (limit_ms / service_ms).min(MAX_SERVICE_ROUNDS)
    } else {
        MAX_SERVICE_ROUNDS
    };
    (service_rounds * slots * share).max(slots.max(2.0))
}
