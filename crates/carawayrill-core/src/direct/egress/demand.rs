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
    /// The counts that were reported since the averages were last aged.
    pending: ServiceLoad,
    size_kib: Option<f64>,
}

impl RegionDemand {
    /// Adds the report of one front.
    pub fn add(&mut self, load: &ServiceLoad) {
        let pending = &mut self.pending;
        pending.offered = pending.offered.saturating_add(load.offered);
        pending.with_homes = pending.with_homes.saturating_add(load.with_homes);
        pending.sent_away = pending.sent_away.saturating_add(load.sent_away);
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

    /// Adds the counts that were reported in `elapsed`, the time since the last call, to the averages.
    pub fn advance(&mut self, elapsed: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let factor = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let pending = std::mem::take(&mut self.pending);
        let average = |mean: f64, count: u32| {
            let rate = f64::from(count) / elapsed.as_secs_f64();
            mean * factor + rate * (1.0 - factor)
        };
        let movable = pending.offered.saturating_sub(pending.with_homes);
        self.offered = average(self.offered, pending.offered);
        self.movable = average(self.movable, movable);
        self.sent_away = average(self.sent_away, pending.sent_away);
        let peak_factor = (-elapsed.as_secs_f64() / PEAK_TIME_CONSTANT.as_secs_f64()).exp();
        self.peak = (self.peak * peak_factor).max(self.offered);
    }

    /// Returns the mean bytes of a request and its response, in KiB.
    #[must_use]
    pub fn size_kib(&self) -> f64 {
        self.size_kib.unwrap_or(DEFAULT_SIZE_KIB)
    }
}
