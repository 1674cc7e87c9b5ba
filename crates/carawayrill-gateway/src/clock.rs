//! The monotonic clock of the process.

use std::time::Duration;

use carawayrill_core::time::Time;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since boot, including time in suspend.
///
/// Leases and grants also expire while the machine is suspended. With a clock that stops in
/// suspend, a process could act on an expired lease or grant.
#[must_use]
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => Time(millis_of(&Duration::from(at))),
        Err(err) => {
            log::error!("could not read the boot-time clock: {err}");
            Time(0)
        }
    }
}

fn millis_of(at: &Duration) -> u64 {
    carawayrill_core::time::millis(*at)
}
