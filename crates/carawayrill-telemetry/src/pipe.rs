//! A bounded buffer for standard output that never blocks the writer.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Maximum number of buffered bytes.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// How long lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    /// Whether a batch is being written.
    writing: bool,
}

impl Buffer {
    fn is_flushed(&self) -> bool {
        self.bytes.is_empty() && self.dropped_lines == 0 && !self.writing
    }
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
    flushed: Condvar,
}

/// The writing end of the buffer.
///
/// Each call of `write` must pass one complete line. A line that does not fit is dropped and
/// counted. The count is written as a separate line with the next batch.
#[derive(Debug, Clone)]
pub(crate) struct BoundedStdout {
    shared: Arc<Shared>,
}

impl BoundedStdout {
    /// Starts the thread that writes the buffer.
    pub(crate) fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let for_writer = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || write_loop(&for_writer))?;
        Ok(Self { shared })
    }

    /// Waits until all lines are written, for at most `timeout`.
    pub(crate) fn flush_within(&self, timeout: Duration) {
        let lock = &self.shared.buffer;
        let buffer = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let result = self
            .shared
            .flushed
            .wait_timeout_while(buffer, timeout, |buffer| !buffer.is_flushed());
        drop(result.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Write for BoundedStdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let lock = &self.shared.buffer;
        let mut buffer = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + buf.len() > MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
            return Ok(buf.len());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(buf);
        drop(buffer);
        if was_empty {
            self.shared.not_empty.notify_one();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the buffered lines in batches until standard output is closed.
fn write_loop(shared: &Shared) {
    loop {
        let lock = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let not_empty = shared
            .not_empty
            .wait_while(lock, |buffer| buffer.bytes.is_empty());
        drop(not_empty.unwrap_or_else(PoisonError::into_inner));
        thread::sleep(BATCH_INTERVAL);
        if write_batch(shared).is_err() {
            return;
        }
    }
}

fn write_batch(shared: &Shared) -> io::Result<()> {
    let batch = {
        let mut lock = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let batch = std::mem::take(&mut *lock);
        lock.writing = true;
        batch
    };
    let result = write_out(&batch);
    let mut lock = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    lock.writing = false;
    drop(lock);
    shared.flushed.notify_all();
    result
}

fn write_out(batch: &Buffer) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(&batch.bytes)?;
    if batch.dropped_lines > 0 {
        let dropped_lines = batch.dropped_lines;
        writeln!(
            out,
            "{{\"event\":\"lines_left_out\",\"count\":{dropped_lines}}}"
        )?;
    }
    out.flush()
}
