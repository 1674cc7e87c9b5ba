//! Requests and answers as a router handles them, independent of the protocol.

use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::Time;
use carawayrill_core::token::Token;
use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;

/// A validated request of a caller, with the shard of its key.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identifier, created by the entry router.
    pub id: RequestId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The shard of the request's key.
    pub shard: ShardId,
    /// The hash of the request's key.
    pub key: KeyHash,
    /// The HTTP method.
    pub method: Method,
    /// The path and the query as the caller sent them.
    pub path_and_query: CompactString,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The deadline, on this router's monotonic clock.
    pub deadline: Time,
    /// The idempotency key of a request that must not run twice.
    pub idempotency_key: Option<CompactString>,
    /// The identity of the caller, for fair queueing.
    pub caller: CompactString,
    /// The authority of another home, if that has forwarded the request here to send it to a server
    /// that it has just activated.
    pub on_behalf: Option<OnBehalf>,
}

/// The authority of another home, under which a request is sent to a server of this home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnBehalf {
    /// The server that the other home activated.
    pub server: ServerId,
    /// The other home's token.
    pub token: Token,
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Whether the request has run, as far as known.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers of the server's answer.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The reason of a refusal; none for a server's own answer.
    pub reason: Option<RefusalReason>,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// The server that answered.
    pub server: Option<ServerId>,
    /// The token that the request was sent under.
    pub token: Option<Token>,
    /// The home of the shard, if the refusing router is not the home and knows it.
    pub home_hint: Option<RouterId>,
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
        let json = HeaderValue::from_static("application/json");
        Self {
            outcome: refusal.outcome(),
            status: refusal.status(),
            headers: HeaderMap::from_iter([(http::header::CONTENT_TYPE, json)]),
            body: body.into(),
            reason: Some(refusal.reason),
            retry_after: refusal.retry_after,
            server: None,
            token: None,
            home_hint: None,
        }
    }
}

impl From<RefusalReason> for Answer {
    fn from(reason: RefusalReason) -> Self {
        Refusal::from(reason).into()
    }
}
