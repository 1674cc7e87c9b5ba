//! Standard output as a bounded buffer that never blocks the writer.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The most bytes that wait to be written.
const MAX_WAITING_BYTES: usize = 512 << 10;
/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    /// Whether lines are being written.
    writing: bool,
}

impl Waiting {
    fn is_done(&self) -> bool {
        self.bytes.is_empty() && self.left_out == 0 && !self.writing
    }
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    filled: Condvar,
    written: Condvar,
}

/// The writing end.
///
/// Each call of `write` is one whole line. A line for which there is no room is left out and
/// counted; the count is written as a line of its own once there is room again.
#[derive(Debug, Clone)]
pub(crate) struct BoundedStdout {
    shared: Arc<Shared>,
}

impl BoundedStdout {
    /// Starts the thread that writes.
    pub(crate) fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let drained = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || drain(&drained))?;
        Ok(Self { shared })
    }

    /// Waits until all lines are written, at most this long.
    pub(crate) fn flush_within(&self, most: Duration) {
        let lock = &self.shared.waiting;
        let waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let done = self
            .shared
            .written
            .wait_timeout_while(waiting, most, |waiting| !waiting.is_done());
        drop(done.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Write for BoundedStdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let lock = &self.shared.waiting;
        let mut waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + buf.len() > MAX_WAITING_BYTES {
            waiting.left_out += 1;
            return Ok(buf.len());
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(buf);
        drop(waiting);
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, over and over, until standard output is closed.
fn drain(shared: &Shared) {
    loop {
        let lock = shared
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let filled = shared
            .filled
            .wait_while(lock, |waiting| waiting.bytes.is_empty());
        drop(filled.unwrap_or_else(PoisonError::into_inner));
        thread::sleep(GATHER);
        if write_all(shared).is_err() {
            return;
        }
    }
}

fn write_all(shared: &Shared) -> io::Result<()> {
    let taken = {
        let mut lock = shared
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *lock);
        lock.writing = true;
        taken
    };
    let result = write_out(&taken);
    let mut lock = shared
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    lock.writing = false;
    drop(lock);
    shared.written.notify_all();
    result
}

fn write_out(taken: &Waiting) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(&taken.bytes)?;
    if taken.left_out > 0 {
        let left_out = taken.left_out;
        writeln!(out, "{{\"event\":\"lines_left_out\",\"count\":{left_out}}}")?;
    }
    out.flush()
}
