//! Freezes a server until other servers own its shards, and resumes it.
//!
//! The resumed server still has its old ownership state and must not run requests for these shards.

use std::fmt;
use std::time::Duration;

use carawayrill_core::time::millis;
use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::BackgroundLoad;
use crate::bench::loaded::LoadReport;
use crate::bench::probe;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::settings::MAX_TIME;

/// Time under load before the freeze and after the server resumes.
const LOAD_MARGIN: Duration = Duration::from_secs(2);
/// Maximum number of attempts of each request.
const ATTEMPTS: u32 = 10;
/// Deadline of each attempt.
const DEADLINE: Duration = Duration::from_secs(1);

/// Result of the experiment with a frozen server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FrozenReport {
    /// Name of the process that was frozen.
    pub frozen: String,
    /// Number of probed keys, one for each shard that the frozen process owned.
    pub keys: usize,
    /// Time from the freeze until another server had answered the last key.
    pub last_ms: u64,
    /// Result of the load.
    pub load: LoadReport,
}

/// Freezes the owner of the first shard under load, waits until other servers answer its keys,
/// resumes it, and checks all executions.
///
/// # Errors
///
/// Fails if a key is not answered within `limit` while the server is frozen.
pub async fn run(
    bench: &mut Bench,
    shape: &Shape,
    rate: f64,
    limit: Duration,
) -> Result<FrozenReport, Error> {
    let routes = bench.routes().await?;
    let row = routes.rows().next().ok_or("the store has no assignments")?;
    let frozen = bench.process_of_server(row.owner.as_str())?;
    let in_frozen_process = |server: &str| {
        bench
            .process_of_server(server)
            .is_ok_and(|process| process == frozen)
    };
    let keys = bench
        .keys(|row| in_frozen_process(row.owner.as_str()), 1)
        .await?;
    let mut settings = loaded::settings(bench, shape)?;
    settings.rate = rate;
    settings.time = MAX_TIME;
    settings.attempts = ATTEMPTS;
    settings.deadline = DEADLINE;
    settings.idempotency_key_share = 1.0;
    let background_load = BackgroundLoad::start(settings);
    background_load.run_for(LOAD_MARGIN).await;
    bench.fleet.process(&frozen)?.freeze()?;
    let times = probe::wait_all_answered(&bench.entries(), &keys, limit).await?;
    bench.fleet.process(&frozen)?.resume()?;
    background_load.run_for(LOAD_MARGIN).await;
    let (load, _driven) = background_load.stop(bench).await?;
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
