//! One front's estimate of a server's load, speed and failure rate.
//!
//! It is designed for servers of different speed that many fronts use at the same time without
//! knowledge of each other's requests. All estimates come from responses; there are no probes.

use std::time::Duration;

use crate::direct::fronts::DEFAULT_FRONT_COUNT;
use crate::direct::pace::LastPace;
use crate::direct::pace::Pace;
use crate::time::Time;
use crate::time::millis;

/// The service time that is assumed before any was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 100.0;
/// The weight of a new measurement in the average service time.
const SERVICE_GAIN: f64 = 0.15;
/// The half-life of the excess of a measured service time over the assumed one, in milliseconds
/// without a new measurement. Without this decay, a server that was slow once and is the only owner
/// of a key would never be tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 2_000.0;
/// The weight of a new response in the failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// The half-life of the failure rate without new responses, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// The half-life of the weight of a load report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 250.0;
/// The half-life of the average load from other fronts without a new report, in milliseconds for
/// each front. Without this decay, a server that was full once would never be tried again. It is
/// proportional to the number of fronts because otherwise all of them would try it at once.
const MEAN_HALF_LIFE_PER_FRONT_MS: f64 = 75.0;
/// The weight of a new report in the average load from other fronts.
const OTHER_LOAD_GAIN: f64 = 0.2;
/// The factor by which a server is slower during its warm-up.
const COLD_FACTOR: f64 = 1.7;
/// The cost of a failure rate of 1, as additional response time in milliseconds.
const FAILURE_COST_MS: f64 = 600.0;
/// The longest backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The longest pause that a server can ask for.
const MAX_PAUSE: Duration = Duration::from_mins(5);
/// The backoff after the first failed connection or shed request.
const MIN_BACKOFF: Duration = Duration::from_millis(60);

/// A server's own report of its load, which comes with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that the server can run concurrently; 0 if it is not reported.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment; `None` if it is not reported.
    pub pace: Option<Pace>,
}

/// The result of one attempt to send a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server sent a successful response.
    Served,
    /// The server sent an error response, or the response was lost or malformed.
    Failed,
    /// The server refused the request without running it, because it is overloaded.
    Shed,
    /// The server refused the request without running it, although it has free slots.
    Declined,
    /// No connection could be opened.
    Unreachable,
    /// The attempt ended in a way that says nothing about the server.
    Unknown,
}

/// The load of one server, as seen from one front.
#[derive(Debug, Clone)]
pub struct ServerLoad {
    slots: u32,
    /// The requests of this front that are at the server.
    in_flight: u32,
    /// The requests of other fronts that are at the server, by its last report.
    other_load: f64,
    /// The moving average of `other_load`.
    mean_other_load: f64,
    /// When the server last reported its load.
    reported_at: Option<Time>,
    /// The server's current speed.
    pace: LastPace,
    /// The moving average of the measured service times at the usual speed.
    service_ms: f64,
    /// When a service time was last measured.
    measured_at: Option<Time>,
    /// The service time that is assumed without a recent measurement.
    assumed_service_ms: f64,
    /// The failure rate at `failure_rate_at`; it decays from then on.
    last_failure_rate: f64,
    failure_rate_at: Time,
    consecutive_failures: u32,
    backoff_until: Time,
    /// Whether the last attempt to open a connection failed, and no response has arrived since.
    unreached: bool,
    /// The time until which the server wants no request from this front.
    paused_until: Time,
    /// The end of the warm-up.
    cold_until: Time,
    /// The half-life of `mean_other_load` without a report.
    mean_half_life_ms: f64,
}

impl ServerLoad {
    /// Creates the estimate for a server that was listed at `now` and is in warm-up for `cold_for`.
    #[must_use]
    pub fn new(slots: u32, cold_for: Duration, service_ms: Option<f64>, now: Time) -> Self {
        Self {
            slots: slots.max(1),
            in_flight: 0,
            other_load: 0.0,
            mean_other_load: 0.0,
            reported_at: None,
            pace: LastPace::default(),
            service_ms: 0.0,
            measured_at: None,
            assumed_service_ms: service_ms.unwrap_or(DEFAULT_SERVICE_MS),
            last_failure_rate: 0.0,
            failure_rate_at: now,
            consecutive_failures: 0,
            backoff_until: Time::default(),
            unreached: false,
            paused_until: Time::default(),
            cold_until: now + cold_for,
            mean_half_life_ms: f64::from(DEFAULT_FRONT_COUNT) * MEAN_HALF_LIFE_PER_FRONT_MS,
        }
    }

    /// Sets the service time that is assumed until one was measured, and to which a higher measured
    /// one decays. With too high an assumption, a server without measurements would never be
    /// chosen.
    pub fn set_assumed_service_ms(&mut self, service_ms: f64) {
        self.assumed_service_ms = service_ms;
    }

    /// Sets the number of fronts that send requests to the server.
    pub fn set_fronts(&mut self, fronts: u32) {
        self.mean_half_life_ms = f64::from(fronts.max(1)) * MEAN_HALF_LIFE_PER_FRONT_MS;
    }

    /// Records that the server is cold until `until`. An earlier end than the known one changes
    /// nothing, because entries and responses arrive late and out of order.
    pub fn extend_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Returns whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns the number of requests that the server can run concurrently.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of this front's requests that are at the server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the expected service time at the server's usual speed, or `None` before the first
    /// measurement.
    #[must_use]
    pub fn service_ms(&self, now: Time) -> Option<f64> {
        self.measured_at.map(|_| self.expected_service_ms(now))
    }

