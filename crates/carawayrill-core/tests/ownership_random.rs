//! Random failures over the tables of ownership, in virtual time with fixed seeds.
//!
//! `CARAWAYRILL_SCHEDULES=100000 cargo test -p carawayrill-core --test ownership_random` runs more
//! schedules than CI does.

mod world;

use std::collections::BTreeMap;

use crate::world::schedule;

/// Schedules that run in CI.
const SCHEDULES: u64 = 10_000;
/// Broken schedules that are made small and shown.
const SHOWN: usize = 3;

#[test]
fn random_schedules_keep_the_rule() {
    let asked = std::env::var("CARAWAYRILL_SCHEDULES").ok();
    let count = asked
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let broken = schedule::run_all(count, |setup| setup);
    let mut kinds = BTreeMap::<_, u64>::new();
    for (_, kind, _) in broken.values() {
        *kinds.entry(kind).or_default() += 1;
    }
    let mut worst: Vec<_> = broken.iter().collect();
    worst.sort_by(|(_, a), (_, b)| a.1.cmp(&b.1));
    let shown = worst.iter().take(SHOWN).map(|(seed, found)| {
        let (at, kind, text) = found;
        let seed = **seed;
        let least = schedule::shrink(seed, schedule::setup(seed), schedule::plan(seed), kind);
        format!("seed {seed} at {at} us: {kind:?} {text}\n{least:#?}\n")
    });
    let shown: String = shown.collect();
    let number = broken.len();
    assert!(
        broken.is_empty(),
        "{number} of {count} schedules broken: {kinds:?}\n{shown}"
    );
}
