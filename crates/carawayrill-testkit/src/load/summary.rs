//! Counts and latencies of a load run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Error;
use crate::load::caller::ReportedOutcome;
use crate::load::drive::LoadResult;
use crate::load::settings::Settings;

/// The highest latency that the histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// The number of significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency percentiles in microseconds, measured from the time at which a request was due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The number of requests.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
}

/// Counts and latencies of a load run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The number of requests that were sent.
    pub sent: usize,
    /// The number of requests that were not sent because too many were in flight.
    pub not_sent: u64,
    /// The number of requests per second in the schedule.
    pub rate: f64,
    /// The number of requests that were done, per second of the time during which requests were
    /// sent.
    pub done_rate: f64,
    /// The number of requests by reported outcome.
    pub outcomes: BTreeMap<CompactString, u64>,
    /// The number of requests by HTTP status and reason of the last attempt.
    pub statuses: BTreeMap<CompactString, u64>,
    /// The number of requests with more than one attempt.
    pub repeated: u64,
    /// The latencies of requests that were done.
    pub done: Latency,
    /// The latencies of all other requests.
    pub others: Latency,
}

/// Computes the summary of a load run.
///
/// # Errors
///
/// Returns an error if a histogram can't be created.
pub fn summarise(settings: &Settings, result: &LoadResult) -> Result<Summary, Error> {
    let mut done = histogram()?;
    let mut others = histogram()?;
    let mut outcomes: BTreeMap<CompactString, u64> = BTreeMap::new();
    let mut statuses: BTreeMap<CompactString, u64> = BTreeMap::new();
    let mut repeated = 0;
    for request in &result.finished {
        let outcome = request.outcome();
        *outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let reason = request
            .attempts
            .last()
            .map_or("", |last| last.reason.as_str());
        let status = format_compact!("{} {reason}", request.status());
        *statuses.entry(status.trim_end().into()).or_default() += 1;
        repeated += u64::from(request.attempts.len() > 1);
        if request.planned.due >= settings.warm_up {
            let took = request.latency;
            let histogram = if outcome == ReportedOutcome::Done {
                &mut done
            } else {
                &mut others
            };
            histogram.saturating_record(micros(took));
        }
    }
    let done_count = outcomes.get("done").copied().unwrap_or_default();
    Ok(Summary {
        sent: result.finished.len(),
        not_sent: result.not_sent,
        rate: settings.rate,
        done_rate: done_count as f64 / result.send_duration.as_secs_f64(),
        outcomes,
        statuses,
        repeated,
        done: latency(&done),
        others: latency(&others),
    })
}

fn histogram() -> Result<Histogram<u64>, Error> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .map_err(|err| Error::settings(err.to_string()))
}

/// Returns a duration in microseconds, rounded down.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    Latency {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}

fn outcome_name(outcome: ReportedOutcome) -> CompactString {
    match outcome {
        ReportedOutcome::Done => "done",
        ReportedOutcome::NotRun => "not-run",
        ReportedOutcome::Unknown => "unknown",
        ReportedOutcome::NoAnswer => "no-answer",
    }
    .into()
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: u64| us as f64 / 1_000.0;
        write!(
            f,
            "p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, max {:.2} ms ({} requests)",
            ms(self.p50_us),
            ms(self.p99_us),
            ms(self.p999_us),
            ms(self.max_us),
            self.count
        )
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "sent       {} ({} more not sent), {:.0}/s due, {:.0}/s done",
            self.sent, self.not_sent, self.rate, self.done_rate
        )?;
        writeln!(f, "done       {}", self.done)?;
        if self.others.count > 0 {
            writeln!(f, "others     {}", self.others)?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(f, "outcome    {outcome}: {count}")?;
        }
        for (status, count) in &self.statuses {
            writeln!(f, "status     {status}: {count}")?;
        }
        write!(f, "repeated   {}", self.repeated)
    }
}
