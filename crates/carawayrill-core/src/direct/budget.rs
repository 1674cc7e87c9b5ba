//! One front's share of the retry budget that all fronts have in common.
//!
//! Over a sliding window, all fronts together may send a service as many retries as a fixed ratio
//! of its requests plus a constant. The fronts do not share counters: each applies the ratio to its
//! own requests and takes an equal share of the constant, if it may take one (see
//! [`FrontCount::sharing`](super::fronts::FrontCount::sharing)).

use std::time::Duration;

use crate::time::Time;
use crate::time::millis;

/// The number of buckets of the sliding window.
const BUCKETS: usize = 20;
/// The fraction of the allowance that is used. The windows of the fronts are not aligned in time,
/// and the rest keeps their sum within the allowance.
const SAFETY_FACTOR: f64 = 0.8;

/// The limits of the retry budget of a service, for all fronts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The number of retries allowed for each request.
    pub ratio: f64,
    /// The number of retries allowed in addition, independent of the number of requests.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The state of a front's retry budget of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// The requests in the window.
    pub requests: u32,
    /// The retries in the window.
    pub retries: u32,
    /// The number of retries that are allowed in the window.
    pub allowed: f64,
}

impl Usage {
    /// Returns whether one more retry is allowed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        f64::from(self.retries) + 1.0 <= self.allowed
    }
}

/// Counts the requests and retries of one service at one front over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    allowance: Allowance,
    buckets: [Bucket; BUCKETS],
}

impl RetryWindow {
    /// Creates an empty window.
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

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Returns what this front has used of its share of the budget. It takes a share of the constant
    /// if it is one of `fronts`, and none without a number.
    #[must_use]
    pub fn usage(&self, now: Time, fronts: Option<u32>) -> Usage {
        let oldest = (self.index(now) + 1).saturating_sub(BUCKETS as u64);
        let recent = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let slack_share = fronts.map_or(0.0, |fronts| {
            self.allowance.slack / f64::from(fronts.max(1))
        });
        Usage {
            requests,
            retries,
            allowed: (f64::from(requests) * self.allowance.ratio + slack_share) * SAFETY_FACTOR,
        }
    }

    /// Records a retry and returns true if this front is within its share of the budget; otherwise
    /// returns false. `fronts` is as in [`Self::usage`].
    pub fn try_acquire(&mut self, now: Time, fronts: Option<u32>) -> bool {
        let has_room = self.usage(now, fronts).has_room();
        if has_room {
            self.bucket(now).retries += 1;
        }
        has_room
    }
}
