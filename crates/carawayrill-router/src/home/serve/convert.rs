//! Conversions of answers and claims between core types, router messages and wire types.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::Error;
use carawayrill_core::answer::claims::Claim;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::ClaimState;
use carawayrill_core::answer::claims::Fingerprint;
use carawayrill_core::answer::claims::IdempotencyKey;
use carawayrill_core::answer::reply::Answer;
use carawayrill_core::answer::reply::AnswerHeader;
use carawayrill_core::answer::reply::Reply;
use carawayrill_core::id::KeyHash;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::millis;
use carawayrill_proto::wire;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::message;

/// The wire name of the state of a claim whose request has not run. The receiver drops such a
/// claim.
const STATE_NOT_RUN: &str = "not-run";

/// Converts HTTP headers to core headers.
#[must_use]
pub fn headers_to_core(headers: &HeaderMap) -> Vec<AnswerHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| AnswerHeader {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

fn headers_from_core(headers: &[AnswerHeader]) -> HeaderMap {
    let pair = |header: &AnswerHeader| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(header.value.clone()).ok()?;
        Some((name, value))
    };
    headers.iter().filter_map(pair).collect()
}

/// Converts the final reply to a request to a router message.
#[must_use]
pub fn reply_to_message(reply: Reply) -> message::Answer {
    match reply {
        Reply::Refused(refusal) => refusal.into(),
        Reply::Answer(answer) => message::Answer {
            outcome: Outcome::Done,
            status: answer.status,
            headers: headers_from_core(&answer.headers),
            body: answer.body.clone(),
            reason: None,
            retry_after: None,
            server: Some(answer.server.clone()),
            token: Some(answer.token),
            home_hint: None,
        },
    }
}

/// Converts a claim to its wire type. `None` stands for a claim whose request has not run.
#[must_use]
pub fn claim_to_wire(key: &ClaimKey, claim: Option<Claim>) -> wire::Claim {
    let message = wire::Claim {
        service: key.shard.service.to_string(),
        shard: key.shard.to_string(),
        idempotency_key: key.idempotency.as_str().to_owned(),
        key_hash: key.key.0,
        state: STATE_NOT_RUN.to_owned(),
        ..wire::Claim::default()
    };
    let Some(claim) = claim else {
        return message;
    };
    let message = wire::Claim {
        body_hash: claim.fingerprint.0,
        left_ms: millis(claim.left),
        state: state_name(&claim.state).to_owned(),
        ..message
    };
    match claim.state {
        ClaimState::Answered(answer) => with_answer(message, &answer),
        _ => message,
    }
}

fn with_answer(message: wire::Claim, answer: &Answer) -> wire::Claim {
    let header = |header: &AnswerHeader| wire::Header {
        name: header.name.to_string(),
        value: header.value.clone(),
    };
    wire::Claim {
        status: u32::from(answer.status),
        headers: answer.headers.iter().map(header).collect(),
        body: answer.body.clone(),
        server: answer.server.to_string(),
        token: answer.token.to_string(),
        ..message
    }
}

const fn state_name(state: &ClaimState) -> &'static str {
    match state {
        ClaimState::InProgress => "in-progress",
        ClaimState::Answered(_) => "done",
        ClaimState::NotKept => "not-kept",
        ClaimState::Lost => "unknown",
    }
}

/// Converts a claim from its wire type. Returns its key, and `None` for the claim if its request has
/// not run.
///
/// # Errors
///
/// Fails if a field is malformed.
pub fn claim_from_wire(claim: wire::Claim) -> Result<(ClaimKey, Option<Claim>), Error> {
    let key = ClaimKey {
        shard: claim.shard.parse()?,
        key: KeyHash(claim.key_hash),
        idempotency: IdempotencyKey::try_from(claim.idempotency_key.as_str())?,
    };
    let fingerprint = Fingerprint(claim.body_hash);
    let left = Duration::from_millis(claim.left_ms);
    let state = match claim.state.as_str() {
        STATE_NOT_RUN => return Ok((key, None)),
        "in-progress" => ClaimState::InProgress,
        "done" => ClaimState::Answered(Arc::new(answer_from_wire(claim)?)),
        "not-kept" => ClaimState::NotKept,
        "unknown" => ClaimState::Lost,
        other => return Err(Error::syntax("ClaimState", other, "the state of a claim")),
    };
    let claim = Claim {
        key: key.clone(),
        fingerprint,
        state,
        left,
    };
    Ok((key, Some(claim)))
}

fn answer_from_wire(claim: wire::Claim) -> Result<Answer, Error> {
    let status = u16::try_from(claim.status)
        .map_err(|_err| Error::syntax("Status", &claim.status.to_string(), "an HTTP status"))?;
    let header = |header: wire::Header| AnswerHeader {
        name: header.name.into(),
        value: header.value,
    };
    Ok(Answer {
        status,
        headers: claim.headers.into_iter().map(header).collect(),
        body: claim.body,
        server: claim.server.parse()?,
        token: claim.token.parse()?,
    })
}
