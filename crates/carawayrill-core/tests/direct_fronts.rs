//! The number of fronts, by which shared limits are divided, and what depends on it.

use std::time::Duration;

use carawayrill_core::direct::fronts::FrontCount;
use carawayrill_core::direct::fronts::waits_longer;
use carawayrill_core::time::Time;
use rstest::rstest;

#[test]
fn a_lower_front_count_from_a_new_granter_is_applied_only_after_a_delay() {
    let mut fronts = FrontCount::new(12, Duration::from_secs(10), Time(0));
    fronts.update(10, Time(1_000));
    for ms in (1_000..13_000).step_by(300) {
        fronts.update(10, Time(ms));
        assert_eq!(fronts.get(), 12);
    }
    fronts.update(10, Time(13_001));
    assert_eq!(fronts.get(), 10);
    // Another front has become the granter, and no front has connected to it yet.
    for ms in (14_000..20_000).step_by(300) {
        fronts.update(1, Time(ms));
    }
    assert_eq!(fronts.get(), 10);
    fronts.update(11, Time(20_000));
    assert_eq!(fronts.get(), 11);
}

#[rstest]
#[case::strong_of_many(Some(295), 0.5, false)]
#[case::weak_of_many(Some(295), 0.1, true)]
#[case::weak_of_few(Some(11), 0.1, false)]
#[case::of_unknown_number(None, 0.1, false)]
fn only_the_weak_fronts_of_a_large_fleet_wait_longer(
    #[case] fronts: Option<u32>,
    #[case] cores: f64,
    #[case] waits: bool,
) {
    assert_eq!(waits_longer(fronts, cores, 0.5), waits);
}
