//! Single failures: each shard is served again in time, whether the store is up or down.

mod world;

use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::ownership::limits::Policy;
use rstest::rstest;

use crate::world::World;
use crate::world::clock::MS;
use crate::world::clock::Micros;
use crate::world::fault::Fault;
use crate::world::fault::ScheduledFault;
use crate::world::node::Setup;
use crate::world::topology::node_ix;

/// Longest permitted time without service after a failure.
const RECOVERY_TARGET: Micros = 5_000 * MS;
/// Time of the failure.
const FAILURE_AT: Micros = 4_000 * MS;
/// Time by which the store outage precedes the failure.
const OUTAGE_LEAD: Micros = 1_000 * MS;
/// Resolution of the measured time without service.
const STEP: Micros = 10 * MS;
const SEEDS: u64 = 20;

/// Returns the longest time for which some shard was not served after the failure.
fn longest_outage(seed: u64, faults: &[Fault], outage: bool) -> Micros {
    let setup = Setup {
        limits: Limits::default(),
        policy: Policy {
            validity: 20_000,
            fencing: true,
            ranges: 2,
        },
        mechanisms: Mechanisms::ALL,
    };
    let failures = faults.iter().cloned();
    let mut plan: Vec<ScheduledFault> = failures
        .map(|fault| ScheduledFault {
            at: FAILURE_AT,
            fault,
        })
        .collect();
    if outage {
        let down = Fault::StoreDown { span: 60_000 * MS };
        plan.push(ScheduledFault {
            at: FAILURE_AT - OUTAGE_LEAD,
            fault: down,
        });
    }
    let mut world = World::new(seed, setup, &plan).lossless();
    world.run_until(FAILURE_AT);
    let mut last = FAILURE_AT;
    while world.now < FAILURE_AT + 2 * RECOVERY_TARGET {
        world.run_until(world.now + STEP);
        if !world.shards.iter().all(|shard| world.is_served(shard)) {
            last = world.now;
        }
    }
    assert_eq!(None, world.checks.violation);
    last - FAILURE_AT
}

fn kill(name: &str) -> Fault {
    Fault::Kill {
        node: node_ix(name),
        restart_after: None,
    }
}

#[rstest]
#[case::owner("owner", kill("s0"))]
#[case::standby_server_and_owner("owner of one shard, standby server of the other", kill("s1"))]
#[case::home("home", kill("r0"))]
#[case::home_of_the_other("home of the other shard", kill("r1"))]
#[case::standby_home("standby home", kill("r2"))]
#[case::controller("controller", kill("c0"))]
#[case::owner_restarts("owner, restarted after 300 ms", Fault::Kill { node: node_ix("s0"), restart_after: Some(300 * MS) })]
#[case::home_restarts("home, restarted after 300 ms", Fault::Kill { node: node_ix("r0"), restart_after: Some(300 * MS) })]
#[case::owner_paused("owner, paused for 3 s", Fault::Pause { node: node_ix("s0"), span: 3_000 * MS })]
#[case::home_paused("home, paused for 3 s", Fault::Pause { node: node_ix("r0"), span: 3_000 * MS })]
#[case::data_centre_0("data centre 0", Fault::KillDataCentre { data_centre: 0, restart_after: None })]
#[case::data_centre_1("data centre 1", Fault::KillDataCentre { data_centre: 1, restart_after: None })]
#[case::data_centre_2("data centre 2", Fault::KillDataCentre { data_centre: 2, restart_after: None })]
#[case::data_centre_3("data centre 3", Fault::KillDataCentre { data_centre: 3, restart_after: None })]
#[case::data_centre_5("data centre 5", Fault::KillDataCentre { data_centre: 5, restart_after: None })]
fn service_recovers_in_time_after_a_single_failure(
    #[case] name: &str,
    #[case] fault: Fault,
    #[values(false, true)] outage: bool,
) {
    let longest = (0..SEEDS)
        .map(|seed| longest_outage(seed, std::slice::from_ref(&fault), outage))
        .max();
    let longest = longest.unwrap_or(0);
    println!(
        "failure of {name}, store outage {outage}: not served for at most {} ms",
        longest / MS
    );
    assert!(
        longest <= RECOVERY_TARGET,
        "failure of {name}, store outage {outage}: not served for {} ms",
        longest / MS
    );
}

/// The standby home runs in the owner's data centre, which rule 1 of the ownership design permits,
/// so both fail together. The home may then pledge to keep an owner that has already failed, and
/// must withdraw the pledge.
#[rstest]
fn service_recovers_in_time_after_owner_and_standby_home_fail(#[values(false, true)] outage: bool) {
    let faults = [kill("s0"), kill("r2")];
    let longest = (0..SEEDS)
        .map(|seed| longest_outage(seed, &faults, outage))
        .max();
    let longest = longest.unwrap_or(0);
    println!(
        "failure of owner and standby home, store outage {outage}: not served for at most {} ms",
        longest / MS
    );
    assert!(
        longest <= RECOVERY_TARGET,
        "store outage {outage}: not served for {} ms",
        longest / MS
    );
}
