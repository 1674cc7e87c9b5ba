//! What was sent, answered and run, with the time of each.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The lines of `record.txt`.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn add(&self, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.began.elapsed(), text.into()));
    }

    /// Returns all lines.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().unwrap().clone()
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let mut file = std::fs::File::create(path).expect("a file");
        for (at, text) in self.lines() {
            writeln!(file, "{:>9.3} s  {text}", at.as_secs_f64()).expect("a file");
        }
    }
}
