//! Restarts all routers one after the other under load and counts failed requests.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::BackgroundLoad;
use crate::bench::loaded::LoadReport;
use crate::bench::shape::Shape;
use crate::bench::state;
use crate::fleet::Error;
use crate::load::caller::FinishedRequest;
use crate::load::caller::ReportedOutcome;
use crate::load::settings::MAX_TIME;

/// Time limit for one router to stop, and for it to be ready again.
const RESTART_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two restarts, as an operator's tool leaves it.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of attempts of each request. The load balancer sends each attempt to the next
/// router.
const ATTEMPTS: u32 = 3;

/// Result of a rolling restart.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RollingReport {
    /// Names of the routers that were stopped gracefully and started again.
    pub restarted: Vec<String>,
    /// Number of requests with an attempt that was sent and got no complete response.
    pub cut_off: usize,
    /// Number of requests that were not done after their last attempt.
    pub not_done: usize,
    /// Up to five requests that were cut off or not done, with their attempts, for diagnosis.
    pub examples: Vec<String>,
    /// Result of the load.
    pub load: LoadReport,
}

impl RollingReport {
    /// Returns whether every request was done, none was cut off, and the check found nothing.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.cut_off == 0 && self.not_done == 0 && self.load.findings.is_clean()
    }
}

/// Restarts all routers, one after the other, under a load of `rate` requests per second.
///
/// # Errors
///
/// Fails if a router does not stop or become ready in time, or if the load fails.
pub async fn run(bench: &mut Bench, shape: &Shape, rate: f64) -> Result<RollingReport, Error> {
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    let background_load = BackgroundLoad::start(settings);
    let mut restarted = Vec::new();
    for router in bench.fleet.routers() {
        background_load.run_for(RESTART_INTERVAL).await;
        bench.fleet.process(&router.name)?.terminate()?;
        bench.wait_process(&router.name, RESTART_TIMEOUT).await?;
        bench
            .fleet
            .start_router(&router.name, &router.data_centre)?;
        state::wait_ready(router.http, RESTART_TIMEOUT).await?;
        restarted.push(router.name);
    }
    background_load.run_for(RESTART_INTERVAL).await;
    let (load, driven) = background_load.stop(bench).await?;
    let mut failed: Vec<&FinishedRequest> = driven
        .finished
        .iter()
        .filter(|request| is_cut_off(request) || request.outcome() != ReportedOutcome::Done)
        .collect();
    failed.sort_by_key(|request| !is_cut_off(request));
    Ok(RollingReport {
        restarted,
        cut_off: failed.iter().filter(|request| is_cut_off(request)).count(),
        not_done: failed
            .iter()
            .filter(|request| request.outcome() != ReportedOutcome::Done)
            .count(),
        examples: failed
            .iter()
            .take(5)
            .map(|request| {
                format!(
                    "{} at {:?}: {:?}",
                    request.planned.path, request.planned.due, request.attempts
                )
            })
            .collect(),
        load,
    })
}

/// Returns whether an attempt of a request was sent and got no complete response. A refused
/// connection does not count, as the load balancer then tries the next router.
fn is_cut_off(request: &FinishedRequest) -> bool {
    request.attempts.iter().any(|attempt| {
        attempt.outcome == ReportedOutcome::Unknown
            || (attempt.outcome == ReportedOutcome::NoAnswer && attempt.reason != "connect")
    })
}

impl fmt::Display for RollingReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "restarted  {}", self.restarted.join(", "))?;
        writeln!(f, "cut off    {}", self.cut_off)?;
        writeln!(f, "not done   {}", self.not_done)?;
        for example in &self.examples {
            writeln!(f, "example    {example}")?;
        }
        write!(f, "{}", self.load)
    }
}
