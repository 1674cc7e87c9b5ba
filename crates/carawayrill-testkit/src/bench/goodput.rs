//! Goodput at multiples of the slots' capacity.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::bench::Bench;
use crate::bench::loaded;
use crate::bench::loaded::LoadReport;
use crate::bench::loaded::Loading;
use crate::bench::shape::Shape;
use crate::fleet::Error;

/// The load as multiples of the capacity.
const MULTIPLES: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
/// The time limit of each request.
const DEADLINE: Duration = Duration::from_secs(1);
/// How long latencies are left out at the start.
const WARM_UP: Duration = Duration::from_secs(1);

/// The goodput at one load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Point {
    /// The load as a multiple of the capacity.
    pub multiple: f64,
    /// The load.
    pub load: LoadReport,
}

/// The goodput at all loads.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GoodputReport {
    /// What all slots together can do, in requests a second.
    pub capacity: f64,
    /// One point a load.
    pub points: Vec<Point>,
}

/// Loads a bench whose requests run for `service_time` with 0.5, 1, 2 and 5 times its capacity,
/// each for `time`.
///
/// # Errors
///
/// Fails if the load can't be made.
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
        // Another seed each time: paths may not repeat.
        settings.seed = 100 + number as u64;
        let (load, _driven) = Loading::start(settings).finish(bench).await?;
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