    fn expected_service_ms(&self, now: Time) -> f64 {
        let Some(measured_at) = self.measured_at else {
            return self.assumed_service_ms;
        };
        let excess = self.service_ms - self.assumed_service_ms;
        if excess <= 0.0 {
            return self.service_ms;
        }
        let age_ms = millis(now.since(measured_at)) as f64;
        self.assumed_service_ms + excess * (-age_ms / SLOWNESS_HALF_LIFE_MS).exp2()
    }

    /// Returns the end of the backoff after failures; no request is sent to the server before it.
    #[must_use]
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Returns whether the server was not reached when this front last sent it a request.
    #[must_use]
    pub fn is_unreached(&self) -> bool {
        self.unreached
    }

    /// Forgets that the server was not reached, because the failure was this front's own or it is
    /// reached again.
    pub fn forget_unreached(&mut self) {
        if self.unreached {
            self.unreached = false;
            self.consecutive_failures = 0;
            self.backoff_until = Time::default();
        }
    }

    /// Returns the time until which the server wants no request from this front.
    #[must_use]
    pub fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Returns whether a request may be sent to the server now.
    #[must_use]
    pub fn accepts(&self, now: Time) -> bool {
        self.backoff_until <= now && self.paused_until <= now
    }

    /// Records that the server wants no request from this front for `pause`.
    pub fn pause(&mut self, now: Time, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Returns the age of the server's last load report, if there was one.
    #[must_use]
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.reported_at.map(|reported_at| now.since(reported_at))
    }

    /// Returns the expected number of requests at the server, from all fronts.
    #[must_use]
    pub fn expected_total(&self, now: Time) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return f64::from(self.in_flight);
        };
        let age_ms = millis(now.since(reported_at)) as f64;
        let fresh = (-age_ms / REPORT_HALF_LIFE_MS).exp2();
        let mean = self.mean_other_load * (-age_ms / self.mean_half_life_ms).exp2();
        let other_load = self.other_load * fresh + mean * (1.0 - fresh);
        f64::from(self.in_flight) + other_load
    }

    /// Returns the expected number of requests per slot of the server, including a further one; at
    /// least 1. The response to that request takes about as many service times.
    #[must_use]
    pub fn service_rounds(&self, now: Time) -> f64 {
        let ahead = self.expected_total(now) + 1.0;
        (ahead / f64::from(self.slots)).max(1.0)
    }

    /// Returns the expected response time of a further request, in milliseconds, without the
    /// network round trip.
    #[must_use]
    pub fn response_ms(&self, now: Time) -> f64 {
        let service_rounds = self.service_rounds(now);
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        let usual_ms = self.expected_service_ms(now) * cold * service_rounds;
        usual_ms * self.pace.factor_ahead(now, usual_ms)
    }

    /// Returns the cost of the server's failure rate, as additional response time in milliseconds.
    #[must_use]
    pub fn failure_cost_ms(&self, now: Time) -> f64 {
        self.failure_rate(now) * FAILURE_COST_MS
    }

    /// Returns the fraction of recent requests that failed.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age_ms = millis(now.since(self.failure_rate_at)) as f64;
        self.last_failure_rate * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Records the speed that the server reported with a response. To be called before
    /// [`Self::end_request`], which measures the service time at that speed.
    pub fn record_pace(&mut self, now: Time, pace: Pace) {
        self.pace.record(pace, now);
    }

    /// Records that a request is about to be sent.
    pub fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records the result of a request. `total_at_send` is the number of requests that were
    /// expected at the server when it was sent.
    pub fn end_request(
        &mut self,
        now: Time,
        result: AttemptResult,
        took: Duration,
        total_at_send: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Unreachable => self.unreached = true,
            AttemptResult::Served | AttemptResult::Declined => self.forget_unreached(),
            AttemptResult::Shed => self.unreached = false,
            // The connection may have been an old one, or the attempt may have ended early.
            AttemptResult::Failed | AttemptResult::Unknown => {}
        }
        match result {
            AttemptResult::Served => {
                self.update_service_time(now, took, total_at_send);
                self.update_failure_rate(now, 0.0);
                self.consecutive_failures = 0;
            }
            AttemptResult::Failed | AttemptResult::Declined => {
                self.update_failure_rate(now, 1.0);
            }
            AttemptResult::Shed | AttemptResult::Unreachable => {
                self.update_failure_rate(now, 1.0);
                self.start_backoff(now);
            }
            AttemptResult::Unknown => {}
        }
    }

    /// Applies the load of a report that came with a response, other than its speed.
    pub fn apply_report(&mut self, now: Time, report: LoadReport) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        let total = f64::from(report.running + report.waiting);
        self.other_load = (total - f64::from(self.in_flight)).max(0.0);
        self.mean_other_load += (self.other_load - self.mean_other_load) * OTHER_LOAD_GAIN;
        self.reported_at = Some(now);
    }

    fn update_service_time(&mut self, now: Time, took: Duration, total_at_send: f64) {
        let service_rounds = ((total_at_send + 1.0) / f64::from(self.slots)).max(1.0);
        let service = millis(took) as f64 / service_rounds / self.pace.factor_behind(now, took);
        let gain = if self.measured_at.is_some() {
            SERVICE_GAIN
        } else {
            1.0
        };
        self.service_ms += (service - self.service_ms) * gain;
        self.measured_at = Some(now);
    }

    fn update_failure_rate(&mut self, now: Time, failed: f64) {
        let rate = self.failure_rate(now);
        self.last_failure_rate = rate + (failed - rate) * FAILURE_GAIN;
        self.failure_rate_at = now;
    }

    fn start_backoff(&mut self, now: Time) {
        let doublings = self.consecutive_failures.min(5);
        let backoff = (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.backoff_until = now + backoff;
    }
}

/// Returns the arithmetic mean of `values`, or `None` if there are none.
#[must_use]
pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
