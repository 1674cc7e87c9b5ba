//! Background load on a bench while an experiment injects faults.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinHandle;

use crate::bench::Bench;
use crate::bench::shape::Shape;
use crate::fleet::Error;
use crate::load::Settings;
use crate::load::check;
use crate::load::check::Findings;
use crate::load::drive;
use crate::load::drive::LoadResult;
use crate::load::settings::Target;
use crate::load::summary;
use crate::load::summary::Summary;

/// Result of a load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Counts and latencies.
    pub summary: Summary,
    /// Result of the check of all responses.
    pub findings: Findings,
}

/// Returns the settings of a load on all routers of a bench and all services of `shape`.
///
/// # Errors
///
/// Fails if the name of a service is invalid.
pub fn settings(bench: &Bench, shape: &Shape) -> Result<Settings, Error> {
    let mut targets = Vec::new();
    for service in &shape.services {
        targets.push(Target {
            service: service.name.parse()?,
            header: service.header.into(),
            idempotency_key: service.repeat == "never",
        });
    }
    Ok(Settings::new(bench.entries(), targets))
}

/// A load that runs in a background task.
#[derive(Debug)]
pub struct BackgroundLoad {
    settings: Settings,
    stop: Arc<AtomicBool>,
    task: JoinHandle<Result<LoadResult, crate::Error>>,
}

impl BackgroundLoad {
    /// Starts the load.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let task_settings = settings.clone();
        let stop: Arc<AtomicBool> = Arc::default();
        let stop_flag = Arc::clone(&stop);
        let task = tokio::spawn(async move { drive::drive_until(&task_settings, stop_flag).await });
        Self {
            settings,
            stop,
            task,
        }
    }

    /// Waits while the load runs for another `span`.
    pub async fn run_for(&self, span: Duration) {
        tokio::time::sleep(span).await;
    }

    /// Stops sending requests, waits for all responses and checks them.
    ///
    /// # Errors
    ///
    /// Fails if the load fails or the records can't be read.
    pub async fn stop(self, bench: &Bench) -> Result<(LoadReport, LoadResult), Error> {
        self.stop.store(true, Ordering::Relaxed);
        self.finish(bench).await
    }

    /// Waits for the end of the load and checks it against the servers' records of all executions.
    ///
    /// # Errors
    ///
    /// Fails if the load fails or the records can't be read.
    pub async fn finish(self, bench: &Bench) -> Result<(LoadReport, LoadResult), Error> {
        let driven = self.task.await??;
        let report = LoadReport {
            summary: summary::summarise(&self.settings, &driven)?,
            findings: check::check(&driven.finished, &bench.runs()?, true),
        };
        Ok((report, driven))
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.summary, self.findings)
    }
}
