//! Random failures over the tables of ownership, in virtual time with fixed seeds.

mod world;

use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::ownership::limits::Policy;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::World;
use crate::world::check::Broken;
use crate::world::clock::MS;
use crate::world::clock::Micros;
use crate::world::fault::Planned;
use crate::world::fault::schedule;
use crate::world::node::Setup;

/// Schedules that run in CI.
const SCHEDULES: u64 = 10_000;
/// Faults begin before this time.
const WINDOW: Micros = 6_000 * MS;
/// All faults are over by this time.
const HEALED: Micros = 9_000 * MS;
/// A shard is served again by this time.
const SERVED: Micros = 14_500 * MS;

fn setup(seed: u64) -> Setup {
    let validity = if seed.is_multiple_of(4) {
        20_000
    } else {
        2_000
    };
    Setup {
        limits: Limits::default(),
        policy: Policy {
            validity,
            fencing: true,
        },
        mechanisms: Mechanisms::ALL,
    }
}

fn plan(seed: u64) -> Vec<Planned> {
    schedule(&mut ChaCha8Rng::seed_from_u64(seed ^ 0x5eed), WINDOW)
}

/// Runs one schedule and returns what it broke.
fn run(seed: u64, setup: Setup, plan: &[Planned]) -> Option<(u64, Broken, String)> {
    let mut world = World::new(seed, setup, plan);
    world.run_until(HEALED);
    world.heal();
    world.run_until(SERVED);
    let shards = world.shards.clone();
    for shard in shards {
        if !world.is_served(&shard) {
            world.fail(Broken::NotServed, shard.to_string());
        }
    }
    world.checks.broken
}

/// Takes out faults one by one while the same kind of break remains.
fn shrink(seed: u64, setup: Setup, mut plan: Vec<Planned>, kind: &Broken) -> Vec<Planned> {
    let mut at = 0;
    while at < plan.len() {
        let mut fewer = plan.clone();
        fewer.remove(at);
        if run(seed, setup, &fewer).is_some_and(|(_, broken, _)| broken == *kind) {
            plan = fewer;
        } else {
            at += 1;
        }
    }
    plan
}

#[test]
fn random_schedules_keep_one_owner() {
    let count = std::env::var("CARAWAYRILL_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let threads = 3;
    let broken: Vec<_> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|first| {
                scope.spawn(move || {
                    (first..count)
                        .step_by(threads as usize)
                        .filter_map(|seed| Some((seed, run(seed, setup(seed), &plan(seed))?)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a worker"))
            .collect()
    });
    let mut kinds = std::collections::BTreeMap::<_, u64>::new();
    for (_, (_, kind, _)) in &broken {
        *kinds.entry(kind).or_default() += 1;
    }
    let shown = broken.iter().take(3).map(|(seed, (at, kind, text))| {
        let least = shrink(*seed, setup(*seed), plan(*seed), kind);
        format!("seed {seed} at {at} us: {kind:?} {text}\n{least:#?}\n")
    });
    let shown: String = shown.collect();
    assert!(
        broken.is_empty(),
        "{} of {count} schedules broken: {kinds:?}\n{shown}",
        broken.len()
    );
}

#[test]
fn explain() {
    let Ok(seed) = std::env::var("EXPLAIN") else {
        return;
    };
    let seed = seed.parse().unwrap();
    let mut p = plan(seed);
    if let Some((_, k, _)) = run(seed, setup(seed), &p) {
        p = shrink(seed, setup(seed), p, &k);
    }
    println!("{p:?}");
    let mut world = World::new(seed, setup(seed), &p);
    let mut t = 0;
    let step: u64 = std::env::var("STEP")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(500);
    while t < SERVED {
        t += step * MS;
        if t == HEALED {
            world.run_until(t);
            world.heal();
        } else {
            world.run_until(t);
        }
        let served: Vec<bool> = world
            .shards
            .clone()
            .iter()
            .map(|s| world.is_served(s))
            .collect();
        println!(
            "== {} served {served:?} store v{}",
            t / MS,
            world.store.version
        );
        for r in &world.store.block.rows {
            println!(
                "   row {} {}/{:?} home {}#{} sh {:?}#{} {}",
                r.shard,
                r.owner,
                r.standby,
                r.home,
                r.home_run,
                r.standby_home,
                r.standby_home_run,
                r.token
            );
        }
        for i in &world.store.block.intents {
            println!(
                "   intent {} {}/{:?} home {}#{} sh {:?}#{} {} by {} at {}",
                i.next.shard,
                i.next.owner,
                i.next.standby,
                i.next.home,
                i.next.home_run,
                i.next.standby_home,
                i.next.standby_home_run,
                i.next.token,
                i.by,
                i.written
            );
        }
        for n in &world.nodes {
            if let crate::world::node::Kind::Router(tb) = &n.kind {
                for s in &world.shards {
                    println!(
                        "   {} up {} paused {} {s}: {:?}",
                        n.name,
                        n.up,
                        n.paused_until > world.now,
                        tb.permit(n.clock.local(world.now), s)
                            .map(|p| (p.server, p.token))
                    );
                }
            }
        }
        if std::env::var("DUMP").is_ok() {
            for n in &world.nodes {
                if let crate::world::node::Kind::Controller(c) = &n.kind {
                    println!("{} {:#?}", n.name, c);
                }
            }
            for n in &world.nodes {
                if let crate::world::node::Kind::Router(c) = &n.kind {
                    println!("{} {:#?}", n.name, c);
                }
            }
        }
    }
    println!("{:?} steps {}", world.checks.broken, world.steps);
}
