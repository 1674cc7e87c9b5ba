//! What a front believes of one server: how busy it is, how fast, and how often it fails.
//!
//! Load answered: servers of different speed that many fronts use at once without seeing each
//! other. Everything is learned from answers; there are no probes.

use std::time::Duration;

use crate::direct::fronts::DEFAULT_FRONT_COUNT;
use crate::time::Time;
use crate::time::millis;

/// The service time that is assumed of a server before any was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 100.0;
/// The weight of a new measurement in the mean service time.
const SERVICE_GAIN: f64 = 0.15;
/// The time after which what a measured service time lies above the assumed one counts half,
/// without a new measurement. A server that was found slow would otherwise never be tried again
/// where it alone owns a key.
const SLOWNESS_HALF_LIFE_MS: f64 = 2_000.0;
/// The weight of a new answer in the failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// The time after which a failure rate has halved without any answer, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// The time after which a load report counts half, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 250.0;
/// The time after which the mean load by others counts half without a report, in milliseconds a
/// front. Without it, a server that was found full would never be tried again; with many fronts,
/// all of them would try it at once.
const MEAN_HALF_LIFE_PER_FRONT_MS: f64 = 75.0;
/// The weight of a new report in the mean load by others.
const OTHER_LOAD_GAIN: f64 = 0.2;
/// How much slower a server is while it is cold.
const COLD_FACTOR: f64 = 1.7;
/// What each unit of failure rate adds to the expected answer time, in milliseconds.
const FAILURE_COST_MS: f64 = 600.0;
/// The longest pause after failures in a row.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The shortest pause after a failure to connect or a shed request.
const MIN_BACKOFF: Duration = Duration::from_millis(60);

/// A server's own report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with a success.
    Served,
    /// Answered with a failure, or the answer was lost or broken.
    Failed,
    /// The server said that it did not run the request for lack of room.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// It ended without telling anything of the server.
    Unknown,
}

/// The load of one server, as seen from one front.
#[derive(Debug, Clone)]
pub struct ServerLoad {
    slots: u32,
    in_flight: u32,
    other_load: f64,
    mean_other_load: f64,
    reported_at: Option<Time>,
    /// The mean of the measured service times.
    service_ms: f64,
    /// When the last one was measured.
    measured_at: Option<Time>,
    /// The service time that is assumed of a server that was not measured of late.
    assumed_service_ms: f64,
    last_failure_rate: f64,
    failure_rate_at: Time,
    consecutive_failures: u32,
    backoff_until: Time,
    cold_until: Time,
    mean_half_life_ms: f64,
}

impl ServerLoad {
    /// Makes the row of a server that was listed at `now`.
    #[must_use]
    pub fn new(slots: u32, cold_for: Duration, service_ms: Option<f64>, now: Time) -> Self {
        Self {
            slots: slots.max(1),
            in_flight: 0,
            other_load: 0.0,
            mean_other_load: 0.0,
            reported_at: None,
            service_ms: 0.0,
            measured_at: None,
            assumed_service_ms: service_ms.unwrap_or(DEFAULT_SERVICE_MS),
            last_failure_rate: 0.0,
            failure_rate_at: now,
            consecutive_failures: 0,
            backoff_until: Time::default(),
            cold_until: now + cold_for,
            mean_half_life_ms: f64::from(DEFAULT_FRONT_COUNT) * MEAN_HALF_LIFE_PER_FRONT_MS,
        }
    }

    /// Sets the service time that is assumed until one was measured, and to which a slow one
    /// returns. A server that is thought to be slower than the measured ones would never be asked.
    pub fn set_assumed_service_ms(&mut self, service_ms: f64) {
        self.assumed_service_ms = service_ms;
    }

    /// Sets the number of fronts that use the server.
    pub fn set_fronts(&mut self, fronts: u32) {
        self.mean_half_life_ms = f64::from(fronts.max(1)) * MEAN_HALF_LIFE_PER_FRONT_MS;
    }

    /// Returns the requests of this front that are at the server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean service time, once it was measured.
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

    /// Returns until when the server is left alone after failures.
    #[must_use]
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Returns the age of the server's last report, if it ever made one.
    #[must_use]
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.reported_at.map(|reported_at| now.since(reported_at))
    }

    /// Returns how many requests are expected to be at the server.
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

    /// Returns how often all slots have to be used before a further request is answered.
    #[must_use]
    pub fn service_rounds(&self, now: Time) -> f64 {
        let ahead = self.expected_total(now) + 1.0;
        (ahead / f64::from(self.slots)).max(1.0)
    }

    /// Returns the time within which a further request is expected to be answered, in
    /// milliseconds, without the way there.
    #[must_use]
    pub fn response_ms(&self, now: Time) -> f64 {
        let service_rounds = self.service_rounds(now);
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        self.expected_service_ms(now) * cold * service_rounds
    }

    /// Returns what the server's failures add to its cost, in milliseconds.
    #[must_use]
    pub fn failure_cost_ms(&self, now: Time) -> f64 {
        self.failure_rate(now) * FAILURE_COST_MS
    }

    /// Returns the share of requests that failed of late.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age_ms = millis(now.since(self.failure_rate_at)) as f64;
        self.last_failure_rate * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Notes that a request is about to be sent.
    pub fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Notes the end of a request that was sent when `total_at_send` requests were expected there.
    pub fn end_request(
        &mut self,
        now: Time,
        result: AttemptResult,
        took: Duration,
        total_at_send: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Served => {
                self.update_service_time(now, took, total_at_send);
                self.update_failure_rate(now, 0.0);
                self.consecutive_failures = 0;
            }
            AttemptResult::Failed => self.update_failure_rate(now, 1.0),
            AttemptResult::Shed | AttemptResult::Unreachable => {
                self.update_failure_rate(now, 1.0);
                self.start_backoff(now);
            }
            AttemptResult::Unknown => {}
        }
    }

    /// Takes in a server's own report, which came with an answer.
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
        let service = millis(took) as f64 / service_rounds;
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
        let span = (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.backoff_until = now + span;
    }
}

/// Returns the mean of values, if there are any.
#[must_use]
pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
