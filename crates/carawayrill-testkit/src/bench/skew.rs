//! Measures how evenly servers are loaded and how many shards move under skewed demand with
//! changing hot keys.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use carawayrill_core::event::Event;
use carawayrill_core::event::EventKind;
use compact_str::CompactString;
use compact_str::format_compact;
use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::BackgroundLoad;
use crate::bench::loaded::LoadReport;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::caller::FinishedRequest;
use crate::load::keys::HotKeys;
use crate::load::keys::KeyPattern;
use crate::server::records::Run;

/// Number of keys of the skewed demand.
const KEYS: u32 = 5_000;
/// Exponent of the Zipf distribution of the keys.
const EXPONENT: f64 = 0.9;
/// Number of keys that are hot at the same time.
const HOT_KEYS: u32 = 4;
/// Fraction of the requests that go to hot keys.
const HOT_SHARE: f64 = 0.4;
/// Time after which other keys become hot.
const HOT_KEY_CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Length of a window in which executions are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(5);

/// Load of the servers in one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window, in seconds after the start of the load.
    pub from_s: u64,
    /// Number of executions on all servers.
    pub runs: u64,
    /// Executions on the busiest server divided by the mean over all servers.
    pub max_over_mean: f64,
}

/// Result of the experiment with skewed demand.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SkewReport {
    /// Load of the servers in each window.
    pub windows: Vec<Window>,
    /// Number of assignments made during the load, by reason.
    pub assigned: BTreeMap<CompactString, u64>,
    /// Result of the load.
    pub load: LoadReport,
}

/// Loads a bench with skewed demand for `time`. A few keys are hot and change every 10 s.
///
/// # Errors
///
/// Fails if the load can't be generated or the logs can't be read.
pub async fn run(
    bench: &Bench,
    shape: &Shape,
    rate: f64,
    time: Duration,
) -> Result<SkewReport, Error> {
    let before = count_assignments(bench)?;
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = time;
    settings.idempotency_key_share = 0.0;
    settings.keys = KeyPattern {
        count: KEYS,
        exponent: EXPONENT,
        names: Vec::new(),
        hot: Some(HotKeys {
            count: HOT_KEYS,
            share: HOT_SHARE,
            change_every: HOT_KEY_CHANGE_INTERVAL,
        }),
    };
    let (load, driven) = BackgroundLoad::start(settings).finish(bench).await?;
    let mut after = count_assignments(bench)?;
    for (reason, count) in before {
        *after.entry(reason).or_default() -= count;
    }
    after.retain(|_reason, count| *count > 0);
    let servers = bench.deployment.servers.len();
    Ok(SkewReport {
        windows: count_runs_by_window(&driven.finished, &bench.runs()?, servers),
        assigned: after,
        load,
    })
}

/// Counts the executions on each server by the window in which their requests were due.
fn count_runs_by_window(finished: &[FinishedRequest], runs: &[Run], servers: usize) -> Vec<Window> {
    let due: HashMap<&str, Duration> = finished
        .iter()
        .map(|request| (request.planned.path.as_str(), request.planned.due))
        .collect();
    let mut counts: BTreeMap<u64, HashMap<&str, u64>> = BTreeMap::new();
    for run in runs {
        if let Some(due) = due.get(run.path.as_str()) {
            let window = due.as_secs() / WINDOW_LENGTH.as_secs() * WINDOW_LENGTH.as_secs();
            let in_window = counts.entry(window).or_default();
            *in_window.entry(run.server.as_str()).or_default() += 1;
        }
    }
    let window = |(from_s, by_server): (u64, HashMap<&str, u64>)| {
        let runs: u64 = by_server.values().sum();
        let most = by_server.values().copied().max().unwrap_or_default();
        Window {
            from_s,
            runs,
            max_over_mean: most as f64 * servers as f64 / runs as f64,
        }
    };
    counts.into_iter().map(window).collect()
}

/// Counts the assignment events in the logs of all processes, by reason.
fn count_assignments(bench: &Bench) -> Result<BTreeMap<CompactString, u64>, Error> {
    let mut counts: BTreeMap<CompactString, u64> = BTreeMap::new();
    for log in bench.fleet.logs() {
        let text = std::fs::read_to_string(log)?;
        let events = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Event>(line).ok());
        for event in events {
            if let EventKind::Assigned { reason, .. } = event.kind {
                *counts.entry(format_compact!("{reason:?}")).or_default() += 1;
            }
        }
    }
    Ok(counts)
}

impl fmt::Display for SkewReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for window in &self.windows {
            writeln!(
                f,
                "{:>3} s      {} runs, max/mean {:.2}",
                window.from_s, window.runs, window.max_over_mean
            )?;
        }
        writeln!(f, "assigned   {:?}", self.assigned)?;
        write!(f, "{}", self.load)
    }
}
