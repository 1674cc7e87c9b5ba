//! Counters and histograms of a gateway, in the Prometheus text format.

use std::time::Duration;

use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::Error;

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0,
];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Time from receipt of a request to its reply, in seconds.
    pub request_seconds: Histogram,
    /// Duration of one send to a server, in seconds.
    pub try_seconds: Histogram,
    /// Sends to servers by outcome.
    pub tries: IntCounterVec,
    /// Decisions on retries, by decision.
    pub retries: IntCounterVec,
    /// Connections opened to servers.
    pub connections: IntCounter,
    /// Calls to the store by outcome.
    pub store_calls: IntCounterVec,
    /// Store entries that could not be decoded.
    pub bad_entries: IntCounter,
    /// Entries of servers that were not their latest word.
    pub stale_entries: IntCounter,
    /// The changes of the limits that servers name.
    pub limit_changes: IntCounter,
    /// How often a server became cold, as this front learned from its entry or a response.
    pub cold_periods: IntCounter,
    /// The crashes of servers while they had a request of this front.
    pub request_crashes: IntCounter,
    /// The requests of routes without homes that were sent elsewhere, because a server in a home
    /// region of another route had no spare capacity.
    pub left_home_room: IntCounter,
    /// The share of requests that leaves the region of this front, by service and receiving region.
    pub egress_share: GaugeVec,
    /// The requests that were first sent to a server in another region.
    pub sent_away: IntCounter,
    /// The destinations of routes with homes that have no server there.
    pub without_home_server: IntGauge,
    /// The services whose keys this front, as the granter, places only on servers in homes.
    pub keys_restricted: IntGauge,
    /// The times that this front has counted as cut off from the servers.
    pub cut_offs: IntCounter,
    /// The connections that were opened to find out whether this front is cut off, by outcome.
    pub reach_probes: IntCounterVec,
    /// Messages of fronts without a valid proof: `request` or `join`.
    pub unproven: IntCounterVec,
    /// Orders to servers by outcome.
    pub orders: IntCounterVec,
    /// Request log lines dropped by the rate limit.
    pub dropped_log_lines: IntCounter,
    /// The data centres that are being evacuated.
    pub evacuated_data_centres: IntGauge,
    /// The keys whose owner is in an evacuated data centre.
    pub evacuated_keys: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// The bytes that are held for callers and servers, by purpose.
    pub held_bytes: IntGaugeVec,
    /// The open connections of callers.
    pub caller_connections: IntGauge,
    /// The callers' connections that were ended because the caller read too slowly, by reason.
    pub callers_cut_off: IntCounterVec,
    /// The idle connections of callers that were closed to make room for others.
    pub idle_closed: IntCounter,
    /// Requests that wait for a server of a service that routes of different priority share, by
    /// priority.
    pub waiting: IntGaugeVec,
    /// Requests for such a service that were refused for lack of capacity, by priority.
    pub refused: IntCounterVec,
    /// 1 while this front is the granter, otherwise 0.
    pub granter: IntGauge,
    /// The time since the granter has last decided, in seconds; 0 at the other fronts.
    pub decision_age: Gauge,
    /// The age of what this front knows of the store, in seconds, by kind of object.
    pub knowledge_age: GaugeVec,
    /// 1 while this front itself reads changes of a kind of object from the store, otherwise 0.
    pub knowledge_from_store: GaugeVec,
}

fn counters(registry: &Registry, name: &str, help: &str) -> Result<IntCounterVec, Error> {
    let counters =
        IntCounterVec::new(Opts::new(name, help), &["outcome"]).map_err(Error::metrics)?;
    registry
        .register(Box::new(counters.clone()))
        .map_err(Error::metrics)?;
    Ok(counters)
}

fn counters_by_priority(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntCounterVec, Error> {
    let counters =
        IntCounterVec::new(Opts::new(name, help), &["priority"]).map_err(Error::metrics)?;
    registry
        .register(Box::new(counters.clone()))
        .map_err(Error::metrics)?;
    Ok(counters)
}

fn int_gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntGaugeVec, Error> {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).map_err(Error::metrics)?;
    registry
        .register(Box::new(gauges.clone()))
        .map_err(Error::metrics)?;
    Ok(gauges)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help).map_err(Error::metrics)?;
    registry
        .register(Box::new(counter.clone()))
        .map_err(Error::metrics)?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help).map_err(Error::metrics)?;
    registry
        .register(Box::new(gauge.clone()))
        .map_err(Error::metrics)?;
    Ok(gauge)
}

