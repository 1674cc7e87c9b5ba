//! Reads the bodies of requests, within a limit on the bytes of all of them.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::buffer_limit::BufferLimit;
use crate::buffer_limit::NoMemory;
use crate::buffer_limit::Purpose;
use crate::forward::Reply;
use crate::held_data::HeldData;

/// The retry-after time of a request for whose body there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads the bodies of requests.
#[derive(Debug)]
pub(crate) struct BodyBuffer(Arc<BufferLimit>);

impl BodyBuffer {
    /// Creates a buffer whose bodies count towards `buffers`.
    pub(crate) fn new(buffers: Arc<BufferLimit>) -> Self {
        Self(buffers)
    }

    /// Reads a body of at most `limit` bytes. They count from the moment at which they are announced or
    /// arrive, since other bodies are read at the same time.
    ///
    /// # Errors
    ///
    /// Fails with the reply to the caller if the body is too long or breaks off, or if there is no
    /// memory for it.
    pub(crate) async fn read(&self, mut body: Incoming, limit: usize) -> Result<HeldData, Reply> {
        let too_long = || Reply::local(StatusCode::PAYLOAD_TOO_LARGE, "body-too-long", None);
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > limit {
            return Err(too_long());
        }
        let mut held = self.0.hold(Purpose::RequestBody);
        held.grow_to(announced)?;
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
            held.grow_to(bytes)?;
            buf.extend_from_slice(&data);
        }
        Ok(HeldData::new(buf.freeze(), held))
    }
}

impl From<NoMemory> for Reply {
    fn from(_: NoMemory) -> Self {
        let after = Some(NO_MEMORY_RETRY_AFTER);
        Self::local(StatusCode::SERVICE_UNAVAILABLE, "no-memory", after)
    }
}
