//! What all HTTP clients of stores share: limits, and how a failed call's fate is told.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;

use crate::Error;

/// The time within which a connection has to be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// The time between two probes of a connection on which nothing happens.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The probes without an answer after which a connection counts as dead.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a client that connects to stated addresses only: no proxy, no redirect. Connections that
/// fall silent are noticed also while a call waits.
///
/// # Errors
///
/// Fails if no HTTP client can be made.
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

/// Tells a call that can't have been sent from one that may have been.
///
/// Only a failure to connect proves that nothing was sent. A timeout proves nothing, even if it
/// may have run out while connecting.
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

/// Reads the whole body, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body breaks off or is longer.
pub async fn read_body(mut resp: Response, limit: usize) -> Result<Bytes, Error> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = resp.chunk().await.map_err(|err| body_error(&err))? {
        if buf.len() + chunk.len() > limit {
            return Err(Error::malformed(format!("more than {limit} bytes")));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Returns the error of an answer that began and did not end.
fn body_error(err: &reqwest::Error) -> Error {
    Error::no_response(describe(err))
}

/// Returns the error for a status that the protocol does not give to this call.
///
/// A 503 is the agreed sign that the system did not take the call, a 429 that too many calls were
/// made; all others leave it open.
#[must_use]
pub fn status_error(status: StatusCode) -> Error {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Error::unavailable("status 503"),
        StatusCode::TOO_MANY_REQUESTS => Error::unavailable("status 429"),
        StatusCode::PAYLOAD_TOO_LARGE => Error::unavailable("status 413"),
        other => Error::malformed(format!("unexpected status {other}")),
    }
}
