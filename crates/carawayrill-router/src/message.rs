//! Requests and answers as they pass through a router.

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

/// A caller's request, checked and with its shard known.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its identifier, made by the entry router.
    pub id: RequestId,
    /// The service it is for.
    pub service: ServiceId,
    /// The shard of its key.
    pub shard: ShardId,
    /// The hash of its key.
    pub key: KeyHash,
    /// Its HTTP method.
    pub method: Method,
    /// Its path and query as the caller sent them.
    pub path_and_query: CompactString,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// When the caller gives up, on this router's clock.
    pub deadline: Time,
    /// Marks a request that may not run twice.
    pub idempotency_key: Option<CompactString>,
    /// Tells callers apart for fairness.
    pub caller: CompactString,
    /// Set if another home sends this request here for a server that it has just activated.
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
    /// What is known of the request's run.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers of the server's answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Why there is no answer of a server; none for a server's own answer.
    pub reason: Option<RefusalReason>,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
    /// The server that answered.
    pub server: Option<ServerId>,
    /// The token that the request was sent under.
    pub token: Option<Token>,
    /// The home that the refusing router knows of.
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
