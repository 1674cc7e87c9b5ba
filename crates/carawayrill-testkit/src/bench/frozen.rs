//! A server that freezes, loses its shards and returns in the belief that it owns them.

use std::fmt;
use std::time::Duration;

use carawayrill_core::time::millis;
use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::LoadReport;
use crate::bench::loaded::Loading;
use crate::bench::probe;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::settings::MAX_TIME;

/// How long the load goes on before the freeze and after the return.
const REST: Duration = Duration::from_secs(2);
/// Attempts of each request.
const ATTEMPTS: u32 = 10;
/// The time limit of each attempt.
const DEADLINE: Duration = Duration::from_secs(1);

/// What a freeze did.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FrozenReport {
    /// The process that was frozen.
    pub frozen: String,
    /// Keys of the frozen servers that were asked for, one a shard.
    pub keys: usize,
    /// From the freeze until the last of them was answered by another server.
    pub last_ms: u64,
    /// The load.
    pub load: LoadReport,
}

/// Freezes the owner of the first shard under load, waits until its keys are answered elsewhere,
/// lets it go on, and checks all runs.
///
/// # Errors
///
/// Fails if the keys are not answered within `limit` while the server is frozen.
pub async fn run(
    bench: &mut Bench,
    shape: &Shape,
    rate: f64,
    limit: Duration,
) -> Result<FrozenReport, Error> {
    let routes = bench.routes().await?;
    let row = routes.rows().next().ok_or("no assignment")?;
    let frozen = bench.process_of_server(row.owner.as_str())?;
    let here = |server: &str| {
        bench
            .process_of_server(server)
            .is_ok_and(|process| process == frozen)
    };
    let keys = bench.keys(|row| here(row.owner.as_str()), 1).await?;
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    settings.deadline = DEADLINE;
    settings.idempotency_key_share = 1.0;
    let loading = Loading::start(settings);
    loading.go_on(REST).await;
    bench.fleet.process(&frozen)?.freeze()?;
    let times = probe::all_answered(&bench.entries(), &keys, limit).await?;
    bench.fleet.process(&frozen)?.resume()?;
    loading.go_on(REST).await;
    let (load, _driven) = loading.stop(bench).await?;
    Ok(FrozenReport {
        frozen,
        keys: times.len(),
        last_ms: times.last().copied().map_or(0, millis),
        load,
    })
}

impl fmt::Display for FrozenReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "froze {}: {} keys answered elsewhere after {} ms (last)",
            self.frozen, self.keys, self.last_ms
        )?;
        write!(f, "{}", self.load)
    }
}
