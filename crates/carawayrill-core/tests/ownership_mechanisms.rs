//! Disables the safety mechanisms of ownership one at a time and checks that a violation is found.

mod world;

use carawayrill_core::ownership::limits::Mechanisms;
use rstest::rstest;

use crate::world::check::ViolationKind;
use crate::world::node::Setup;
use crate::world::scenario;
use crate::world::scenario::Scenario;
use crate::world::schedule;

/// Number of random schedules, at least one of which must show the missing mechanism.
const SEEDS: u64 = 600;

const ALL: Mechanisms = Mechanisms::ALL;

/// Mechanisms whose absence random schedules show.
#[rstest]
#[case::fence(Mechanisms { fence: false, ..ALL }, ViolationKind::TwoOwners)]
#[case::wait_for_grant_end(Mechanisms { wait_for_grant_end: false, ..ALL }, ViolationKind::TwoOwners)]
#[case::server_clock(Mechanisms { server_clock: false, ..ALL }, ViolationKind::TwoOwners)]
#[case::read_back(Mechanisms { read_back: false, ..ALL }, ViolationKind::LostAssignment)]
#[case::both_servers(Mechanisms { both_servers: false, ..ALL }, ViolationKind::TwoOwners)]
#[case::intent_blocks(Mechanisms { intent_blocks: false, ..ALL }, ViolationKind::TwoOwners)]
#[case::wait_for_authority(Mechanisms { wait_for_authority: false, ..ALL }, ViolationKind::TwoOwners)]
fn random_schedules_detect_a_missing_mechanism(
    #[case] mechanisms: Mechanisms,
    #[case] expected: ViolationKind,
) {
    let detected = (0..SEEDS).any(|seed| {
        let setup = Setup {
            mechanisms,
            ..schedule::setup(seed)
        };
        let broken = schedule::run(seed, setup, &schedule::plan(seed));
        broken.is_some_and(|(_, broken, _)| broken == expected)
    });
    assert!(
        detected,
        "no expected violation in {SEEDS} schedules with {mechanisms:?}"
    );
}

/// Mechanisms whose absence shows only when several faults coincide.
#[rstest]
#[case::bound_by_authority(Mechanisms { bound_by_authority: false, ..ALL }, scenario::home_and_server_cut_off())]
#[case::server_incarnation(Mechanisms { server_incarnation: false, ..ALL }, scenario::owner_forgets_the_takeover())]
#[case::home_incarnation(Mechanisms { home_incarnation: false, ..ALL }, scenario::home_forgets_the_failover())]
#[case::promise(Mechanisms { promise: false, ..ALL }, scenario::move_races_the_standby())]
#[case::check_before_send(Mechanisms { check_before_send: false, ..ALL }, scenario::paused_before_the_send())]
fn scenarios_detect_a_missing_mechanism(
    #[case] mechanisms: Mechanisms,
    #[case] scenario: Scenario,
) {
    assert_eq!(0, scenario.breaks(ALL), "with all mechanisms");
    assert_ne!(0, scenario.breaks(mechanisms), "with {mechanisms:?}");
}
