//! A rolling restart of all routers under load.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::LoadReport;
use crate::bench::loaded::Loading;
use crate::bench::shape::Shape;
use crate::bench::state;
use crate::fleet::Error;
use crate::load::caller::FinishedRequest;
use crate::load::caller::ReportedOutcome;
use crate::load::settings::MAX_TIME;

/// How long one router may take to stop, or to be ready again.
const LIMIT: Duration = Duration::from_secs(30);
/// The pause between two restarts, as an operator's tool would leave.
const PAUSE: Duration = Duration::from_millis(500);
/// Attempts of each request: the balancer's next router, and the one after that.
const ATTEMPTS: u32 = 3;

/// What a rolling restart did.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RollingReport {
    /// Routers that were stopped by plan and started again.
    pub restarted: Vec<String>,
    /// Requests that were cut off: sent, and then without a whole answer.
    pub cut_off: usize,
    /// Requests that were not done in the end.
    pub not_done: usize,
    /// A few of them, for people.
    pub examples: Vec<String>,
    /// The load.
    pub load: LoadReport,
}

impl RollingReport {
    /// Tells whether nothing was lost.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.cut_off == 0 && self.not_done == 0 && self.load.findings.is_clean()
    }
}

/// Restarts all routers, one after the other, under a load of `rate` requests a second.
///
/// # Errors
///
/// Fails if a router does not stop or is not ready in time.
pub async fn run(bench: &mut Bench, shape: &Shape, rate: f64) -> Result<RollingReport, Error> {
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    let loading = Loading::start(settings);
    let mut restarted = Vec::new();
    for router in bench.fleet.routers() {
        loading.go_on(PAUSE).await;
        bench.fleet.process(&router.name)?.terminate()?;
        bench.wait_process(&router.name, LIMIT).await?;
        bench
            .fleet
            .start_router(&router.name, &router.data_centre)?;
        state::wait_ready(router.http, LIMIT).await?;
        restarted.push(router.name);
    }
    loading.go_on(PAUSE).await;
    let (load, driven) = loading.stop(bench).await?;
    let mut failed: Vec<&FinishedRequest> = driven
        .finished
        .iter()
        .filter(|one| is_cut_off(one) || one.outcome() != ReportedOutcome::Done)
        .collect();
    failed.sort_by_key(|one| !is_cut_off(one));
    Ok(RollingReport {
        restarted,
        cut_off: failed.iter().filter(|one| is_cut_off(one)).count(),
        not_done: failed
            .iter()
            .filter(|one| one.outcome() != ReportedOutcome::Done)
            .count(),
        examples: failed
            .iter()
            .take(5)
            .map(|one| {
                format!(
                    "{} at {:?}: {:?}",
                    one.planned.path, one.planned.due, one.attempts
                )
            })
            .collect(),
        load,
    })
}

/// Tells whether a request was sent and then lost by one of its attempts. A refused connection is
/// none: the balancer takes the next router.
fn is_cut_off(one: &FinishedRequest) -> bool {
    one.attempts.iter().any(|attempt| {
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
