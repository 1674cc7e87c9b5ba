//! The number of fronts by which shared limits are divided.

use carawayrill_core::direct::fronts::FrontCount;
use carawayrill_core::time::Time;

#[test]
fn a_lower_front_count_from_a_new_granter_is_applied_only_after_a_delay() {
    let mut fronts = FrontCount::new(12, Time(0));
    fronts.update(10, Time(1_000));
    assert_eq!(fronts.get(), 12);
    fronts.update(10, Time(13_000));
    assert_eq!(fronts.get(), 10);
    // Another front has become the granter, and no front has connected to it yet.
    for ms in (14_000..20_000).step_by(300) {
        fronts.update(1, Time(ms));
    }
    assert_eq!(fronts.get(), 10);
    fronts.update(11, Time(20_000));
    assert_eq!(fronts.get(), 11);
}
