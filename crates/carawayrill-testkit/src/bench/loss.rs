//! Measures how long the affected keys are unavailable after processes are lost.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use carawayrill_core::time::millis;
use carawayrill_store::memory::CallCounts;
use compact_str::CompactString;
use serde::Serialize;

use crate::bench::Bench;
use crate::bench::probe;
use crate::bench::probe::KeyProbe;
use crate::bench::state;
use crate::fleet::Error;

/// Target for the time from a loss to the next response for an affected key.
pub const RECOVERY_TARGET: Duration = Duration::from_secs(5);
/// Period in which store calls are counted, once before the loss and once after it.
const COUNT_PERIOD: Duration = Duration::from_secs(5);
/// Time from the start of the store outage to the loss.
const OUTAGE_LEAD: Duration = Duration::from_millis(500);
/// Number of keys that are probed in each shard.
const KEYS_PER_SHARD: usize = 1;

/// Processes that an experiment kills.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// One server process, with all servers in it.
    Server,
    /// One router process.
    Router,
    /// All controllers, one after the other, so that the leader is among them.
    Controllers,
    /// All servers and routers of one data centre.
    DataCentre,
}

impl FromStr for Loss {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "server" => Ok(Self::Server),
            "router" => Ok(Self::Router),
            "controllers" => Ok(Self::Controllers),
            "data-centre" => Ok(Self::DataCentre),
            _ => Err("expected server, router, controllers or data-centre".into()),
        }
    }
}

/// Calls to the store per second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CallRates {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
    /// Watch calls per second.
    pub watches: f64,
}

/// Result of the experiment with a loss.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LossReport {
    /// Kind of loss.
    pub loss: Loss,
    /// Whether the store was down too, from before the loss.
    pub store_down: bool,
    /// Names of the processes that were killed.
    pub killed: Vec<String>,
    /// Number of affected keys that were probed, one for each shard.
    pub keys: usize,
    /// Time from the loss to the first response for the key that recovered first.
    pub first_ms: u64,
    /// Median of this time over all keys.
    pub median_ms: u64,
    /// Time from the loss to the first response for the key that recovered last.
    pub last_ms: u64,
    /// Rate of store calls before the loss.
    pub idle_calls: CallRates,
    /// Rate of store calls in the 5 s after the loss, with the calls that fail while the store is
    /// down.
    pub event_calls: CallRates,
}

/// A loss whose processes and affected keys are chosen.
#[derive(Debug)]
pub struct PlannedLoss {
    loss: Loss,
    killed: Vec<String>,
    keys: Vec<KeyProbe>,
}

/// Chooses the processes to kill and finds the affected keys.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn plan(bench: &Bench, loss: Loss) -> Result<PlannedLoss, Error> {
    let killed = processes_to_kill(bench, loss).await?;
    Ok(PlannedLoss {
        keys: affected_keys(bench, loss, &killed).await?,
        loss,
        killed,
    })
}

