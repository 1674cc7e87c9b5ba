//! The one limit on the bytes that a process holds for callers and servers.
//!
//! Bytes count from the moment at which they are announced or read until the last copy of them is
//! dropped: a request until no server reads it any more, a response until its caller has read it.
//! Requests may take a part of the limit only. A request that finds no room is refused and can be sent
//! to another front, but a response that finds none is lost after its server has run the request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use quick_error::quick_error;
use tokio::sync::Notify;

/// The share of the limit up to which request bodies are accepted.
const REQUEST_SHARE: f64 = 0.6;
/// The share of the limit up to which bodies of responses are read without a wait for room. Heads, which
/// can't wait, have the rest.
const RESPONSE_SHARE: f64 = 0.9;
/// The share of the limit from which on callers that read slowly are cut off.
const PRESSURE_SHARE: f64 = 0.5;
/// The time that every caller has to read a response.
const MIN_DELIVERY_TIME: Duration = Duration::from_secs(1);
/// How long a response waits for room, which slow callers that are cut off leave. Servers bear a
/// connection that isn't read for as long.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(1_500);

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

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The body of a request.
    RequestBody,
    /// The head of a response that is being read.
    ResponseHead,
    /// The body of a response.
    ResponseBody,
}

impl Purpose {
    /// Returns the name in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::RequestBody => "request-body",
            Self::ResponseHead => "response-head",
            Self::ResponseBody => "response-body",
        }
    }
}

/// The bytes that are held, and how many may be.
#[derive(Debug)]
pub struct BufferLimit {
    bytes: AtomicUsize,
    max_bytes: usize,
    by_purpose: IntGaugeVec,
    released: Notify,
}

impl BufferLimit {
    /// Creates the limit of a front that may hold `max_bytes`. `by_purpose` shows them.
    #[must_use]
    pub fn new(max_bytes: usize, by_purpose: IntGaugeVec) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            max_bytes,
            by_purpose,
            released: Notify::new(),
        })
    }

    /// Returns a holder of no bytes.
    pub(crate) fn hold(self: &Arc<Self>, purpose: Purpose) -> HeldBytes {
        let max_bytes = match purpose {
            Purpose::RequestBody => self.share(REQUEST_SHARE),
            Purpose::ResponseBody => self.share(RESPONSE_SHARE),
            Purpose::ResponseHead => self.max_bytes,
        };
        HeldBytes {
            limit: Arc::clone(self),
            gauge: self.by_purpose.with_label_values(&[purpose.label()]),
            max_bytes,
            bytes: 0,
        }
    }

    /// Returns how long callers may take to read a response, or `None` while there is room. The time
    /// falls with the room, so that the callers that have taken longest are cut off first. `longest`
    /// is the time at the onset.
    pub(crate) fn max_delivery_time(&self, longest: Duration) -> Option<Duration> {
        let used = self.bytes.load(Ordering::Relaxed);
        if used <= self.share(PRESSURE_SHARE) {
            return None;
        }
        let room = self.share(RESPONSE_SHARE).saturating_sub(used) as f64 / self.max_bytes as f64;
        let time = longest.mul_f64(room / (RESPONSE_SHARE - PRESSURE_SHARE));
        Some(time.max(MIN_DELIVERY_TIME))
    }

    /// Returns the most bytes that one response may take: with more there would be no room for another
    /// one, and nothing to wait for.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.share(RESPONSE_SHARE / 2.0)
    }

    fn share(&self, share: f64) -> usize {
        let bytes = carawayrill_core::time::floor_to_u64(self.max_bytes as f64 * share);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }
}

/// Counts bytes towards a limit until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    limit: Arc<BufferLimit>,
    gauge: IntGauge,
    /// The most bytes of all purposes together with which bytes of this purpose are accepted.
    max_bytes: usize,
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
        self.gauge.add(gauge_value(bytes));
        self.bytes += bytes;
        if bytes > 0 && before + bytes > self.max_bytes {
            return Err(NoMemory::LimitReached);
        }
        Ok(())
    }

    /// Waits until there is room for `bytes` more, and counts them.
    ///
    /// # Errors
    ///
    /// Fails if there is no room in time. The bytes are not counted then.
    pub(crate) async fn add_with_room(&mut self, bytes: usize) -> Result<(), NoMemory> {
        if self.try_add(bytes) {
            return Ok(());
        }
        let limit = Arc::clone(&self.limit);
        let added = tokio::time::timeout(MAX_ROOM_WAIT, async {
            loop {
                let released = limit.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                if self.try_add(bytes) {
                    return;
                }
                released.await;
            }
        });
        added.await.map_err(|_elapsed| NoMemory::LimitReached)
    }

    /// Counts `bytes` more if there is room for them.
    fn try_add(&mut self, bytes: usize) -> bool {
        let max_bytes = self.max_bytes;
        let counted = &self.limit.bytes;
        let added = counted.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(bytes).filter(|sum| *sum <= max_bytes)
        });
        if added.is_ok() {
            self.gauge.add(gauge_value(bytes));
            self.bytes += bytes;
        }
        added.is_ok()
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
        self.gauge.sub(gauge_value(bytes));
        self.limit.released.notify_waiters();
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}

fn gauge_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
