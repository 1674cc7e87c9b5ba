//! Conversions between wire types and the router's own types.

use std::time::Duration;

use carawayrill_core::Error;
use carawayrill_core::hlc::Stamp;
use carawayrill_core::id::Era;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_proto::wire;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;

use crate::message::Answer;
use crate::message::OnBehalf;
use crate::message::Request;

/// Returns the stamp of the hybrid logical clock for a message that is about to be sent.
#[must_use]
pub fn stamp() -> Option<wire::Stamp> {
    let stamp = carawayrill_telemetry::stamp();
    Some(wire::Stamp {
        wall: stamp.wall,
        count: stamp.count,
    })
}

/// Advances the hybrid logical clock by the stamp of a received message.
pub fn observe(stamp: Option<wire::Stamp>) {
    if let Some(stamp) = stamp {
        carawayrill_telemetry::observe(Stamp {
            wall: stamp.wall,
            count: stamp.count,
        });
    }
}

fn headers_to_wire(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        })
        .collect()
}

fn headers_from_wire(headers: Vec<wire::Header>) -> Result<HeaderMap, Error> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let bad = || Error::syntax("Header", &header.name, "a header name and value");
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_err| bad())?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_err| bad())?;
        map.append(name, value);
    }
    Ok(map)
}

/// Parses a text in which the empty string means `None`.
fn optional<T: std::str::FromStr>(text: &str) -> Result<Option<T>, T::Err> {
    if text.is_empty() {
        Ok(None)
    } else {
        text.parse().map(Some)
    }
}

fn text_of<T: ToString>(value: Option<&T>) -> String {
    value.map(T::to_string).unwrap_or_default()
}

/// Converts a request to its wire type. The deadline is sent as the time left from `now`.
#[must_use]
pub fn request_to_wire(req: &Request, now: Time) -> wire::ForwardRequest {
    wire::ForwardRequest {
        stamp: stamp(),
        request_id: req.id.to_string(),
        service: req.service.to_string(),
        shard: req.shard.to_string(),
        key_hash: req.key.0,
        method: req.method.to_string(),
        path_and_query: req.path_and_query.to_string(),
        headers: headers_to_wire(&req.headers),
        body: req.body.clone(),
        deadline_ms: millis(req.deadline.since(now)),
        idempotency_key: text_of(req.idempotency_key.as_ref()),
        caller: req.caller.to_string(),
        token: String::new(),
        generation: 0,
        on_behalf_token: text_of(req.on_behalf.as_ref().map(|on_behalf| &on_behalf.token)),
        on_behalf_server: text_of(req.on_behalf.as_ref().map(|on_behalf| &on_behalf.server)),
    }
}

/// Converts a request from its wire type. The time left until the deadline counts from `now`.
///
/// # Errors
///
/// Fails if an identifier, the method or a header is malformed.
pub fn request_from_wire(req: wire::ForwardRequest, now: Time) -> Result<Request, Error> {
    let method = Method::from_bytes(req.method.as_bytes())
        .map_err(|_err| Error::syntax("Method", &req.method, "an HTTP method"))?;
    let server = optional(&req.on_behalf_server)?;
    let token = optional(&req.on_behalf_token)?;
    Ok(Request {
        id: req.request_id.parse()?,
        service: req.service.parse()?,
        shard: req.shard.parse()?,
        key: KeyHash(req.key_hash),
        method,
        path_and_query: req.path_and_query.into(),
        headers: headers_from_wire(req.headers)?,
        body: req.body,
        deadline: now + Duration::from_millis(req.deadline_ms),
        idempotency_key: (!req.idempotency_key.is_empty())
            .then(|| CompactString::from(req.idempotency_key)),
        caller: req.caller.into(),
        on_behalf: server
            .zip(token)
            .map(|(server, token)| OnBehalf { server, token }),
    })
}

/// Converts an answer to its wire type.
#[must_use]
pub fn answer_to_wire(request_id: &str, answer: &Answer) -> wire::ForwardReply {
    wire::ForwardReply {
        stamp: stamp(),
        request_id: request_id.to_owned(),
        outcome: answer.outcome.to_string(),
        status: u32::from(answer.status),
        headers: headers_to_wire(&answer.headers),
        body: answer.body.clone(),
        reason: text_of(answer.reason.as_ref()),
        retry_after_ms: answer.retry_after.map_or(0, millis),
        server: text_of(answer.server.as_ref()),
        token: text_of(answer.token.as_ref()),
        home_hint: text_of(answer.home_hint.as_ref()),
    }
}

/// Converts an answer from its wire type.
///
/// # Errors
///
/// Fails if the outcome, the status, an identifier or a header is malformed.
pub fn answer_from_wire(reply: wire::ForwardReply) -> Result<Answer, Error> {
    let status = u16::try_from(reply.status)
        .map_err(|_err| Error::syntax("Status", &reply.status.to_string(), "an HTTP status"))?;
    let retry_after = Duration::from_millis(reply.retry_after_ms);
    Ok(Answer {
        outcome: reply.outcome.parse()?,
        status,
        headers: headers_from_wire(reply.headers)?,
        body: reply.body,
        reason: optional(&reply.reason)?,
        retry_after: (!retry_after.is_zero()).then_some(retry_after),
        server: optional(&reply.server)?,
        token: optional(&reply.token)?,
        home_hint: optional(&reply.home_hint)?,
    })
}

/// Converts changes of objects to their wire type.
#[must_use]
pub fn changes_to_wire(changes: Changes) -> wire::WatchReply {
    let objects = changes.objects.into_iter().map(|object| wire::Object {
        name: object.name.into(),
        version: object.version.0,
        value: object.value,
    });
    wire::WatchReply {
        stamp: stamp(),
        revision: changes.revision.0,
        objects: objects.collect(),
    }
}

/// Converts changes of objects from their wire type.
#[must_use]
pub fn changes_from_wire(reply: wire::WatchReply) -> Changes {
    let objects = reply.objects.into_iter().map(|object| Object {
        name: object.name.into(),
        version: Version(object.version),
        value: object.value,
    });
    Changes {
        era: Era::default(),
        revision: Revision(reply.revision),
        objects: objects.collect(),
    }
}
