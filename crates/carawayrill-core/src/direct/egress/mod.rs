//! How many requests of an unkeyed service leave the region of the front that accepted them.
//!
//! It is designed for a region with too few servers of its own, in steady state, in bursts and after
//! the loss of its servers, at 30 to 300 fronts that see few requests each. The granter sums what
//! the fronts report and derives one share for each service, region and receiving region. Each front
//! applies the share to its own requests, so that not all of them leave together.

pub mod allocation;
pub mod choice;
pub mod demand;
pub mod facts;
pub mod table;

use std::time::Duration;

use crate::direct::admission;
use crate::direct::admission::Distance;
use crate::direct::admission::RequestProfile;

/// The bandwidth between two regions if the settings name none, in Mbit/s.
const DEFAULT_LINK_MBPS: f64 = 4_000.0;
/// The part of a link that requests that leave their region may use. The rest is for other traffic.
const LINK_SHARE: f64 = 0.5;
/// The lowest utilisation of the servers of a region at which requests leave it. Below it, waiting
/// for a slot is rare.
const MIN_UTILISATION: f64 = 0.7;
/// The utilisation of the servers of a region above which requests leave it at any price: queues grow
/// without bound near 1.
const MAX_UTILISATION: f64 = 0.92;

/// The settings of cross-region egress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EgressConfig {
    /// The price of each KiB to or from another region, as milliseconds of response time.
    pub cost_per_kib_ms: f64,
    /// The bandwidth between two regions, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for EgressConfig {
    fn default() -> Self {
        Self {
            cost_per_kib_ms: admission::OTHER_REGION_COST_PER_KIB_MS,
            link_mbps: DEFAULT_LINK_MBPS,
        }
    }
}

impl EgressConfig {
    /// Returns the KiB a second that may be sent between two regions.
    #[must_use]
    pub fn link_kib_per_second(&self) -> f64 {
        self.link_mbps * LINK_SHARE * 1_000_000.0 / 8.0 / 1_024.0
    }
}

/// The servers of one service in one region that may receive requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionCapacity {
    /// The requests that they can run, per second.
    pub per_second: f64,
    /// Their slots.
    pub slots: f64,
    /// The number of servers.
    pub servers: f64,
    /// Whether the region is a home of a route to the service, which has to leave room there.
    pub is_home: bool,
}

impl RegionCapacity {
    /// Returns the mean service time, in milliseconds.
    fn service_ms(&self) -> f64 {
        if self.per_second > 0.0 {
            self.slots * 1_000.0 / self.per_second
        } else {
            0.0
        }
    }

    /// Returns the utilisation above which it pays off that requests of `size_kib` leave the region.
    ///
    /// They wait at home for as long as leaving would cost, but only as far as callers have time.
    /// The wait for a slot of a server with `m` slots is about `S * u / (m * (1 - u))` at the
    /// utilisation `u` and the service time `S`.
    fn utilisation_to_leave(
        &self,
        cfg: &EgressConfig,
        objective: Duration,
        timeout: Duration,
        size_kib: f64,
    ) -> f64 {
        let service_ms = self.service_ms();
        if service_ms <= 0.0 {
            return 0.0;
        }
        let profile = RequestProfile {
            objective_left: objective,
            deadline_left: timeout,
            size_kib,
        };
        let time_left = admission::limit_ms(&profile, service_ms) - service_ms;
        let price = cfg.cost_per_kib_ms * size_kib + Distance::OtherRegion.round_trip_ms();
        let wait = price.min(time_left).max(0.0) * self.slots / self.servers.max(1.0);
        (wait / (wait + service_ms)).clamp(MIN_UTILISATION, MAX_UTILISATION)
    }
}
