//! Measures the latency that the routers add to a direct call.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use carawayrill_core::assignment::Assignment;
use compact_str::CompactString;
use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::shape::Shape;
use crate::bench::state;
use crate::fleet::Error;
use crate::fleet::free_address;
use crate::fleet::process::Process;
use crate::load;
use crate::load::Settings;
use crate::load::keys::KeyPattern;
use crate::load::summary;
use crate::load::summary::Latency;

/// Time at the start whose latencies are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Number of rounds; each measures the three paths one after the other.
const ROUNDS: usize = 3;
/// Time limit for the start of the server for direct calls.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Latencies of the three paths in one round.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Round {
    /// Calls to a server without a router.
    pub direct: Latency,
    /// Calls through the home router of the key.
    pub entry_alone: Latency,
    /// Calls through a router that forwards them to the home router.
    pub entry_and_home: Latency,
}

/// Result of the latency experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Offered load, in requests per second.
    pub rate: f64,
    /// Latencies of each round.
    pub rounds: Vec<Round>,
}

/// Measures the three paths one after the other at `rate` requests per second, each for `time`.
///
/// # Errors
///
/// Fails if a load can't be generated or a request of it is not done.
pub async fn run(
    bench: &Bench,
    shape: &Shape,
    dir: &Path,
    rate: f64,
    time: Duration,
) -> Result<LatencyReport, Error> {
    let (server, _process) = direct_server(dir).await?;
    let routes = bench.routes().await?;
    let first = routes.rows().next().ok_or("the store has no assignments")?;
    let home = first.home.clone();
    let same_home_and_owner = |row: &Assignment| row.home == home && row.owner == first.owner;
    let keys = bench.keys(same_home_and_owner, 1).await?;
    let keys: Vec<CompactString> = keys.into_iter().map(|one| one.key).collect();
    let entry = bench.router(home.as_str())?.http;
    let other_entries = bench.entries_without(&[home.to_string()]);
    let mut base = loaded::settings(bench, shape)?;
    base.rate = rate;
    base.time = time;
    base.warm_up = WARM_UP;
    base.idempotency_key_share = 0.0;
    base.keys = KeyPattern::named(keys);
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        rounds.push(Round {
            direct: measure(&base, &[server], true).await?,
            entry_alone: measure(&base, &[entry], false).await?,
            entry_and_home: measure(&base, &other_entries[..1], false).await?,
        });
    }
    Ok(LatencyReport { rate, rounds })
}

/// Starts a server for direct calls, which checks no fencing tokens.
async fn direct_server(dir: &Path) -> Result<(SocketAddr, Process), Error> {
    let address = free_address()?;
    let server_arg = format!("direct-1={address}");
    let args = ["--server", &server_arg, "--no-fencing"];
    let process = Process::start(dir, "direct", "standin-server", &args)?;
    state::wait_listening(address, START_TIMEOUT).await?;
    Ok((address, process))
}

async fn measure(
    base: &Settings,
    addresses: &[SocketAddr],
    direct: bool,
) -> Result<Latency, Error> {
    let mut settings = base.clone();
    settings.addresses = addresses.to_vec();
    settings.direct = direct;
    let driven = load::drive(&settings).await?;
    let summary = summary::summarise(&settings, &driven)?;
    if summary.others.count > 0 || summary.not_sent > 0 {
        return Err(format!("not all requests were done: {:?}", summary.statuses).into());
    }
    Ok(summary.done)
}

impl fmt::Display for LatencyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:.0} requests/s", self.rate)?;
        for round in &self.rounds {
            writeln!(f, "direct          {}", round.direct)?;
            writeln!(f, "entry alone     {}", round.entry_alone)?;
            writeln!(f, "entry and home  {}", round.entry_and_home)?;
        }
        Ok(())
    }
}