fn seconds(registry: &Registry, name: &str, help: &str) -> Result<Gauge, Error> {
    let gauge = Gauge::new(name, help).map_err(Error::metrics)?;
    registry
        .register(Box::new(gauge.clone()))
        .map_err(Error::metrics)?;
    Ok(gauge)
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec, Error> {
    let gauges = GaugeVec::new(Opts::new(name, help), labels).map_err(Error::metrics)?;
    registry
        .register(Box::new(gauges.clone()))
        .map_err(Error::metrics)?;
    Ok(gauges)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, Error> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts).map_err(Error::metrics)?;
    registry
        .register(Box::new(histogram.clone()))
        .map_err(Error::metrics)?;
    Ok(histogram)
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, Error> {
        let registry =
            Registry::new_custom(Some("carawayrill".to_owned()), None).map_err(Error::metrics)?;
        let r = &registry;
        Ok(Self {
            requests: counters(r, "requests_total", "Requests by how they ended")?,
            request_seconds: histogram(r, "request_seconds", "Time from receipt to answer")?,
            try_seconds: histogram(r, "try_seconds", "Time of one send to a server")?,
            tries: counters(r, "tries_total", "Sends to servers by how they ended")?,
            retries: counters(r, "retries_total", "Decisions on retries")?,
            connections: counter(r, "connections_total", "Connections opened to servers")?,
            store_calls: counters(r, "store_calls_total", "Store calls by how they ended")?,
            limit_changes: counter(r, "limit_changes_total", "Changes of the limits of servers")?,
            cold_periods: counter(r, "cold_periods_total", "Servers that became cold")?,
            request_crashes: counter(r, "request_crashes_total", "Crashes under a request")?,
            cut_offs: counter(r, "cut_offs_total", "Times cut off from the servers")?,
            reach_probes: counters(
                r,
                "reach_probes_total",
                "Probes of servers by how they ended",
            )?,
            unproven: counters(r, "unproven_total", "Messages without a valid proof")?,
            bad_entries: counter(r, "bad_entries_total", "Unreadable entries of the store")?,
            stale_entries: counter(
                r,
                "stale_entries_total",
                "Entries that servers have replaced",
            )?,
            left_home_room: counter(
                r,
                "left_home_room_total",
                "Requests that left room in homes",
            )?,
            egress_share: gauges(
                r,
                "egress_share",
                "Share of requests that leaves the region",
                &["service", "region"],
            )?,
            sent_away: counter(r, "sent_away_total", "Requests sent to other regions")?,
            without_home_server: gauge(r, "without_home_server", "Destinations without a server")?,
            keys_restricted: gauge(r, "keys_restricted", "Services whose keys stay in homes")?,
            orders: counters(r, "orders_total", "Orders to servers by how they ended")?,
            dropped_log_lines: counter(r, "log_lines_left_out_total", "Request lines left out")?,
            evacuated_data_centres: gauge(
                r,
                "evacuated_data_centres",
                "Data centres being evacuated",
            )?,
            evacuated_keys: gauge(r, "evacuated_keys", "Keys owned in evacuated data centres")?,
            in_flight: gauge(r, "in_flight", "Requests in flight")?,
            held_bytes: int_gauges(r, "held_bytes", "Bytes that are held", "purpose")?,
            caller_connections: gauge(r, "caller_connections", "Open connections of callers")?,
            callers_cut_off: counters(r, "callers_cut_off_total", "Callers that read slowly")?,
            idle_closed: counter(r, "idle_closed_total", "Idle connections closed for others")?,
            waiting: int_gauges(
                r,
                "waiting_requests",
                "Requests that wait for room",
                "priority",
            )?,
            refused: counters_by_priority(r, "refused_total", "Requests refused for lack of room")?,
            granter: gauge(r, "granter", "1 while this front is the granter")?,
            decision_age: seconds(
                r,
                "granter_decision_age_seconds",
                "Time since the granter has last decided",
            )?,
            knowledge_age: gauges(
                r,
                "knowledge_age_seconds",
                "Age of what is known",
                &["kind"],
            )?,
            knowledge_from_store: gauges(
                r,
                "knowledge_from_store",
                "1 while changes are read from the store",
                &["kind"],
            )?,
            registry,
        })
    }

    /// Records the outcome and duration of a request.
    pub fn record_request(&self, reason: &str, took: Duration) {
        self.requests.with_label_values(&[reason]).inc();
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Records the outcome and duration of a send.
    pub fn record_try(&self, outcome: &str, took: Duration) {
        self.tries.with_label_values(&[outcome]).inc();
        self.try_seconds.observe(took.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("could not encode the metrics: {err}");
        }
        buf
    }
}
