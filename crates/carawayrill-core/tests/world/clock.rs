//! Simulated time, and the clocks of processes.

use carawayrill_core::time::ServerTime;
use carawayrill_core::time::Time;

/// Simulated time in microseconds.
pub type Micros = u64;

/// One millisecond of simulated time.
pub const MS: Micros = 1_000;

/// The clock of one process. It starts at `offset` milliseconds and drifts by `ppm`.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    pub started_at: Micros,
    pub offset: u64,
    pub ppm: i64,
}

impl Clock {
    fn reading(&self, now: Micros) -> u64 {
        let passed = i128::from(now.saturating_sub(self.started_at));
        let drifted = passed * i128::from(1_000_000 + self.ppm) / 1_000_000;
        self.offset + u64::try_from(drifted).unwrap_or(0) / MS
    }

    pub fn local(&self, now: Micros) -> Time {
        Time(self.reading(now))
    }

    pub fn server(&self, now: Micros) -> ServerTime {
        ServerTime(self.reading(now))
    }
}
