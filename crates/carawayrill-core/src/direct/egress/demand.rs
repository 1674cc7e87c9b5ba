//! The demand for a service in one region, as the fronts there report it.

use std::time::Duration;

use crate::direct::service_load::ServiceLoad;

/// The time constant of the estimates. A front reports every 250 ms.
const TIME_CONSTANT: Duration = Duration::from_millis(500);
/// The time constant with which the peak falls.
const PEAK_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// The assumed bytes of a request and its response before any is known, in KiB.
const DEFAULT_SIZE_KIB: f64 = 4.0;

/// The moving averages for one service and region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionDemand {
    /// The requests, per second.
    pub offered: f64,
    /// Those of routes without homes, which may leave the region, per second.
    pub movable: f64,
    /// The requests that left the region, per second.
    pub sent_away: f64,
    /// The highest demand of the last seconds, which falls slowly. What a region may receive is
    /// measured by it: otherwise the share would swing with demand that alternates there.
    pub peak: f64,
    size_kib: Option<f64>,
}

impl RegionDemand {
    /// Adds the report of one front.
    pub fn add(&mut self, load: &ServiceLoad) {
        let rate = |count: u32| f64::from(count) / TIME_CONSTANT.as_secs_f64();
        self.offered += rate(load.offered);
        self.movable += rate(load.offered.saturating_sub(load.with_homes));
        self.sent_away += rate(load.sent_away);
        // An older build does not count responses.
        let counted = if load.responses > 0 {
            load.responses
        } else {
            load.offered
        };
        if load.bytes > 0 && counted > 0 {
            let kib = load.bytes as f64 / 1_024.0 / f64::from(counted);
            let weight = f64::from(counted) / (f64::from(counted) + 20.0);
            let mean = self.size_kib.get_or_insert(kib);
            *mean += (kib - *mean) * weight;
        }
    }

    /// Ages the averages.
    pub fn advance(&mut self, elapsed: Duration) {
        let factor = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.offered *= factor;
        self.movable *= factor;
        self.sent_away *= factor;
        let peak_factor = (-elapsed.as_secs_f64() / PEAK_TIME_CONSTANT.as_secs_f64()).exp();
        self.peak = (self.peak * peak_factor).max(self.offered);
    }

    /// Returns the mean bytes of a request and its response, in KiB.
    #[must_use]
    pub fn size_kib(&self) -> f64 {
        self.size_kib.unwrap_or(DEFAULT_SIZE_KIB)
    }
}
