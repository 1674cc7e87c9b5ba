//! Memory and processor time of this process.

use std::fs;
use std::hint::black_box;

use nix::sys::resource::UsageWho;
use nix::sys::resource::getrusage;

/// Bytes per KiB, the unit of `/proc/self/status`.
const BYTES_PER_KIB: f64 = 1_024.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Number of warm-up runs before a measurement.
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

/// Returns the growth of the resident memory while the value of `build` is alive, in bytes.
pub fn memory_of<T>(build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let made = black_box(build());
    let after = resident_bytes();
    drop(black_box(made));
    after - before
}

/// Returns the mean processor time of `work` over `runs` runs, in microseconds.
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
