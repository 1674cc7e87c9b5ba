//! Servers that refuse a request although they have room for it.
//!
//! It is designed for servers that turn away a share of their requests by chance, up to more than
//! half of them, while they could take them. Such a refusal says nothing about the next request, so
//! the server stays in use and the request may be sent to it again at once. A server that is full
//! refuses for another reason and is given time to process its queue. The two are told apart by the
//! load that comes with the refusal, and by the queues that servers of the service have borne.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::direct::admission::Candidate;
use crate::direct::load::LoadReport;
use crate::id::ServerId;
use crate::id::ServiceId;

/// The maximum number of times that one request is sent again after servers have declined it. With
/// it, a request passes a server that declines half of its requests 31 times in 32.
const MAX_REPEATS: usize = 4;
/// The shortest retry-after time of a request that servers have declined, in milliseconds. The next
/// attempt may succeed at any time, so only the spread of the callers matters.
const MIN_RETRY_AFTER_MS: f64 = 20.0;
/// The longest retry-after time of such a request, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 100.0;

/// The longest queues that servers of each service have reported with a successful response.
#[derive(Debug, Clone, Default)]
pub struct BorneQueues {
    services: HashMap<ServiceId, u32>,
}

impl BorneQueues {
    /// Records the load that a server of a service reported with a successful response.
    pub fn record(&mut self, service: &ServiceId, report: LoadReport) {
        match self.services.get_mut(service) {
            Some(longest) => *longest = report.waiting.max(*longest),
            None => {
                self.services.insert(service.clone(), report.waiting);
            }
        }
    }

    /// Returns whether a server of a service that refused a request with this report of its load had
    /// room for it: a free slot, or less than half of a queue that others have borne.
    #[must_use]
    pub fn had_room(&self, service: &ServiceId, report: Option<LoadReport>) -> bool {
        let longest = self.services.get(service).copied().unwrap_or(0);
        report.is_some_and(|report| {
            let has_free_slot = report.waiting == 0 && report.running < report.slots;
            has_free_slot || report.waiting.saturating_mul(2) < longest
        })
    }

    /// Forgets the services for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| keep(service));
    }
}

/// Returns the retry-after time of a request that is not sent again after servers have declined it.
pub fn retry_after(rng: &mut impl Rng) -> Duration {
    let wait_ms = rng.random_range(MIN_RETRY_AFTER_MS..=MAX_RETRY_AFTER_MS);
    Duration::from_secs_f64(wait_ms / 1_000.0)
}

/// The servers that have declined one request, in the order of the attempts.
#[derive(Debug, Clone, Default)]
pub struct Declines {
    servers: Vec<ServerId>,
}

impl Declines {
    /// Records that a server has declined the request.
    pub fn record(&mut self, server: ServerId) {
        self.servers.push(server);
    }

    /// Returns how often the request was declined.
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the request may be sent again after the last decline.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.count() <= MAX_REPEATS
    }

    /// Returns whether the server has declined the request.
    #[must_use]
    pub fn contains(&self, server: &ServerId) -> bool {
        self.servers.contains(server)
    }

    /// Removes the candidates to which the request is not sent next. A server that has not declined
    /// it comes first, unless the request has been sent to as many servers as it may be.
    pub fn restrict(&self, candidates: &mut Vec<Candidate>, may_use_others: bool) {
        if self.servers.is_empty() {
            return;
        }
        let has_declined = |candidate: &Candidate| self.contains(&candidate.server);
        let is_fresh = |candidate: &Candidate| candidate.usable && !has_declined(candidate);
        if may_use_others && candidates.iter().any(is_fresh) {
            candidates.retain(|candidate| !has_declined(candidate));
        } else {
            candidates.retain(has_declined);
        }
    }
}
