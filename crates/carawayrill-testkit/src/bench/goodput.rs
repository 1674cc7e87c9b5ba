//! Measures goodput at multiples of the capacity of all server slots.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::BackgroundLoad;
use crate::bench::loaded::LoadReport;
use crate::bench::shape::Shape;
use crate::fleet::Error;

/// Offered load as multiples of the capacity.
const MULTIPLES: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time at the start whose latencies are not counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// Goodput at one load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Point {
    /// Offered load as a multiple of the capacity.
    pub multiple: f64,
    /// Result of the load.
    pub load: LoadReport,
}

/// Goodput at all loads.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GoodputReport {
    /// Capacity of all slots together, in requests per second.
    pub capacity: f64,
    /// One point for each load.
    pub points: Vec<Point>,
}

/// Offers a bench 0.5, 1, 2 and 5 times its capacity, each for `time`. Each request takes
/// `service_time` on its server.
///
/// # Errors
///
/// Fails if the load can't be generated.
pub async fn run(
    bench: &Bench,
    shape: &Shape,
    service_time: Duration,
    time: Duration,
) -> Result<GoodputReport, Error> {
    let servers = bench.deployment.servers.len() as f64;
    let slots = f64::from(shape.services[0].slots);
    let capacity = servers * slots / service_time.as_secs_f64();
    let mut points = Vec::new();
    for (number, multiple) in MULTIPLES.into_iter().enumerate() {
        let mut settings = loaded::settings(bench, shape)?;
        settings.rate = capacity * multiple;
        settings.time = time;
        settings.warm_up = WARM_UP;
        settings.deadline = DEADLINE;
        settings.idempotency_key_share = 0.0;
        // Each load has its own seed, so that no path is used twice.
        settings.seed = 100 + number as u64;
        let (load, _driven) = BackgroundLoad::start(settings).finish(bench).await?;
        points.push(Point { multiple, load });
    }
    Ok(GoodputReport { capacity, points })
}

impl fmt::Display for GoodputReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "capacity   {:.0}/s", self.capacity)?;
        for point in &self.points {
            let summary = &point.load.summary;
            writeln!(
                f,
                "{:>4}x      {:.0}/s due, {:.0}/s done; done: {}; others: {}; {:?}",
                point.multiple,
                summary.rate,
                summary.done_rate,
                summary.done,
                summary.others,
                summary.statuses
            )?;
            writeln!(f, "           clean: {}", point.load.findings.is_clean())?;
        }
        Ok(())
    }
}
