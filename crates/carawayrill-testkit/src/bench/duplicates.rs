//! Requests that must not run twice, from callers that repeat through other routers, while
//! routers and servers are killed and frozen.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::LoadReport;
use crate::bench::loaded::Loading;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::settings::MAX_TIME;

/// Attempts of each request.
const ATTEMPTS: u32 = 8;
/// The time limit of each attempt: short, so that callers repeat while the first attempt may
/// still run.
const DEADLINE: Duration = Duration::from_millis(500);
/// How long one loss lasts before the next.
const STEP: Duration = Duration::from_secs(3);

/// What was done and found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DuplicatesReport {
    /// What was done, in order.
    pub steps: Vec<String>,
    /// The load.
    pub load: LoadReport,
}

/// Kills a router and starts it again, freezes a server and lets it go on, freezes a router and
/// lets it go on, kills a server; all under a load of `rate` requests a second.
///
/// # Errors
///
/// Fails if a process can't be steered.
pub async fn run(bench: &mut Bench, shape: &Shape, rate: f64) -> Result<DuplicatesReport, Error> {
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    settings.deadline = DEADLINE;
    settings.idempotency_key_share = 1.0;
    let loading = Loading::start(settings);
    loading.go_on(STEP).await;
    let mut steps = Vec::new();
    let routers = bench.fleet.routers();
    let [first, second, ..] = routers.as_slice() else {
        return Err("at least two routers are needed".into());
    };
    bench.fleet.process(&first.name)?.kill()?;
    steps.push(format!("killed {}", first.name));
    loading.go_on(STEP).await;
    bench.fleet.start_router(&first.name, &first.data_centre)?;
    steps.push(format!("started {} again", first.name));
    loading.go_on(STEP).await;
    let servers = server_processes(bench);
    freeze(bench, &servers[0], &loading, &mut steps).await?;
    freeze(bench, &second.name, &loading, &mut steps).await?;
    loading.go_on(STEP).await;
    let last = servers.last().unwrap_or(&servers[0]);
    bench.fleet.process(last)?.kill()?;
    steps.push(format!("killed {last}"));
    loading.go_on(STEP).await;
    let (load, _driven) = loading.stop(bench).await?;
    Ok(DuplicatesReport { steps, load })
}

/// Freezes a process for a while.
async fn freeze(
    bench: &mut Bench,
    name: &str,
    loading: &Loading,
    steps: &mut Vec<String>,
) -> Result<(), Error> {
    bench.fleet.process(name)?.freeze()?;
    steps.push(format!("froze {name}"));
    loading.go_on(STEP).await;
    bench.fleet.process(name)?.resume()?;
    steps.push(format!("let {name} go on"));
    Ok(())
}

/// Returns the names of the processes of servers.
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
