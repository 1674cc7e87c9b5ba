//! Reads the requests that a stand-in server receives and builds its responses.

use std::time::Duration;
use std::time::Instant;

use carawayrill_core::data;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::server;
use carawayrill_core::token::Token;
use compact_str::CompactString;
use poem::Request;
use poem::Response;
use poem::ResponseBuilder;
use poem::http::StatusCode;

use crate::serve;

/// The header with the id of a request. Each response repeats it.
pub(crate) const REQUEST: &str = "x-carawayrill-request";
/// The header with the reason why a request was refused without being run.
pub(crate) const REFUSED: &str = "x-carawayrill-refused";
/// The timeout of a request without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

data! {
    /// The body of a server's response to a request that ran to completion.
    pub struct ResponseBody {
        /// The server that ran the request.
        pub server: ServerId,
        /// The service that the request is for.
        pub service: CompactString,
        /// The path and query of the request.
        pub path: CompactString,
        /// The fencing token of the request; empty if none.
        pub token: CompactString,
        /// The id of the request.
        pub request: CompactString,
        /// The hash of the request body, as 16 hex digits.
        pub body_hash: CompactString,
        /// The number of requests that this server had started before this one.
        pub run: u64,
    }
}

/// A received request.
#[derive(Debug, Clone)]
pub(crate) struct IncomingRequest {
    pub(crate) request: CompactString,
    pub(crate) service: CompactString,
    pub(crate) shard: Option<ShardId>,
    pub(crate) token: Option<Token>,
    pub(crate) path: CompactString,
    pub(crate) idempotency_key: Option<CompactString>,
    pub(crate) body_hash: KeyHash,
    pub(crate) deadline: Instant,
}

/// Reads a request with its whole body. Returns a 400 response if the body can't be read.
pub(crate) async fn receive(mut req: Request) -> Result<IncomingRequest, Response> {
    let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|err| serve::text(StatusCode::BAD_REQUEST, &err.to_string()))?;
    let deadline = header(&req, "x-carawayrill-deadline-ms")
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let path = req.uri().path_and_query();
    Ok(IncomingRequest {
        request: header(&req, REQUEST).unwrap_or_default(),
        service: header(&req, "x-carawayrill-service").unwrap_or_default(),
        shard: header(&req, "x-carawayrill-shard").and_then(|text| text.parse().ok()),
        token: header(&req, "x-carawayrill-token").and_then(|text| text.parse().ok()),
        path: path.map_or_else(CompactString::default, |path| path.as_str().into()),
        idempotency_key: header(&req, "idempotency-key"),
        body_hash: KeyHash::of(&body),
        deadline: Instant::now() + deadline,
    })
}

fn header(req: &Request, name: &str) -> Option<CompactString> {
    req.header(name).map(CompactString::from)
}

/// The reason why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    Fenced,
    NoGrant,
    Shed,
    Draining,
    Deadline,
    Cancelled,
}

impl From<server::Refusal> for Refusal {
    fn from(refusal: server::Refusal) -> Self {
        match refusal {
            server::Refusal::Fenced => Self::Fenced,
            server::Refusal::NoGrant => Self::NoGrant,
        }
    }
}

impl Refusal {
    /// Returns the value of the [`REFUSED`] header.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::NoGrant => "no-grant",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
        }
    }

    fn status(self) -> u16 {
        match self {
            Self::Fenced | Self::NoGrant => 409,
            Self::Shed | Self::Draining => 503,
            Self::Deadline => 504,
            Self::Cancelled => 499,
        }
    }
}

/// Starts a response to the request with the id `request`.
pub(crate) fn response_builder(status: u16, request: &str) -> ResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::builder().status(status).header(REQUEST, request)
}

/// Returns the response to a request that was refused.
pub(crate) fn refuse(refusal: Refusal, request: &str) -> Response {
    response_builder(refusal.status(), request)
        .header(REFUSED, refusal.code())
        .finish()
}
