//! The part of the shared retry budget that one front may use.
//!
//! All fronts together may send a service a share of its requests once more, plus a constant. They
//! do not count together: each keeps to the share of its own requests and its part of the constant.

use std::time::Duration;

use crate::time::Time;
use crate::time::millis;

/// The number of parts into which the window is divided.
const BUCKETS: usize = 20;
/// The share of the allowance that is used, so that fronts that count at different times stay
/// within it together.
const SAFETY_FACTOR: f64 = 0.8;

/// Limits of the budget, over all fronts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts the requests and repeats of one service at one front.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    allowance: Allowance,
    buckets: [Bucket; BUCKETS],
}

impl RetryWindow {
    /// Makes an empty window.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    fn index(&self, now: Time) -> u64 {
        let bucket_ms = (millis(self.allowance.window) / BUCKETS as u64).max(1);
        now.0 / bucket_ms
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let index = self.index(now);
        let slot = usize::try_from(index % BUCKETS as u64).unwrap_or(0);
        let bucket = &mut self.buckets[slot];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if one of `fronts` fronts may still send it.
    pub fn try_acquire(&mut self, now: Time, fronts: u32) -> bool {
        let oldest = (self.index(now) + 1).saturating_sub(BUCKETS as u64);
        let recent = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let slack_share = self.allowance.slack / f64::from(fronts.max(1));
        let allowed = (f64::from(requests) * self.allowance.ratio + slack_share) * SAFETY_FACTOR;
        let allowed_now = f64::from(retries) + 1.0 <= allowed;
        if allowed_now {
            self.bucket(now).retries += 1;
        }
        allowed_now
    }
}
