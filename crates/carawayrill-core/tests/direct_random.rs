//! Random schedules of faults against the granter.
//!
//! `CARAWAYRILL_SCHEDULES` sets how many are run, `CARAWAYRILL_FIRST_SEED` where they start;
//! `CARAWAYRILL_SEED` names one that is played in full. All are run once and judged twice.

mod direct_world;

use std::sync::OnceLock;
use std::thread;

use direct_world::Broken;
use direct_world::World;

/// The schedules that CI runs.
const SCHEDULES: u64 = 10_000;
/// The threads that run them.
const THREADS: u64 = 4;
/// The most broken schedules that are shown.
const SHOWN: usize = 10;

/// The broken schedules by seed.
static BROKEN: OnceLock<Vec<(u64, Vec<Broken>)>> = OnceLock::new();

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs schedules on several threads and returns the broken ones.
fn run_all(first: u64, count: u64) -> Vec<(u64, Vec<Broken>)> {
    let part = |thread: u64| {
        (first..first + count)
            .filter(move |seed| seed % THREADS == thread)
            .filter_map(|seed| {
                let broken = World::new(seed).run();
                (!broken.is_empty()).then_some((seed, broken))
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

/// Fails if a schedule broke what `concerns` picks.
fn judge(concerns: impl Fn(&Broken) -> bool) {
    let first = setting("CARAWAYRILL_FIRST_SEED", 0);
    let count = setting("CARAWAYRILL_SCHEDULES", SCHEDULES);
    let all = BROKEN.get_or_init(|| run_all(first, count));
    let broken: Vec<_> = all
        .iter()
        .filter(|(_, broken)| broken.iter().any(&concerns))
        .collect();
    for (seed, what) in broken.iter().take(SHOWN) {
        eprintln!("seed {seed}: {what:?}");
    }
    assert!(broken.is_empty(), "{} of {count} broken", broken.len());
}

/// Plays the one schedule that `CARAWAYRILL_SEED` names, and prints what happens.
#[test]
fn one_schedule_in_full() {
    let Ok(seed) = std::env::var("CARAWAYRILL_SEED") else {
        return;
    };
    let mut world = World::new(seed.parse().expect("a number"));
    world.verbose = true;
    let broken = world.run();
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn no_schedule_of_faults_gives_a_key_two_owners() {
    judge(|broken| matches!(broken, Broken::Owners(_)));
}

#[test]
fn no_schedule_of_faults_leaves_a_key_unserved() {
    judge(|broken| matches!(broken, Broken::Unserved(_)));
}
