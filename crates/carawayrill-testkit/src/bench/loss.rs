//! Losses: how long until the keys concerned are answered again.

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
use crate::bench::probe::Question;
use crate::bench::state;
use crate::fleet::Error;

/// The target from a loss to the key's next answer.
pub const TARGET: Duration = Duration::from_secs(5);
/// How long store calls are counted, before the loss and after it.
const COUNT_TIME: Duration = Duration::from_secs(5);
/// How long the store has been down when the loss comes.
const DOWN_BEFORE: Duration = Duration::from_millis(500);
/// Keys that are asked for in each shard.
const KEYS_PER_SHARD: usize = 1;

/// What is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// One server process.
    Server,
    /// One router process.
    Router,
    /// Both controllers, one after the other: the one that leads is among them.
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

/// Calls to the store each second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CallRates {
    /// Reads.
    pub reads: f64,
    /// Writes.
    pub writes: f64,
    /// Watches.
    pub watches: f64,
}

/// What a loss did.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LossReport {
    /// What was lost.
    pub loss: Loss,
    /// Whether the store was down as well, from before the loss.
    pub store_down: bool,
    /// The processes that were killed.
    pub killed: Vec<String>,
    /// How many keys were concerned, one a shard.
    pub keys: usize,
    /// From the loss to the next answer of the key that was first.
    pub first_ms: u64,
    /// The same of the middle key.
    pub median_ms: u64,
    /// The same of the last key.
    pub last_ms: u64,
    /// Store calls before the loss.
    pub idle_calls: CallRates,
    /// Store calls for 5 s from the loss; those that a store refuses while it is down count too.
    pub event_calls: CallRates,
}

/// A loss that is about to come.
#[derive(Debug)]
pub struct Planned {
    loss: Loss,
    killed: Vec<String>,
    keys: Vec<Question>,
}

/// Chooses what will be killed and finds the keys concerned.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn plan(bench: &Bench, loss: Loss) -> Result<Planned, Error> {
    let killed = victims(bench, loss).await?;
    Ok(Planned {
        keys: concerned(bench, loss, &killed).await?,
        loss,
        killed,
    })
}

impl Planned {
    /// Kills the processes, with the store down from before if `store_down`.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be killed.
    pub async fn kill(&self, bench: &mut Bench, store_down: bool) -> Result<Instant, Error> {
        if store_down {
            state::set_fault(bench.fleet.store(), r#"{"fault":"down"}"#).await?;
            tokio::time::sleep(DOWN_BEFORE).await;
        }
        for name in &self.killed {
            bench.fleet.process(name)?.kill()?;
        }
        Ok(Instant::now())
    }

    /// Waits until all keys concerned are answered, and returns how long after `since` each was.
    ///
    /// # Errors
    ///
    /// Fails if one is not answered within `limit`.
    pub async fn answered(
        &self,
        bench: &Bench,
        since: Instant,
        limit: Duration,
    ) -> Result<Vec<Duration>, Error> {
        let entries = bench.entries_without(&self.killed);
        probe::all_answered_since(&entries, &self.keys, since, limit).await
    }
}

/// Loses a part of the deployment, waits until the keys concerned are answered, and counts store
/// calls before and after.
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
    let idle_calls = rates(bench, COUNT_TIME).await?;
    let planned = plan(bench, loss).await?;
    let since = planned.kill(bench, store_down).await?;
    let (times, event_calls) = tokio::join!(
        planned.answered(bench, since, limit),
        rates(bench, COUNT_TIME)
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

/// Counts store calls for a while.
async fn rates(bench: &Bench, span: Duration) -> Result<CallRates, Error> {
    let before = state::calls(bench.fleet.store()).await?;
    let began = Instant::now();
    tokio::time::sleep(span).await;
    let after = state::calls(bench.fleet.store()).await?;
    Ok(between(before, after, began.elapsed()))
}

fn between(before: CallCounts, after: CallCounts, span: Duration) -> CallRates {
    let rate = |from: u64, to: u64| (to - from) as f64 / span.as_secs_f64();
    CallRates {
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
        watches: rate(before.watches, after.watches),
    }
}

/// Chooses the processes to kill: those behind the first assignment.
async fn victims(bench: &Bench, loss: Loss) -> Result<Vec<String>, Error> {
    let routes = bench.routes().await?;
    let row = routes.rows().next().ok_or("no assignment")?;
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

/// Finds a key of each shard that the lost processes own or are the home of; all keys if neither.
async fn concerned(bench: &Bench, loss: Loss, killed: &[String]) -> Result<Vec<Question>, Error> {
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
    let wanted = |row: &carawayrill_core::assignment::Assignment| {
        all || servers.contains(row.owner.as_str()) || killed.contains(&row.home.to_string())
    };
    bench.keys(wanted, KEYS_PER_SHARD).await
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
