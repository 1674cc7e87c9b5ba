//! One HTTP exchange with a server, direct or through the server's own home.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::refusal::ServerRefusal;
use carawayrill_core::answer::reply::Answer;
use carawayrill_core::id::ServerId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::millis;
use carawayrill_core::token::Token;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use reqwest::redirect::Policy;

use crate::headers;
use crate::home::serve::convert;
use crate::message;
use crate::message::Request;

/// The response header with which a server declares that it has not run the request.
const REFUSED_HEADER: &str = "x-carawayrill-refused";
/// The header with the identifier of the request, also set on the response.
const REQUEST_HEADER: &str = "x-carawayrill-request";
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after a request's deadline during which the response is still read. The caller already
/// has its final answer, but the claim can still record the first answer.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The status with which a server responds to a cancelled request.
const STATUS_CANCELLED: u16 = 499;
/// A gateway timeout from a server with less time left than this is attributed to the deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(10);

/// The server that a request is sent to, and the token that it is sent under.
#[derive(Debug, Clone)]
pub struct Target {
    /// The server.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
    /// The token of the server's grant.
    pub token: Token,
}

/// The result of an exchange.
#[derive(Debug)]
pub enum Exchange {
    /// The complete answer of the server, and the time from the send to its end.
    Answered(Answer, Duration),
    /// The server declared that it has not run the request.
    Refused(ServerRefusal),
    /// No part of the request was sent to the server.
    NotWritten(RefusalReason),
    /// The request may have run.
    Lost(RefusalReason),
}

/// Creates the client for requests to servers.
///
/// It follows no redirects, uses no proxy and never retries, so that a request is sent to the owner
/// of its key and only once.
///
/// # Errors
///
/// Fails if the HTTP client can't be created.
pub fn client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .build()
}

/// Sends a request to a server and reads the complete response.
pub async fn send(
    client: &reqwest::Client,
    target: &Target,
    req: &Request,
    left: Duration,
) -> Exchange {
    let started = Instant::now();
    let call = call(client, target, req, left);
    match call.send().await {
        Ok(response) => read(response, target, req, (started, left)).await,
        Err(err) => exchange_from_error(&err),
    }
}

fn call(
    client: &reqwest::Client,
    target: &Target,
    req: &Request,
    left: Duration,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", target.address, req.path_and_query);
    let call = client
        .request(req.method.clone(), url)
        .headers(req.headers.clone())
        .header(REQUEST_HEADER, req.id.as_str())
        .header("x-carawayrill-service", req.service.as_str())
        .header("x-carawayrill-shard", req.shard.to_string())
        .header("x-carawayrill-token", target.token.to_string())
        .header("x-carawayrill-deadline-ms", millis(left))
        .timeout(left + LATE_ANSWER_TIMEOUT)
        .body(req.body.clone());
    match &req.idempotency_key {
        Some(key) => call.header("idempotency-key", key.as_str()),
        None => call,
    }
}

async fn read(
    response: reqwest::Response,
    target: &Target,
    req: &Request,
    (started, left): (Instant, Duration),
) -> Exchange {
    let status = response.status();
    let headers = response.headers().clone();
    if !is_for_request(&headers, req) {
        log::warn!(
            "{} sent a response that is not for request {}",
            target.server,
            req.id
        );
        return Exchange::Lost(RefusalReason::AnswerLost);
    }
    if let Some(refusal) = server_refusal(&headers) {
        return Exchange::Refused(refusal);
    }
    if was_stopped(status, left.saturating_sub(started.elapsed())) {
        return Exchange::Lost(RefusalReason::AnswerLate);
    }
    if !has_body_framing(status, &headers, &req.method) {
        return Exchange::Lost(RefusalReason::AnswerBrokenOff);
    }
    match read_body(response).await {
        Ok(body) => {
            let answer = Answer {
                status: status.as_u16(),
                headers: convert::headers_to_core(&headers::end_to_end(&headers)),
                body,
                server: target.server.clone(),
                token: target.token,
            };
            Exchange::Answered(answer, started.elapsed())
        }
        Err(reason) => Exchange::Lost(reason),
    }
}

/// Returns whether a response is for this request.
fn is_for_request(headers: &HeaderMap, req: &Request) -> bool {
    let named = headers.get(REQUEST_HEADER);
    named.is_some_and(|id| id.as_bytes() == req.id.as_str().as_bytes())
}

/// Returns the server's refusal, if it declared that it has not run the request.
fn server_refusal(headers: &HeaderMap) -> Option<ServerRefusal> {
    headers.get(REFUSED_HEADER)?.to_str().ok()?.parse().ok()
}

/// Returns whether the server stopped the request midway because of a cancellation or of the
/// deadline. The effects of such a request are unknown.
fn was_stopped(status: StatusCode, left: Duration) -> bool {
    status.as_u16() == STATUS_CANCELLED
        || (status == StatusCode::GATEWAY_TIMEOUT && left < DEADLINE_TOLERANCE)
}

/// Returns whether a complete body can be told from a truncated one: it has a length, is sent in
/// chunks, or the response has no body.
fn has_body_framing(status: StatusCode, headers: &HeaderMap, method: &Method) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body
        || *method == Method::HEAD
        || headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// Returns the result of a failed exchange. Only a connection that was never established proves
/// that the server has not received the request.
fn exchange_from_error(err: &reqwest::Error) -> Exchange {
    log::debug!("could not send a request to a server: {err}");
    if err.is_connect() || err.is_builder() {
        return Exchange::NotWritten(RefusalReason::ServerUnreachable);
    }
    Exchange::Lost(RefusalReason::AnswerLost)
}

/// Reads the complete body. A truncated body is an error.
async fn read_body(mut response: reqwest::Response) -> Result<Bytes, RefusalReason> {
    let mut body = BytesMut::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|err| {
            log::debug!("could not read the response of a server: {err}");
            RefusalReason::AnswerBrokenOff
        })?;
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(RefusalReason::AnswerTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
}

/// Converts the answer of the server's own home, for a request that was forwarded to it.
pub fn exchange_from_home_answer(
    answer: message::Answer,
    target: &Target,
    took: Duration,
) -> Exchange {
    match (answer.outcome, answer.reason) {
        (Outcome::Done, _) => {
            let answer = Answer {
                status: answer.status,
                headers: convert::headers_to_core(&answer.headers),
                body: answer.body,
                server: target.server.clone(),
                token: target.token,
            };
            Exchange::Answered(answer, took)
        }
        (Outcome::NotRun, reason) => {
            Exchange::NotWritten(reason.unwrap_or(RefusalReason::ServerUnreachable))
        }
        (Outcome::Unknown, reason) => Exchange::Lost(reason.unwrap_or(RefusalReason::HomeLost)),
    }
}
