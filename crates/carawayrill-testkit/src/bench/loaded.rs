//! Load on a bench while something happens to it.

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

/// What a load found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Its figures.
    pub summary: Summary,
    /// The check of its answers.
    pub findings: Findings,
}

/// Returns the settings of a load on all routers of a bench and all services of its shape.
///
/// # Errors
///
/// Fails if a service's name can't be read.
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

/// A load that goes on beside what its starter does.
#[derive(Debug)]
pub struct Loading {
    settings: Settings,
    stop: Arc<AtomicBool>,
    task: JoinHandle<Result<LoadResult, crate::Error>>,
}

impl Loading {
    /// Starts the load.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let own = settings.clone();
        let stop: Arc<AtomicBool> = Arc::default();
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move { drive::drive_until(&own, stopped).await });
        Self {
            settings,
            stop,
            task,
        }
    }

    /// Waits until the load has gone on for `span` more.
    pub async fn go_on(&self, span: Duration) {
        tokio::time::sleep(span).await;
    }

    /// Ends the load now, waits for all answers and checks them.
    ///
    /// # Errors
    ///
    /// Fails if the load or the record failed.
    pub async fn stop(self, bench: &Bench) -> Result<(LoadReport, LoadResult), Error> {
        self.stop.store(true, Ordering::Relaxed);
        self.finish(bench).await
    }

    /// Waits for the end of the load and checks it against all runs on record.
    ///
    /// # Errors
    ///
    /// Fails if the load or the record failed.
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
