//! Runs fault schedules, and shrinks those with a violation.

use std::collections::BTreeMap;

use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::ownership::limits::Policy;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::World;
use super::check::ViolationKind;
use super::clock::MS;
use super::clock::Micros;
use super::fault;
use super::fault::ScheduledFault;
use super::node::Setup;

/// Faults start before this time, or up to 2 s after it if they follow another fault.
const FAULT_WINDOW: Micros = 6_000 * MS;
/// All faults end by this time.
const FAULTS_END: Micros = 9_000 * MS;
/// All shards are served again by this time.
const RECOVERED_BY: Micros = 14_500 * MS;
/// Maximum number of threads. The result of a schedule depends only on its seed.
const MAX_THREADS: usize = 8;

/// The time, kind and description of a violation.
pub type Violation = (Micros, ViolationKind, String);

/// Returns the setup of a seed. Every fourth seed uses the long validity of `on_store_outage:
/// hold`. Every sixteenth has servers that don't check fencing tokens.
pub fn setup(seed: u64) -> Setup {
    let validity = if seed.is_multiple_of(4) {
        20_000
    } else {
        2_000
    };
    Setup {
        limits: Limits::default(),
        policy: Policy {
            validity,
            fencing: seed % 16 != 15,
            ranges: 2,
        },
        mechanisms: Mechanisms::ALL,
    }
}

pub fn plan(seed: u64) -> Vec<ScheduledFault> {
    fault::schedule(&mut ChaCha8Rng::seed_from_u64(seed ^ 0x5eed), FAULT_WINDOW)
}

/// Runs one schedule and returns its first violation.
pub fn run(seed: u64, setup: Setup, plan: &[ScheduledFault]) -> Option<Violation> {
    run_to_end(World::new(seed, setup, plan)).checks.violation
}

/// Runs a simulation through its faults and the recovery after them.
pub fn run_to_end(mut world: World) -> World {
    world.run_until(FAULTS_END);
    world.heal();
    world.run_until(RECOVERED_BY);
    for shard in world.shards.clone() {
        if !world.is_served(&shard) {
            world.report(ViolationKind::NotServed, shard.to_string());
        }
    }
    world
}

/// Removes faults one at a time as long as the same kind of violation remains.
pub fn shrink(
    seed: u64,
    setup: Setup,
    mut plan: Vec<ScheduledFault>,
    kind: &ViolationKind,
) -> Vec<ScheduledFault> {
    let mut at = 0;
    while at < plan.len() {
        let mut fewer = plan.clone();
        fewer.remove(at);
        if run(seed, setup, &fewer).is_some_and(|(_, found, _)| found == *kind) {
            plan = fewer;
        } else {
            at += 1;
        }
    }
    plan
}

/// Runs the schedules of the seeds below `count` and returns their violations by seed.
pub fn run_all(count: u64, change: impl Fn(Setup) -> Setup + Sync) -> BTreeMap<u64, Violation> {
    let change = &change;
    let threads =
        std::thread::available_parallelism().map_or(1, |found| found.get().min(MAX_THREADS));
    let work = move |first: usize| {
        let seeds = (0..count).skip(first).step_by(threads);
        let violations =
            seeds.filter_map(|seed| Some((seed, run(seed, change(setup(seed)), &plan(seed))?)));
        violations.collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || work(first)))
            .collect();
        let parts = workers
            .into_iter()
            .map(|worker| worker.join().expect("worker thread panicked"));
        parts.flatten().collect()
    })
}
