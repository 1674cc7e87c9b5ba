//! Time limits and policies of ownership, and the mechanisms that a test may take out.

use std::time::Duration;

use crate::data;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::small_data;
use crate::time::Time;
use crate::time::millis;

/// Parts in a million, the unit of clock drift.
const PPM: u64 = 1_000_000;

data! {
    /// Time limits of the control path, in milliseconds.
    #[derive(Copy)]
    pub struct Limits {
        /// How long a grant lasts on the server's clock.
        pub grant_ttl: u64,
        /// How often grants are renewed and servers are probed.
        pub renew_every: u64,
        /// How often the version of a block is checked.
        pub check_every: u64,
        /// Silence after which a server is held to be lost.
        pub server_silence: u64,
        /// Silence after which a router is held to be lost.
        pub router_silence: u64,
        /// Time after which a store call or an order without an answer is tried again.
        pub retry_after: u64,
        /// Bound on the drift between two clocks, in parts per million.
        pub drift_ppm: u64,
    }

    /// What ownership needs to know of one service.
    #[derive(Copy)]
    pub struct Policy {
        /// How long a good read of the store gives authority, in milliseconds: the short validity
        /// under `on_store_outage: stop`, the longer limit under `hold`.
        pub validity: u64,
        /// Whether its servers check fencing tokens.
        pub fencing: bool,
        /// How many hash ranges its keys are divided into.
        #[serde(default)]
        pub ranges: u32,
    }
}

small_data! {
    /// The mechanisms of the rule. All are on, except in tests that show which check of the
    /// random failure test catches the absence of one.
    pub struct Mechanisms {
        /// Servers check tokens and the end of grants when a request starts to run.
        pub fence: bool,
        /// A home checks its authority again directly before each send.
        pub check_before_send: bool,
        /// The next server is activated only once the grants of the former one have ended.
        pub wait_for_grant_end: bool,
        /// A grant ends at a reading of the server's clock that the home has already got; without
        /// it the lifetime counts from receipt.
        pub server_clock: bool,
        /// A grant ends no later than the authority under which it was given.
        pub bound_by_authority: bool,
        /// A restarted server gets a grant only after a read and evidence from after its start.
        pub server_incarnation: bool,
        /// A restarted router is nobody's home.
        pub home_incarnation: bool,
        /// A store call without an answer is settled by reading back.
        pub read_back: bool,
        /// A standby home takes over only on two rounds of acknowledgements of both servers.
        pub both_servers: bool,
        /// An intent ends the authority of holders that read it.
        pub intent_blocks: bool,
        /// A taker without evidence waits until the old home must have stopped.
        pub wait_for_authority: bool,
        /// A controller asks for the standby home's promise.
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
    /// Returns the longest time that `span` on another clock can take on ours, in milliseconds.
    #[must_use]
    pub const fn max_local_ms(&self, span: u64) -> u64 {
        span + span * self.drift_ppm / PPM + 1
    }

    /// Returns the shortest time that `span` on another clock can take on ours, in milliseconds.
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
    /// Returns the range that a hot key's shard was split out of; nothing for a range itself.
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

    /// Returns the time until which a read that began at `read_started` gives authority.
    #[must_use]
    pub fn deadline(&self, read_started: Time) -> Time {
        read_started + Duration::from_millis(self.validity)
    }
}

impl Mechanisms {
    /// All mechanisms of the rule.
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

/// Returns `at` moved by `span` milliseconds.
#[must_use]
pub fn add_ms(at: Time, span: u64) -> Time {
    at + Duration::from_millis(span)
}

/// Returns the milliseconds from `earlier` to `later`, or 0.
#[must_use]
pub fn elapsed(later: Time, earlier: Time) -> u64 {
    millis(later.since(earlier))
}
