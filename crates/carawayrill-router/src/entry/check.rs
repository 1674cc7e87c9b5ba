//! Validation of a caller's HTTP request, one function for each part.
//!
//! The results make up a [`Request`](crate::message::Request).

use std::time::Duration;

use bytes::Bytes;
use carawayrill_config::deployment::Deployment;
use carawayrill_config::deployment::KeySource;
use carawayrill_config::deployment::Repeat;
use carawayrill_config::deployment::Service;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServiceId;
use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;

/// The header with the time limit of a request in milliseconds.
pub const DEADLINE_HEADER: &str = "x-carawayrill-deadline-ms";
/// The header with the idempotency key of a request that must not run twice.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Returns the service that the first segment of the path names.
///
/// # Errors
///
/// Fails if there is no service of that name.
pub fn service<'a>(deployment: &'a Deployment, uri: &Uri) -> Result<&'a Service, RefusalReason> {
    let name = segments(uri).next().ok_or(RefusalReason::UnknownService)?;
    let id = ServiceId::try_from(name).map_err(|_err| RefusalReason::UnknownService)?;
    deployment.service(&id).ok_or(RefusalReason::UnknownService)
}

fn segments(uri: &Uri) -> impl Iterator<Item = &str> {
    uri.path().split('/').filter(|segment| !segment.is_empty())
}

/// Extracts the key of a request and returns its hash.
///
/// # Errors
///
/// Fails if there is no key, or an empty one.
pub fn key(service: &Service, uri: &Uri, headers: &HeaderMap) -> Result<KeyHash, RefusalReason> {
    let found = match &service.key {
        KeySource::Header(name) => headers.get(name.as_str()).map(HeaderValue::as_bytes),
        KeySource::Query(name) => query_value(uri, name).map(str::as_bytes),
        KeySource::Path(index) => segments(uri).nth(*index as usize + 1).map(str::as_bytes),
    };
    let key = found
        .filter(|key| !key.is_empty())
        .ok_or(RefusalReason::NoKey)?;
    Ok(KeyHash::of(key))
}

/// Returns the value of a query parameter without decoding it. Two encodings of one value, such as
/// `a+b` and `a%20b`, are two keys; callers of a service have to use one encoding.
fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the time limit of a request, capped at the service's maximum.
///
/// # Errors
///
/// Fails if the header is not a positive integer.
pub fn time_limit(service: &Service, headers: &HeaderMap) -> Result<Duration, RefusalReason> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(service.default_deadline.0);
    };
    let text = value.to_str().map_err(|_err| RefusalReason::BadRequest)?;
    let limit: u64 = text.parse().map_err(|_err| RefusalReason::BadRequest)?;
    if limit == 0 {
        return Err(RefusalReason::BadRequest);
    }
    Ok(Duration::from_millis(limit).min(service.max_deadline.0))
}

/// Returns the idempotency key, if the request has one.
///
/// # Errors
///
/// Fails if the key is empty, too long or not ASCII text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<CompactString>, RefusalReason> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_err| RefusalReason::BadRequest)?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RefusalReason::BadRequest);
    }
    Ok(Some(text.into()))
}

/// Returns whether the service allows requests of this method to run more than once.
#[must_use]
pub fn is_repeatable(service: &Service, method: &Method) -> bool {
    match service.repeat {
        Repeat::All => true,
        Repeat::SafeMethods => *method == Method::GET || *method == Method::HEAD,
        Repeat::Never => false,
    }
}

/// Checks that a request that must not run twice has an idempotency key.
///
/// # Errors
///
/// Fails if the key is missing.
pub fn require_idempotency_key(
    service: &Service,
    method: &Method,
    key: Option<&CompactString>,
) -> Result<(), RefusalReason> {
    if key.is_none() && !is_repeatable(service, method) {
        return Err(RefusalReason::NoIdempotencyKey);
    }
    Ok(())
}

/// Checks a body against the service's limit and the announced length.
///
/// # Errors
///
/// Fails if the body is too large or differs from the announced length.
pub fn body(
    service: &Service,
    announced: Option<u64>,
    body: Bytes,
) -> Result<Bytes, RefusalReason> {
    let length = body.len() as u64;
    if length > service.max_body.0 {
        return Err(RefusalReason::TooLarge);
    }
    if announced.is_some_and(|announced| announced != length) {
        return Err(RefusalReason::Truncated);
    }
    Ok(body)
}
