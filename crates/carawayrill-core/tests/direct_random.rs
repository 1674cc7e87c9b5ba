//! Random schedules of faults against the granter.
//!
//! `CARAWAYRILL_SCHEDULES` sets how many are run, `CARAWAYRILL_FIRST_SEED` where they start;
//! `CARAWAYRILL_SEED` names one that is played in full. All are run once and judged twice.

mod direct_simulation;

use std::sync::OnceLock;
use std::thread;

use direct_simulation::Simulation;
use direct_simulation::Violation;

/// The schedules that CI runs.
const SCHEDULES: u64 = 10_000;
/// The threads that run them.
const THREADS: u64 = 4;
/// The most broken schedules that are shown.
const MAX_PRINTED: usize = 10;

/// The broken schedules by seed.
static VIOLATIONS: OnceLock<Vec<(u64, Vec<Violation>)>> = OnceLock::new();

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs schedules on several threads and returns the broken ones.
fn run_all(first: u64, count: u64) -> Vec<(u64, Vec<Violation>)> {
    let part = |thread: u64| {
        (first..first + count)
            .filter(move |seed| seed % THREADS == thread)
            .filter_map(|seed| {
                let violations = Simulation::new(seed).run();
                (!violations.is_empty()).then_some((seed, violations))
            })
            .collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || part(thread)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a schedule panicked"))
            .collect()
    })
}

/// Fails if a schedule broke what `is_relevant` picks.
fn check_violations(is_relevant: impl Fn(&Violation) -> bool) {
    let first = setting("CARAWAYRILL_FIRST_SEED", 0);
    let count = setting("CARAWAYRILL_SCHEDULES", SCHEDULES);
    let all = VIOLATIONS.get_or_init(|| run_all(first, count));
    let broken: Vec<_> = all
        .iter()
        .filter(|(_, violations)| violations.iter().any(&is_relevant))
        .collect();
    for (seed, violations) in broken.iter().take(MAX_PRINTED) {
        eprintln!("seed {seed}: {violations:?}");
    }
    assert!(broken.is_empty(), "{} of {count} broken", broken.len());
}

/// Plays the one schedule that `CARAWAYRILL_SEED` names, and prints what happens.
#[test]
fn one_schedule_in_full() {
    let Ok(seed) = std::env::var("CARAWAYRILL_SEED") else {
        return;
    };
    let mut simulation = Simulation::new(seed.parse().expect("a number"));
    simulation.verbose = true;
    let violations = simulation.run();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn no_schedule_of_faults_gives_a_key_two_owners() {
    check_violations(|violation| matches!(violation, Violation::MultipleOwners(_)));
}

#[test]
fn no_schedule_of_faults_leaves_a_key_unserved() {
    check_violations(|violation| matches!(violation, Violation::Unserved(_)));
}
