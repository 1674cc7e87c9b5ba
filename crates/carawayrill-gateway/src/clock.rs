//! The clock of a process.

use std::time::Duration;

use carawayrill_core::time::Time;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Reads the time since the machine started, suspended time included.
///
/// Leases and grants run on while a machine is suspended, so that a clock that stands still
/// meanwhile would let a process act on authority that has ended.
#[must_use]
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => Time(millis_of(&Duration::from(at))),
        Err(err) => {
            log::error!("the boot-time clock can't be read: {err}");
            Time(0)
        }
    }
}

fn millis_of(at: &Duration) -> u64 {
    carawayrill_core::time::millis(*at)
}
