//! The HTTP endpoint for callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use cadence::Counted;
use cadence::Histogrammed;
use carawayrill_config::deployment::Deployment;
use carawayrill_config::deployment::Service;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::RequestId;
use carawayrill_core::time::Time;
use compact_str::CompactString;
use compact_str::ToCompactString;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use poem::Body;
use poem::Endpoint;
use poem::Response;

use crate::context::Context;
use crate::entry::callers::CallerConnections;
use crate::entry::check;
use crate::entry::forward;
use crate::entry::unavailable::ShardUnavailability;
use crate::headers;
use crate::home::Home;
use crate::message::Answer;
use crate::message::Request;

/// The path of the readiness check of the platform's load balancer.
pub const READY_PATH: &str = "/carawayrill/ready";

/// The HTTP endpoint of the entry role.
#[derive(Debug, Clone)]
pub struct Entry {
    cx: Arc<Context>,
    home: Arc<Home>,
    callers: CallerConnections,
    unavailable: ShardUnavailability,
}

/// Counts a request as in flight until dropped.
struct InFlight<'a>(&'a Context);

impl<'a> InFlight<'a> {
    fn new(cx: &'a Context) -> Self {
        cx.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(cx)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Entry {
    /// Creates the endpoint.
    #[must_use]
    pub fn new(cx: Arc<Context>, home: Arc<Home>) -> Self {
        Self {
            cx,
            home,
            callers: CallerConnections::default(),
            unavailable: ShardUnavailability::default(),
        }
    }

    /// Returns the tracked connections of callers. The endpoint must be served on an acceptor of
    /// these, since disconnects are not noticed otherwise.
    #[must_use]
    pub fn callers(&self) -> &CallerConnections {
        &self.callers
    }

    /// Returns the record of the shards' unavailable time.
    #[must_use]
    pub fn unavailable(&self) -> &ShardUnavailability {
        &self.unavailable
    }

    /// Answers a request, or cancels it if the caller disconnects: dropping the future of the
    /// answer cancels the work that belongs to it.
    async fn answer_unless_disconnected(
        &self,
        id: RequestId,
        started: Time,
        req: poem::Request,
    ) -> Answer {
        let peer = req.remote_addr().as_socket_addr().copied();
        tokio::select! {
            biased;
            answer = self.answer(id, started, req) => answer,
            () = self.callers.disconnected(peer) => Answer::from(RefusalReason::CallerGoneAfterSend),
        }
    }

    /// Checks a request, forwards it to its home and returns the final answer.
    async fn answer(&self, id: RequestId, started: Time, req: poem::Request) -> Answer {
        let Some(deployment) = self.cx.deployment.load_full() else {
            return Answer::from(RefusalReason::NotReady);
        };
        let caller = caller_of(&req);
        let (parts, body) = req.into_parts();
        let checked = self
            .check(id, started, &deployment, caller, parts, body)
            .await;
        match checked {
            Ok(req) => {
                let (request, service) = (req.id.clone(), req.service.clone());
                let shard = req.shard.clone();
                carawayrill_telemetry::emit_request(|| EventKind::RequestReceived {
                    request,
                    service,
                    shard: Some(shard.clone()),
                });
                let answer = forward::forward_with_retries(&self.cx, &self.home, req).await;
                self.unavailable
                    .record(&shard, started, self.cx.now(), &answer);
                answer
            }
            Err(reason) => Answer::from(reason),
        }
    }

    async fn check(
        &self,
        id: RequestId,
        started: Time,
        deployment: &Deployment,
        caller: CompactString,
        parts: poem::RequestParts,
        body: Body,
    ) -> Result<Request, RefusalReason> {
        let service = check::service(deployment, &parts.uri)?;
        let key = check::key(service, &parts.uri, &parts.headers)?;
        let limit = check::time_limit(service, &parts.headers)?;
        let idempotency_key = check::idempotency_key(&parts.headers)?;
        check::require_idempotency_key(service, &parts.method, idempotency_key.as_ref())?;
        let body = read_body(service, &parts.headers, body).await?;
        let shard = self.cx.routes().shard_of(&service.id, key, service.shards);
        Ok(Request {
            id,
            service: service.id.clone(),
            shard,
            key,
            caller,
            method: parts.method,
            path_and_query: parts
                .uri
                .path_and_query()
                .map_or("/", |path| path.as_str())
                .into(),
            headers: headers::end_to_end(&parts.headers),
            body,
            deadline: started + limit,
            idempotency_key,
            on_behalf: None,
        })
    }
}

/// Reads the body of a request up to the service's limit.
async fn read_body(
    service: &Service,
    headers: &HeaderMap,
    body: Body,
) -> Result<Bytes, RefusalReason> {
    let announced = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    if announced.is_some_and(|length| length > service.max_body.0) {
        return Err(RefusalReason::TooLarge);
    }
    let limit = usize::try_from(service.max_body.0).unwrap_or(usize::MAX);
    let bytes = body
        .into_bytes_limit(limit)
        .await
        .map_err(|err| match err {
            poem::error::ReadBodyError::PayloadTooLarge => RefusalReason::TooLarge,
            _ => RefusalReason::Truncated,
        })?;
    check::body(service, announced, bytes)
}

/// Returns the caller's identity for fair queueing: the first address of the load balancer's
/// `x-forwarded-for` header, or else the IP address of the connection.
fn caller_of(req: &poem::Request) -> CompactString {
    let forwarded = req.header("x-forwarded-for");
    let first = forwarded
        .and_then(|list| list.split(',').next())
        .map(str::trim);
    match (first, req.remote_addr().as_socket_addr()) {
        (Some(address), _) => address.into(),
        (None, Some(address)) => address.ip().to_compact_string(),
        (None, None) => CompactString::default(),
    }
}

impl Endpoint for Entry {
    type Output = Response;

    async fn call(&self, req: poem::Request) -> poem::Result<Response> {
        if req.uri().path() == READY_PATH {
            return Ok(self.ready());
        }
        let _in_flight = InFlight::new(&self.cx);
        let started = self.cx.now();
        let started_at = std::time::Instant::now();
        let id = self.cx.next_request_id();
        let answer = self
            .answer_unless_disconnected(id.clone(), started, req)
            .await;
        let took_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let (outcome, status) = (answer.outcome, answer.status);
        self.count(&answer, took_us);
        let request = id.clone();
        carawayrill_telemetry::emit_request(|| EventKind::RequestAnswered {
            request,
            outcome,
            status,
            took_us,
        });
        let mut response = to_response(&id, answer);
        if self.cx.stopping.load(Ordering::Relaxed) {
            // The caller then sends its next request to another router, and no request is lost in
            // transit when the connection closes.
            put(response.headers_mut(), "connection", &"close");
        }
        Ok(response)
    }
}

impl Entry {
    /// Records the metrics of an answer. Metrics that can't be sent are dropped.
    fn count(&self, answer: &Answer, took_us: u64) {
        let reason = answer.reason.map_or("none", |reason| reason.as_str());
        let outcome = answer.outcome.to_string();
        self.cx
            .metrics
            .count_with_tags("entry.answers", 1)
            .with_tag("outcome", &outcome)
            .with_tag("reason", reason)
            .send();
        let _lost = self.cx.metrics.histogram("entry.took_us", took_us);
    }

    fn ready(&self) -> Response {
        let ready = !self.cx.stopping.load(Ordering::Relaxed) && self.cx.generation().0 > 0;
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Response::builder().status(status).finish()
    }
}

/// Converts an answer to an HTTP response and adds the headers of the outcome.
fn to_response(id: &RequestId, answer: Answer) -> Response {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY))
        .body(answer.body);
    let headers = response.headers_mut();
    headers.extend(answer.headers);
    put(headers, "x-carawayrill-request", id);
    put(headers, "x-carawayrill-outcome", &answer.outcome);
    if let Some(server) = answer.server {
        put(headers, "x-carawayrill-server", &server);
    }
    if let Some(token) = answer.token {
        put(headers, "x-carawayrill-token", &token);
    }
    if let Some(after) = answer.retry_after {
        // The header has whole seconds; rounding up keeps callers from retrying too early.
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        put(headers, "retry-after", &seconds);
    }
    response
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &impl ToString) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
