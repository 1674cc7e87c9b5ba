//! Waits until every process has a generation in force.

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

/// The time between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When a generation was in force everywhere.
#[derive(Debug, Clone, Copy)]
pub struct InForce {
    /// How many routers there are.
    pub routers: usize,
    /// Time from the start of the wait to the last acknowledgement, in milliseconds.
    pub after_ms: u64,
}

/// What came of a wait.
#[derive(Debug, Clone)]
pub enum WaitOutcome {
    /// All have the generation in force.
    Done(InForce),
    /// These have not acknowledged it.
    TimedOut(BTreeSet<String>),
}

impl WaitOutcome {
    /// Names those that are late; `None` if none is.
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

/// Asks all routers, and the controllers that hold a lease, until each has `generation` or a higher
/// one.
///
/// Processes that start meanwhile are asked too. Those that don't answer count as lagging.
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

/// Makes the progress bar. It shows on a terminal only.
fn progress_bar(generation: Generation) -> ProgressBar {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos} of {len} routers") {
        bar.set_style(style);
    }
    bar.set_message(format!("generation {generation}"));
    bar
}

/// Lists the routers that have not acknowledged.
fn lagging(statuses: &[RouterStatus], generation: Generation) -> BTreeSet<String> {
    let lagging = statuses.iter().filter(|router| {
        let page = router.page.as_ref();
        page.is_none_or(|page| page.generation < generation)
    });
    lagging
        .map(|router| router.member.router.to_string())
        .collect()
}

/// Lists the leading controllers that have not acknowledged.
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
