//! Settings and error mapping shared by all HTTP clients of this crate.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;

use crate::Error;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// How long an unused connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Creates an HTTP client without proxies and redirects, so that it connects only to the given
/// addresses. Dead connections are detected even while a call waits for its response.
///
/// # Errors
///
/// Fails if the HTTP client can't be created.
pub fn new_client() -> Result<Client, Error> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .redirect(Policy::none())
        .no_proxy()
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .tcp_keepalive(PROBE_INTERVAL)
        .tcp_keepalive_interval(PROBE_INTERVAL)
        .tcp_keepalive_retries(MAX_UNANSWERED_PROBES)
        .build()
        .map_err(|err| Error::unavailable(err.to_string()))
}

/// Maps a failed call to an error that tells whether the call may have been sent.
///
/// Only a failure to connect proves that nothing was sent. A timeout proves nothing, even though it
/// may have expired while connecting.
#[must_use]
pub fn call_error(err: &reqwest::Error) -> Error {
    let reason = describe(err);
    if err.is_connect() || err.is_builder() {
        return Error::unavailable(reason);
    }
    Error::no_response(reason)
}

/// Returns the error with its causes, without the address.
fn describe(err: &reqwest::Error) -> String {
    let mut text = err.to_string();
    let mut source = std::error::Error::source(err);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body ends early or exceeds the limit.
pub async fn read_body(mut resp: Response, limit: usize) -> Result<Bytes, Error> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = resp.chunk().await.map_err(|err| body_error(&err))? {
        if buf.len() + chunk.len() > limit {
            return Err(Error::malformed(format!(
                "the body is longer than {limit} bytes"
            )));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Returns the error of a response that ended early.
fn body_error(err: &reqwest::Error) -> Error {
    Error::no_response(describe(err))
}

/// Returns the error for a status that the protocol does not define for this call.
///
/// Statuses 503 (not accepted), 429 (too many calls) and 413 (request too large) mean that the call
/// had no effect. Any other status leaves the outcome unknown.
#[must_use]
pub fn status_error(status: StatusCode) -> Error {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Error::unavailable("status 503"),
        StatusCode::TOO_MANY_REQUESTS => Error::unavailable("status 429"),
        StatusCode::PAYLOAD_TOO_LARGE => Error::unavailable("status 413"),
        other => Error::malformed(format!("unexpected status {other}")),
    }
}