impl PlannedLoss {
    /// Kills the processes and returns the time of the loss. If `store_down`, takes the store down
    /// first.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be killed.
    pub async fn kill(&self, bench: &mut Bench, store_down: bool) -> Result<Instant, Error> {
        if store_down {
            state::set_fault(bench.fleet.store(), r#"{"fault":"down"}"#).await?;
            tokio::time::sleep(OUTAGE_LEAD).await;
        }
        for name in &self.killed {
            bench.fleet.process(name)?.kill()?;
        }
        Ok(Instant::now())
    }

    /// Waits until all affected keys are answered and returns the time of each since `since`,
    /// ascending.
    ///
    /// # Errors
    ///
    /// Fails if a key is not answered within `limit`.
    pub async fn wait_answered(
        &self,
        bench: &Bench,
        since: Instant,
        limit: Duration,
    ) -> Result<Vec<Duration>, Error> {
        let entries = bench.entries_without(&self.killed);
        probe::wait_all_answered_since(&entries, &self.keys, since, limit).await
    }
}

/// Kills a part of the deployment, waits until the affected keys are answered, and counts store
/// calls before and after the loss.
///
/// # Errors
///
/// Fails if a key is not answered again within `limit`.
pub async fn run(
    bench: &mut Bench,
    loss: Loss,
    store_down: bool,
    limit: Duration,
) -> Result<LossReport, Error> {
    let idle_calls = measure_call_rates(bench, COUNT_PERIOD).await?;
    let planned = plan(bench, loss).await?;
    let since = planned.kill(bench, store_down).await?;
    let (times, event_calls) = tokio::join!(
        planned.wait_answered(bench, since, limit),
        measure_call_rates(bench, COUNT_PERIOD)
    );
    let times = times?;
    let at = |index: usize| times.get(index).copied().map_or(0, millis);
    Ok(LossReport {
        loss: planned.loss,
        store_down,
        killed: planned.killed,
        keys: times.len(),
        first_ms: at(0),
        median_ms: at(times.len() / 2),
        last_ms: at(times.len().saturating_sub(1)),
        idle_calls,
        event_calls: event_calls?,
    })
}

/// Measures the rates of store calls over `span`.
async fn measure_call_rates(bench: &Bench, span: Duration) -> Result<CallRates, Error> {
    let before = state::call_counts(bench.fleet.store()).await?;
    let began = Instant::now();
    tokio::time::sleep(span).await;
    let after = state::call_counts(bench.fleet.store()).await?;
    Ok(call_rates(before, after, began.elapsed()))
}

fn call_rates(before: CallCounts, after: CallCounts, span: Duration) -> CallRates {
    let rate = |from: u64, to: u64| (to - from) as f64 / span.as_secs_f64();
    CallRates {
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
        watches: rate(before.watches, after.watches),
    }
}

/// Chooses the processes to kill: those that serve the first assignment.
async fn processes_to_kill(bench: &Bench, loss: Loss) -> Result<Vec<String>, Error> {
    let routes = bench.routes().await?;
    let row = routes.rows().next().ok_or("the store has no assignments")?;
    Ok(match loss {
        Loss::Server => vec![bench.process_of_server(row.owner.as_str())?],
        Loss::Router => vec![row.home.to_string()],
        Loss::Controllers => {
            let mut names = bench.fleet.running();
            names.retain(|name| name.starts_with("c-"));
            names
        }
        Loss::DataCentre => {
            let home = bench.router(row.home.as_str())?;
            bench.processes_in(home.data_centre.as_str())
        }
    })
}

/// Finds a key in each shard whose owner or home router is killed. A loss of the controllers
/// affects no single shard, so it takes a key of every shard.
async fn affected_keys(
    bench: &Bench,
    loss: Loss,
    killed: &[String],
) -> Result<Vec<KeyProbe>, Error> {
    let killed: BTreeSet<&String> = killed.iter().collect();
    let servers: BTreeSet<CompactString> = bench
        .deployment
        .servers
        .iter()
        .filter(|server| {
            bench
                .process_of_server(server.id.as_str())
                .is_ok_and(|process| killed.contains(&process))
        })
        .map(|server| server.id.as_str().into())
        .collect();
    let all = loss == Loss::Controllers;
    let is_affected = |row: &carawayrill_core::assignment::Assignment| {
        all || servers.contains(row.owner.as_str()) || killed.contains(&row.home.to_string())
    };
    bench.keys(is_affected, KEYS_PER_SHARD).await
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "loss of {:?}, store {}: {} keys answered again after {} ms (first), {} ms (median), {} ms (last)",
            self.loss,
            if self.store_down { "down" } else { "up" },
            self.keys,
            self.first_ms,
            self.median_ms,
            self.last_ms
        )?;
        writeln!(f, "  killed: {}", self.killed.join(", "))?;
        writeln!(f, "  store calls, idle:       {}", self.idle_calls)?;
        write!(f, "  store calls, from loss:  {}", self.event_calls)
    }
}

impl fmt::Display for CallRates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} reads/s, {:.1} writes/s, {:.1} watches/s",
            self.reads, self.writes, self.watches
        )
    }
}
