//! Random fault schedules for the ownership tables, in virtual time with fixed seeds.
//!
//! `CARAWAYRILL_SCHEDULES=100000 cargo test -p carawayrill-core --test ownership_random` runs more
//! schedules than CI does.

mod world;

use std::collections::BTreeMap;
use std::sync::OnceLock;

use crate::world::check::ViolationKind;
use crate::world::schedule;
use crate::world::schedule::Violation;

/// Number of schedules in CI.
const SCHEDULES: u64 = 10_000;
/// Number of failing schedules that are shrunk and reported.
const MAX_REPORTED: usize = 3;

fn count() -> u64 {
    let requested = std::env::var("CARAWAYRILL_SCHEDULES").ok();
    let count = requested.and_then(|text| text.parse().ok());
    count.unwrap_or(SCHEDULES)
}

/// Returns the violations by seed. The schedules run once for both tests.
fn violations() -> &'static BTreeMap<u64, Violation> {
    static VIOLATIONS: OnceLock<BTreeMap<u64, Violation>> = OnceLock::new();
    VIOLATIONS.get_or_init(|| schedule::run_all(count(), |setup| setup))
}

/// Fails if there are matching violations, and reports shrunk schedules for the first of them, ordered by kind.
fn check(matches: impl Fn(&ViolationKind) -> bool) {
    let found: Vec<_> = violations()
        .iter()
        .filter(|(_, (_, kind, _))| matches(kind))
        .collect();
    let mut kinds = BTreeMap::<_, u64>::new();
    for (_, (_, kind, _)) in &found {
        *kinds.entry(kind).or_default() += 1;
    }
    let mut sorted = found.clone();
    sorted.sort_by(|(_, a), (_, b)| a.1.cmp(&b.1));
    let reported = sorted
        .iter()
        .take(MAX_REPORTED)
        .map(|(seed, (at, kind, text))| {
            let seed = **seed;
            let shrunk = schedule::shrink(seed, schedule::setup(seed), schedule::plan(seed), kind);
            format!("seed {seed} at {at} us: {kind:?} {text}\n{shrunk:#?}\n")
        });
    let reported: String = reported.collect();
    let (number, count) = (found.len(), count());
    assert!(
        found.is_empty(),
        "{number} of {count} schedules failed: {kinds:?}\n{reported}"
    );
}

#[test]
fn random_schedules_keep_one_owner_and_lose_nothing() {
    check(|kind| *kind != ViolationKind::NotServed);
}

#[test]
fn random_schedules_recover() {
    check(|kind| *kind == ViolationKind::NotServed);
}
