//! A limit on the bytes that a process holds for callers and servers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use quick_error::quick_error;

quick_error! {
    /// There is no memory for more bytes.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NoMemory {
        /// The limit is reached.
        LimitReached {
            display("too many bytes are buffered")
        }
    }
}

/// The bytes that are held, and how many may be.
#[derive(Debug)]
pub(crate) struct BufferLimit {
    bytes: AtomicUsize,
    max_bytes: usize,
}

impl BufferLimit {
    /// Creates the limit of a front that may hold `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            max_bytes,
        })
    }

    /// Returns a holder of no bytes.
    pub(crate) fn hold(self: &Arc<Self>) -> HeldBytes {
        HeldBytes {
            limit: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Counts bytes towards a limit until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    limit: Arc<BufferLimit>,
    bytes: usize,
}

impl HeldBytes {
    /// Counts `bytes` more. They count also if the limit is exceeded, until they are released.
    ///
    /// # Errors
    ///
    /// Fails if all bytes together exceed the limit.
    pub(crate) fn add(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let before = self.limit.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        if bytes > 0 && before + bytes > self.limit.max_bytes {
            return Err(NoMemory::LimitReached);
        }
        Ok(())
    }

    /// Counts `bytes` in all, if it is more than before.
    ///
    /// # Errors
    ///
    /// Fails if all bytes together exceed the limit.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.add(bytes.saturating_sub(self.bytes))
    }

    /// Releases all bytes.
    pub(crate) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.limit.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}
