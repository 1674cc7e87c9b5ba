//! Time limits and per-service policies of ownership, and switches for its safety mechanisms.

use std::time::Duration;

use crate::data;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::small_data;
use crate::time::Time;
use crate::time::millis;

/// Parts per million, the unit of clock drift.
const PPM: u64 = 1_000_000;

data! {
    /// Time limits of the control path, in milliseconds.
    #[derive(Copy)]
    pub struct Limits {
        /// Lifetime of a grant on the server's clock.
        pub grant_ttl: u64,
        /// Interval at which grants are renewed and servers are probed.
        pub renew_every: u64,
        /// Interval at which a router checks the versions of its blocks.
        pub check_every: u64,
        /// Silence after which a server is suspected to have failed.
        pub server_silence: u64,
        /// Silence after which a router is suspected to have failed.
        pub router_silence: u64,
        /// Time after which an unanswered store call or order is retried.
        pub retry_after: u64,
        /// Upper bound on the relative drift of two clocks, in parts per million.
        pub drift_ppm: u64,
    }

    /// The settings of one service that decide about ownership.
    #[derive(Copy)]
    pub struct Policy {
        /// Time for which a successful read of the store gives authority, in milliseconds. It is
        /// short under `on_store_outage: stop` and long under `hold`.
        pub validity: u64,
        /// Whether the service's servers check fencing tokens.
        pub fencing: bool,
        /// Number of hash ranges into which the service's keys are divided.
        #[serde(default)]
        pub ranges: u32,
    }
}

small_data! {
    /// The safety mechanisms of ownership. Production code enables all of them. Tests disable one
    /// at a time to show that the random failure test detects its absence.
    pub struct Mechanisms {
        /// Servers check the token and the end of the grant when a request starts to run.
        pub fence: bool,
        /// A home checks its authority again directly before each send.
        pub check_before_send: bool,
        /// The next server becomes the owner only after the former owner's grants have ended.
        pub wait_for_grant_end: bool,
        /// The end of a grant is a time on the server's clock, computed from an earlier clock
        /// reading. Without this mechanism, the grant's lifetime starts when the server receives
        /// it.
        pub server_clock: bool,
        /// A grant ends no later than the authority under which it was given.
        pub bound_by_authority: bool,
        /// A restarted server gets a grant only after a store read and evidence that are both newer
        /// than its start.
        pub server_incarnation: bool,
        /// A restarted router is not a home or standby home under assignments to its earlier
        /// incarnation.
        pub home_incarnation: bool,
        /// The outcome of an unanswered store write is determined by reading the block back.
        pub read_back: bool,
        /// A standby home takes over only after both servers have acknowledged two rounds of
        /// fences.
        pub both_servers: bool,
        /// An intent ends the authority of the home and the standby home that read it.
        pub intent_blocks: bool,
        /// A takeover without evidence waits until the old home's authority must have expired.
        pub wait_for_authority: bool,
        /// A controller asks the standby home to promise that it does not take over.
        pub promise: bool,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            grant_ttl: 1_500,
            renew_every: 300,
            check_every: 500,
            server_silence: 1_000,
            router_silence: 1_000,
            retry_after: 200,
            drift_ppm: 500,
        }
    }
}

impl Limits {
    /// Returns the longest time on the local clock during which another clock advances by `span`,
    /// in milliseconds.
    #[must_use]
    pub const fn max_local_ms(&self, span: u64) -> u64 {
        span + span * self.drift_ppm / PPM + 1
    }

    /// Returns the shortest time on the local clock during which another clock advances by `span`,
    /// in milliseconds.
    #[must_use]
    pub const fn min_local_ms(&self, span: u64) -> u64 {
        let lost = span * self.drift_ppm / PPM + 1;
        span.saturating_sub(lost)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            validity: 2_000,
            fencing: true,
            ranges: 0,
        }
    }
}

impl Policy {
    /// Returns the range that the shard of a hot key was split out of, or `None` for a range.
    #[must_use]
    pub fn range_of(&self, shard: &ShardId) -> Option<ShardId> {
        match shard.part {
            ShardPart::Range(_) => None,
            ShardPart::Hot(key) => {
                let index = key.range_of(self.ranges);
                Some(ShardId::range(shard.service.clone(), index))
            }
        }
    }

    /// Returns the time until which a read that started at `read_started` gives authority.
    #[must_use]
    pub fn deadline(&self, read_started: Time) -> Time {
        read_started + Duration::from_millis(self.validity)
    }
}

impl Mechanisms {
    /// All mechanisms enabled.
    pub const ALL: Self = Self {
        fence: true,
        check_before_send: true,
        wait_for_grant_end: true,
        server_clock: true,
        bound_by_authority: true,
        server_incarnation: true,
        home_incarnation: true,
        read_back: true,
        both_servers: true,
        intent_blocks: true,
        wait_for_authority: true,
        promise: true,
    };
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self::ALL
    }
}

/// Returns the time `span` milliseconds after `at`.
#[must_use]
pub fn add_ms(at: Time, span: u64) -> Time {
    at + Duration::from_millis(span)
}

/// Returns the milliseconds from `earlier` to `later`, or 0 if `later` is not after `earlier`.
#[must_use]
pub fn elapsed(later: Time, earlier: Time) -> u64 {
    millis(later.since(earlier))
}
