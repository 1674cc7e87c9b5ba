//! Checks that non-idempotent requests run at most once when clients retry through other routers
//! while routers and servers are killed and frozen.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::BackgroundLoad;
use crate::bench::loaded::LoadReport;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::settings::MAX_TIME;

/// Maximum number of attempts of each request.
const ATTEMPTS: u32 = 8;
/// Deadline of each attempt. It is short, so that clients retry while the first attempt may still
/// run.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time between two steps of the experiment.
const STEP_INTERVAL: Duration = Duration::from_secs(3);

/// Result of the experiment on duplicate executions.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DuplicatesReport {
    /// Faults that were injected and reverted, in order.
    pub steps: Vec<String>,
    /// Result of the load.
    pub load: LoadReport,
}

/// Runs the steps of the experiment under a load of `rate` requests per second.
///
/// The steps are: kill a router and restart it, freeze and resume a server, freeze and resume a
/// router, kill a server.
///
/// # Errors
///
/// Fails if a process can't be started or signalled, if there are fewer than two routers, or if the
/// load fails.
pub async fn run(bench: &mut Bench, shape: &Shape, rate: f64) -> Result<DuplicatesReport, Error> {
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    settings.deadline = DEADLINE;
    settings.idempotency_key_share = 1.0;
    let background_load = BackgroundLoad::start(settings);
    background_load.run_for(STEP_INTERVAL).await;
    let mut steps = Vec::new();
    let routers = bench.fleet.routers();
    let [first, second, ..] = routers.as_slice() else {
        return Err("the experiment needs at least two routers".into());
    };
    bench.fleet.process(&first.name)?.kill()?;
    steps.push(format!("killed {}", first.name));
    background_load.run_for(STEP_INTERVAL).await;
    bench.fleet.start_router(&first.name, &first.data_centre)?;
    steps.push(format!("restarted {}", first.name));
    background_load.run_for(STEP_INTERVAL).await;
    let servers = server_processes(bench);
    freeze(bench, &servers[0], &background_load, &mut steps).await?;
    freeze(bench, &second.name, &background_load, &mut steps).await?;
    background_load.run_for(STEP_INTERVAL).await;
    let last = servers.last().unwrap_or(&servers[0]);
    bench.fleet.process(last)?.kill()?;
    steps.push(format!("killed {last}"));
    background_load.run_for(STEP_INTERVAL).await;
    let (load, _driven) = background_load.stop(bench).await?;
    Ok(DuplicatesReport { steps, load })
}

/// Freezes a process for one step and resumes it.
async fn freeze(
    bench: &mut Bench,
    name: &str,
    background_load: &BackgroundLoad,
    steps: &mut Vec<String>,
) -> Result<(), Error> {
    bench.fleet.process(name)?.freeze()?;
    steps.push(format!("froze {name}"));
    background_load.run_for(STEP_INTERVAL).await;
    bench.fleet.process(name)?.resume()?;
    steps.push(format!("resumed {name}"));
    Ok(())
}

/// Returns the names of the server processes.
pub(crate) fn server_processes(bench: &Bench) -> Vec<String> {
    let mut names = bench.fleet.running();
    names.retain(|name| name.starts_with("servers-"));
    names
}

impl fmt::Display for DuplicatesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "steps      {}", self.steps.join(", "))?;
        write!(f, "{}", self.load)
    }
}
