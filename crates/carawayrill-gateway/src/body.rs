//! Reads the bodies of requests, within a limit on the bytes of all of them.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::forward::Reply;

/// The retry-after time of a request for whose body there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The bytes of the bodies that are being read or held.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: AtomicUsize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates the count of a front that may hold `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            max_bytes,
        }
    }

    /// Reads a body of at most `limit` bytes. They count from the moment at which they are announced or
    /// arrive, since other bodies are read at the same time, until the second value is dropped.
    ///
    /// # Errors
    ///
    /// Fails with the reply to the caller if the body is too long or breaks off, or if there is no
    /// memory for it.
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<(Bytes, BufferedBytes<'_>), Reply> {
        let too_long = || Reply::local(StatusCode::PAYLOAD_TOO_LARGE, "body-too-long", None);
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > limit {
            return Err(too_long());
        }
        let mut buffered = BufferedBytes::new(self, announced)?;
        let mut buf = BytesMut::with_capacity(announced);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| {
                log::debug!("could not read a request body: {err}");
                Reply::local(StatusCode::BAD_REQUEST, "body-broken-off", None)
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let bytes = buf.len() + data.len();
            if bytes > limit {
                return Err(too_long());
            }
            buffered.grow_to(bytes)?;
            buf.extend_from_slice(&data);
        }
        Ok((buf.freeze(), buffered))
    }
}

/// The bytes of a body exceed the limit on buffered bytes.
#[derive(Debug)]
struct NoMemory;

impl From<NoMemory> for Reply {
    fn from(_: NoMemory) -> Self {
        let after = Some(NO_MEMORY_RETRY_AFTER);
        Self::local(StatusCode::SERVICE_UNAVAILABLE, "no-memory", after)
    }
}

/// Counts the bytes of one body until it is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBytes<'a> {
    buffer: &'a BodyBuffer,
    bytes: usize,
}

impl<'a> BufferedBytes<'a> {
    /// Counts some bytes.
    fn new(buffer: &'a BodyBuffer, bytes: usize) -> Result<Self, NoMemory> {
        let mut buffered = Self { buffer, bytes: 0 };
        buffered.grow_to(bytes)?;
        Ok(buffered)
    }

    /// Counts `bytes` in all, if it is more than before.
    fn grow_to(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let added = bytes.saturating_sub(self.bytes);
        let before = self.buffer.bytes.fetch_add(added, Ordering::Relaxed);
        self.bytes += added;
        if added > 0 && before + added > self.buffer.max_bytes {
            return Err(NoMemory);
        }
        Ok(())
    }
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        self.buffer.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
