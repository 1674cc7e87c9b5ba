//! The monotonic clock of the process.

use std::time::Duration;

use carawayrill_core::time::Time;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// The reading at boot. Other machines tell of events as ages, and these may be older than this
/// machine.
const AT_BOOT: Time = Time(24 * 60 * 60 * 1_000);

/// Returns the time since a day before boot, including time in suspend.
///
/// Leases and grants also expire while the machine is suspended. With a clock that stops in
/// suspend, a process could act on an expired lease or grant.
#[must_use]
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => AT_BOOT + Duration::from(at),
        Err(err) => {
            log::error!("could not read the boot-time clock: {err}");
            AT_BOOT
        }
    }
}
