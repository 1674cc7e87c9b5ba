//! Waits until a generation is in force in every process.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use carawayrill_core::id::Generation;
use carawayrill_core::time::millis;
use carawayrill_store::port::ObjectStore;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use crate::error::Error;
use crate::members;
use crate::members::RouterStatus;

/// The interval of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a wait that succeeded.
#[derive(Debug, Clone, Copy)]
pub struct InForce {
    /// Number of routers.
    pub routers: usize,
    /// Time from the start of the wait to the last acknowledgement, in milliseconds.
    pub after_ms: u64,
}

/// The outcome of a wait.
#[derive(Debug, Clone)]
pub enum WaitOutcome {
    /// All processes have the generation in force.
    Done(InForce),
    /// These processes did not have it in force at the timeout.
    TimedOut(BTreeSet<String>),
}

impl WaitOutcome {
    /// Lists the lagging processes as text; `None` if there are none.
    pub fn lagging(&self) -> Option<String> {
        match self {
            Self::Done(_) => None,
            Self::TimedOut(names) => {
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                Some(names.join(", "))
            }
        }
    }
}

/// Polls all routers, and the controllers that hold a lease, until each has `generation` or a
/// higher one in force.
///
/// Processes that start during the wait are included. Those that don't respond count as lagging.
pub async fn until_in_force(
    store: &dyn ObjectStore,
    generation: Generation,
    timeout: Duration,
) -> Result<WaitOutcome, Error> {
    let started = Instant::now();
    let bar = progress_bar(generation);
    loop {
        let statuses = members::query_routers(members::list_routers(store).await?).await;
        let mut lagging = lagging(&statuses, generation);
        bar.set_length(statuses.len() as u64);
        bar.set_position((statuses.len() - lagging.len()) as u64);
        lagging.extend(lagging_controllers(store, generation).await?);
        if lagging.is_empty() {
            bar.finish_and_clear();
            return Ok(WaitOutcome::Done(InForce {
                routers: statuses.len(),
                after_ms: millis(started.elapsed()),
            }));
        }
        if started.elapsed() + POLL_INTERVAL > timeout {
            bar.finish_and_clear();
            return Ok(WaitOutcome::TimedOut(lagging));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Creates the progress bar, which is shown on terminals only.
fn progress_bar(generation: Generation) -> ProgressBar {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos} of {len} routers") {
        bar.set_style(style);
    }
    bar.set_message(format!("generation {generation}"));
    bar
}

/// Lists the routers that do not have the generation in force.
fn lagging(statuses: &[RouterStatus], generation: Generation) -> BTreeSet<String> {
    let lagging = statuses.iter().filter(|router| {
        let page = router.page.as_ref();
        page.is_none_or(|page| page.generation < generation)
    });
    lagging
        .map(|router| router.member.router.to_string())
        .collect()
}

/// Lists the leading controllers that do not have the generation in force.
async fn lagging_controllers(
    store: &dyn ObjectStore,
    generation: Generation,
) -> Result<Vec<String>, Error> {
    let mut lagging = Vec::new();
    for lease in members::list_leases(store).await? {
        let page = members::controller_page(lease.peer).await;
        let reported = page.ok().and_then(|page| page["generation"].as_u64());
        if reported.is_none_or(|reported| reported < generation.0) {
            lagging.push(lease.holder.to_string());
        }
    }
    Ok(lagging)
}
