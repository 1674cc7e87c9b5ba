//! Random fault schedules against the granter.
//!
//! `CARAWAYRILL_SCHEDULES` sets the number of schedules and `CARAWAYRILL_FIRST_SEED` the first
//! seed. `CARAWAYRILL_SEED` selects one schedule that is run with verbose output, with restores of
//! the store if `CARAWAYRILL_RESTORES` is set, or with late entries of servers if
//! `CARAWAYRILL_LATE_ENTRIES` is. All schedules run once for each kind of fault.

mod direct_simulation;

use std::sync::OnceLock;
use std::thread;

use direct_simulation::Simulation;
use direct_simulation::Violation;

/// The number of schedules that CI runs.
const SCHEDULES: u64 = 10_000;
/// The number of those with late entries.
const LATE_ENTRY_SCHEDULES: u64 = 2_500;
/// The number of threads that run them.
const THREADS: u64 = 4;
/// The maximum number of failed schedules that are printed.
const MAX_PRINTED: usize = 10;

/// The violations of the failed schedules, by seed.
type Failed = Vec<(u64, Vec<Violation>)>;

static VIOLATIONS: OnceLock<Failed> = OnceLock::new();
static VIOLATIONS_WITH_RESTORES: OnceLock<Failed> = OnceLock::new();
static VIOLATIONS_WITH_LATE_ENTRIES: OnceLock<Failed> = OnceLock::new();

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs schedules on several threads and returns the violations of the failed ones.
fn run_all(first: u64, count: u64, create: fn(u64) -> Simulation) -> Failed {
    let part = |thread: u64| {
        (first..first + count)
            .filter(move |seed| seed % THREADS == thread)
            .filter_map(|seed| {
                let violations = create(seed).run();
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

fn create_with_restores(seed: u64) -> Simulation {
    Simulation::new(seed).with_restores()
}

fn create_with_late_entries(seed: u64) -> Simulation {
    Simulation::new(seed).with_late_entries()
}

/// Fails if a schedule has a violation for which `is_relevant` returns true.
fn check_violations(is_relevant: impl Fn(&Violation) -> bool) {
    check(&VIOLATIONS, SCHEDULES, Simulation::new, is_relevant);
}

/// As [`check_violations`], with restores of the store from an older copy.
fn check_violations_with_restores(is_relevant: impl Fn(&Violation) -> bool) {
    let failed = &VIOLATIONS_WITH_RESTORES;
    check(failed, SCHEDULES, create_with_restores, is_relevant);
}

fn check(
    failed: &OnceLock<Failed>,
    default_count: u64,
    create: fn(u64) -> Simulation,
    is_relevant: impl Fn(&Violation) -> bool,
) {
    let first = setting("CARAWAYRILL_FIRST_SEED", 0);
    let count = setting("CARAWAYRILL_SCHEDULES", default_count);
    let all = failed.get_or_init(|| run_all(first, count, create));
    let broken: Vec<_> = all
        .iter()
        .filter(|(_, violations)| violations.iter().any(&is_relevant))
        .collect();
    for (seed, violations) in broken.iter().take(MAX_PRINTED) {
        eprintln!("seed {seed}: {violations:?}");
    }
    assert!(
        broken.is_empty(),
        "{} of {count} schedules failed",
        broken.len()
    );
}

/// Runs the schedule of the seed in `CARAWAYRILL_SEED` and prints its steps.
#[test]
fn one_schedule_in_full() {
    let Ok(seed) = std::env::var("CARAWAYRILL_SEED") else {
        return;
    };
    let seed = seed.parse().expect("valid number");
    let is_set = |name| std::env::var(name).is_ok();
    let mut simulation = if is_set("CARAWAYRILL_RESTORES") {
        create_with_restores(seed)
    } else if is_set("CARAWAYRILL_LATE_ENTRIES") {
        create_with_late_entries(seed)
    } else {
        Simulation::new(seed)
    };
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

#[test]
fn no_restore_of_the_store_gives_a_key_two_owners() {
    check_violations_with_restores(|violation| matches!(violation, Violation::MultipleOwners(_)));
}

#[test]
fn no_restore_of_the_store_leaves_a_key_unserved() {
    check_violations_with_restores(|violation| matches!(violation, Violation::Unserved(_)));
}

/// An entry of a former incarnation that the store lists late must neither end the present one nor be its successor.
#[test]
fn no_late_entry_of_a_server_gives_a_key_two_owners_or_none() {
    check(
        &VIOLATIONS_WITH_LATE_ENTRIES,
        LATE_ENTRY_SCHEDULES,
        create_with_late_entries,
        |_violation| true,
    );
}
