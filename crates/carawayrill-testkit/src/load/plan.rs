//! The schedule of a load run: all requests and their due times. It is a function of the settings,
//! which include the seed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::load::keys::KeySampler;
use crate::load::settings::Settings;
use crate::load::settings::Target;

/// One request of the schedule.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// The number of the request, from 0.
    pub index: u64,
    /// The due time, counted from the start.
    pub due: Duration,
    /// The service, and the header that carries the key.
    pub target: Target,
    /// The key that the request is for.
    pub key: CompactString,
    /// The path, which is unique to this request.
    pub path: CompactString,
    /// The body; empty if the request has no idempotency key.
    pub body: Bytes,
    /// The idempotency key, if the request must not run twice.
    pub idempotency_key: Option<CompactString>,
    /// The index of the address for the first attempt, modulo the number of addresses. Each retry
    /// goes to the next address.
    pub first_address: usize,
}

/// An iterator over all requests of a load run, in the order in which they are due.
#[derive(Debug)]
pub struct Plan {
    settings: Settings,
    keys: KeySampler,
    rng: ChaCha8Rng,
    next: u64,
}

impl Plan {
    /// Creates the schedule for `settings`.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            keys: KeySampler::new(settings.keys.clone()),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            next: 0,
        }
    }

    fn pick<T: Clone>(list: &[T], index: u64) -> T {
        let at = usize::try_from(index).unwrap_or_default() % list.len();
        list[at].clone()
    }
}

impl Iterator for Plan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let index = self.next;
        if index >= self.settings.requests() {
            return None;
        }
        self.next += 1;
        let due = Duration::from_secs_f64(index as f64 / self.settings.rate);
        let target: Target = Self::pick(&self.settings.services, index);
        let key = self.keys.sample(due, &mut self.rng);
        let has_key = target.idempotency_key
            || self.rng.random::<f64>() < self.settings.idempotency_key_share;
        let seed = self.settings.seed;
        Some(PlannedRequest {
            index,
            due,
            path: format_compact!("/{}/load/{seed}-{index}", target.service),
            body: if has_key {
                Bytes::from(format!("body of {seed}-{index}"))
            } else {
                Bytes::new()
            },
            idempotency_key: has_key.then(|| format_compact!("once-{seed}-{index}")),
            first_address: usize::try_from(index).unwrap_or_default(),
            target,
            key,
        })
    }
}

/// Returns the address for attempt number `attempt` of a request, from 0.
#[must_use]
pub fn address(settings: &Settings, planned: &PlannedRequest, attempt: usize) -> SocketAddr {
    settings.addresses[(planned.first_address + attempt) % settings.addresses.len()]
}
