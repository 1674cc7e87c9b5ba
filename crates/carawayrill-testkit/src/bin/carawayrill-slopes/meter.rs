//! Readings of this process: memory in use and processor time.

use std::fs;
use std::hint::black_box;

use nix::sys::resource::UsageWho;
use nix::sys::resource::getrusage;

/// Bytes in one KiB, the unit of the kernel's figures.
const BYTES_PER_KIB: f64 = 1_024.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Runs of a short piece of work before its time is taken.
const WARM_UP_RUNS: usize = 3;

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or(0.0) * BYTES_PER_KIB
}

/// Returns the processor time that this process has used, in microseconds.
pub fn cpu_time() -> f64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else {
        return 0.0;
    };
    let micros = |time: nix::sys::time::TimeVal| {
        time.tv_sec() as f64 * MICROS_PER_SECOND
            + f64::from(i32::try_from(time.tv_usec()).unwrap_or(0))
    };
    micros(usage.user_time()) + micros(usage.system_time())
}

/// Returns the bytes that what `build` makes takes in memory.
pub fn memory_of<T>(build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let made = black_box(build());
    let after = resident_bytes();
    drop(black_box(made));
    after - before
}

/// Returns the processor time of one run of `work`, in microseconds, over `runs` runs.
pub fn cpu_time_of<T>(runs: usize, mut work: impl FnMut() -> T) -> f64 {
    for _ in 0..WARM_UP_RUNS.min(runs) {
        black_box(work());
    }
    let before = cpu_time();
    for _ in 0..runs {
        black_box(work());
    }
    (cpu_time() - before) / runs as f64
}
