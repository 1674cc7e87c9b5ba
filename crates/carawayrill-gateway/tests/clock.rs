//! Tests the clock of a process.

use std::time::Duration;

use carawayrill_core::time::Time;
use carawayrill_gateway::clock;

/// A crash that another front reports may be older than this machine.
#[test]
fn times_before_the_boot_of_the_machine_can_be_told_apart() {
    let hour_ago = clock::now() - Duration::from_hours(1);
    let before = hour_ago - Duration::from_secs(1);
    assert!(before < hour_ago);
    assert!(before > Time(0) + Duration::from_hours(20));
}
