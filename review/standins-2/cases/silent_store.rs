//! RECOVER: all processes are killed and start again. Some seconds later the store is silent for a little
//! more than the length of a lease. The front that decides on the keys renews its lease as the store comes
//! back, and decides nothing from then on.

use std::sync::mpsc;
use std::time::Duration;

use super::Deployment;
use super::Verdict;
use super::granter;
use super::mixed_call;
use super::record_outcomes;
use crate::fronts::Load;
use crate::fronts::Outcome;
use crate::record::Record;

const WORK: Duration = Duration::from_millis(30);
/// The final fault: when it strikes after the start of traffic, and how long the processes are down.
const FAULT_AFTER_MS: u64 = 10_000;
const DOWN: Duration = Duration::from_millis(1_100);
/// When the store falls silent, after the machines are back, and for how long.
const SILENT_AFTER_MS: u64 = 4_000;
const SILENT: Duration = Duration::from_millis(2_100);
/// `recover` of the settings, and how long requests are sent after it.
const RECOVER_MS: u64 = 15_000;
const JUDGED_MS: u64 = 60_000;
/// RECOVER: "less than a quarter is served, though a quarter or more was before the final fault".
const MIN_SERVED: f64 = 0.25;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut deployment = Deployment::start(3, 6, 3, WORK, record)?;
    let load = Load::start(deployment.front_addresses(), 50, mixed_call, record);
    let started = record.ms();
    deployment.wait_until_ms(started + FAULT_AFTER_MS);
    let fault_at = record.ms();
    for front in &mut deployment.fronts {
        front.kill();
    }
    std::thread::sleep(DOWN);
    for front in &mut deployment.fronts {
        front.start_again()?;
    }
    deployment.wait_until_ready()?;
    let back_at = record.ms();
    record.line("the machines are back");
    deployment.wait_until_ms(back_at + SILENT_AFTER_MS);
    if trouble {
        wait_for_renewal(&deployment)?;
        std::thread::sleep(Duration::from_millis(50));
        deployment.store.be_silent(SILENT);
    }
    deployment.wait_until_ms(back_at + RECOVER_MS + JUDGED_MS);
    let outcomes = load.stop();
    record_outcomes(&outcomes, record);
    let still_held = deployment.servers.lock().unwrap().clone();
    let still_held = still_held.iter().map(|server| server.grants().len());
    record.line(&format!(
        "the lease names {:?}; the servers hold {} grants",
        granter(&deployment.store),
        still_held.sum::<usize>()
    ));
    let before = served(&outcomes, 0, fault_at.saturating_sub(3_000));
    let after = served(&outcomes, back_at + RECOVER_MS, u64::MAX);
    let text = format!(
        "of the requests sent before the final fault {before:.3} were served, of those sent later than 15 s after the machines were back {after:.3}"
    );
    record.line(&text);
    if before < MIN_SERVED {
        return Err(text);
    }
    Ok((after < MIN_SERVED).then(|| format!("RECOVER: {text}")))
}

/// Waits until the granter has renewed its lease, so that the store falls silent between two renewals.
fn wait_for_renewal(deployment: &Deployment) -> Result<(), String> {
    let (tx, rx) = mpsc::channel();
    deployment
        .store
        .on_replaced("carawayrill-leases", move |_lease| {
            let _ = tx.send(());
        });
    rx.recv_timeout(Duration::from_secs(5))
        .map_err(|err| format!("no renewal of the lease: {err}"))
}

fn served(outcomes: &[Outcome], from_ms: u64, to_ms: u64) -> f64 {
    let sent: Vec<&Outcome> = outcomes
        .iter()
        .filter(|one| (from_ms..to_ms).contains(&one.sent_ms))
        .collect();
    let served = sent.iter().filter(|one| one.status == 200 && one.signed);
    served.count() as f64 / sent.len().max(1) as f64
}
