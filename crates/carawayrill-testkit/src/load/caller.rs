//! The client side of one request: sends it, retries it at the next address after a failure, and
//! checks the response.

use std::time::Duration;
use std::time::Instant;

use carawayrill_core::id::KeyHash;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::millis;
use compact_str::CompactString;
use compact_str::format_compact;
use reqwest::Client;
use reqwest::Response;
use reqwest::header::HeaderMap;
use serde::Serialize;

use crate::load::plan;
use crate::load::plan::PlannedRequest;
use crate::load::settings::Settings;
use crate::server::ResponseBody;

/// How long a caller waits for the response after the request's deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// The delay before a retry, unless the response has a `retry-after` header.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The outcome of one attempt as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// The request was done, and its whole response was received.
    Done,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No response: the connection failed, or the response was late or truncated.
    NoAnswer,
}

/// One attempt at a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request id in the response, if there was one.
    pub request: Option<CompactString>,
    /// The reported outcome.
    pub outcome: ReportedOutcome,
    /// The HTTP status; 0 without a response.
    pub status: u16,
    /// The reason in the response body, or the kind of connection error.
    pub reason: CompactString,
    /// Whether a response with status 200 is malformed or belongs to another request.
    pub mismatched: bool,
    /// The delay before the next attempt that the response asks for.
    retry_after: Option<Duration>,
}

/// A request with all its attempts.
#[derive(Debug, Clone)]
pub struct FinishedRequest {
    /// The request.
    pub planned: PlannedRequest,
    /// Its attempts in order. The last one decides the outcome.
    pub attempts: Vec<Attempt>,
    /// The time from when the request was due until its last attempt ended.
    pub latency: Duration,
}

impl FinishedRequest {
    /// Returns the outcome of the last attempt.
    #[must_use]
    pub fn outcome(&self) -> ReportedOutcome {
        self.attempts
            .last()
            .map_or(ReportedOutcome::NoAnswer, |last| last.outcome)
    }

    /// Returns the HTTP status of the last attempt; 0 without a response.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.attempts.last().map_or(0, |last| last.status)
    }
}

/// Sends a request that was due at `due`. Retries it until an attempt is final or the attempts are
/// used up.
pub async fn send_with_retries(
    client: &Client,
    settings: &Settings,
    planned: PlannedRequest,
    due: Instant,
) -> FinishedRequest {
    let mut attempts = Vec::with_capacity(1);
    for number in 0..settings.attempts as usize {
        let attempt = attempt(client, settings, &planned, number).await;
        let delay = attempt
            .retry_after
            .unwrap_or(RETRY_DELAY)
            .min(MAX_RETRY_DELAY);
        let is_last = is_final(&attempt);
        attempts.push(attempt);
        if is_last || number + 1 == settings.attempts as usize {
            break;
        }
        tokio::time::sleep(delay).await;
    }
    FinishedRequest {
        planned,
        attempts,
        latency: due.elapsed(),
    }
}

/// Returns whether an attempt is final, because a retry can't change the result.
fn is_final(attempt: &Attempt) -> bool {
    // A 4xx status is an error of the request itself, except for a conflict with an attempt in
    // progress (409), too many requests (429) and a cancellation (499).
    let client_error =
        (400..500).contains(&attempt.status) && ![409, 429, 499].contains(&attempt.status);
    attempt.outcome == ReportedOutcome::Done || client_error
}

async fn attempt(
    client: &Client,
    settings: &Settings,
    planned: &PlannedRequest,
    number: usize,
) -> Attempt {
    let url = format!(
        "http://{}{}",
        plan::address(settings, planned, number),
        planned.path
    );
    let mut req = match &planned.idempotency_key {
        Some(key) => client.post(url).header("idempotency-key", key.as_str()),
        None => client.get(url),
    };
    if settings.direct {
        let id = format_compact!("load-{}-{number}", planned.index);
        req = req
            .header("x-carawayrill-request", id.as_str())
            .header("x-carawayrill-service", planned.target.service.as_str());
    }
    let sent = req
        .header(planned.target.header.as_str(), planned.key.as_str())
        .header(
            "x-carawayrill-deadline-ms",
            millis(settings.deadline).to_string(),
        )
        .timeout(settings.deadline + RESPONSE_GRACE)
        .body(planned.body.clone())
        .send()
        .await;
    match sent {
        Ok(resp) => check_response(resp, planned, settings.direct).await,
        Err(err) => no_response(&err),
    }
}

fn no_response(err: &reqwest::Error) -> Attempt {
    let reason = if err.is_connect() {
        "connect"
    } else if err.is_timeout() {
        "timeout"
    } else {
        "broken-off"
    };
    Attempt {
        request: None,
        outcome: ReportedOutcome::NoAnswer,
        status: 0,
        reason: reason.into(),
        mismatched: false,
        retry_after: None,
    }
}

/// Reads a response and checks that it is complete and belongs to this request.
async fn check_response(resp: Response, planned: &PlannedRequest, direct: bool) -> Attempt {
    let status = resp.status().as_u16();
    let headers = resp.headers().clone();
    let outcome = reported_outcome(&headers, status, direct);
    let body = match resp.bytes().await {
        Ok(body) => body,
        Err(err) => return no_response(&err),
    };
    let (mismatched, reason) = match outcome {
        ReportedOutcome::Done if status == 200 => {
            (!is_response_to(&body, planned), CompactString::default())
        }
        _ => (false, reason(&body)),
    };
    Attempt {
        request: header_text(&headers, "x-carawayrill-request"),
        outcome,
        status,
        reason,
        mismatched,
        retry_after: header_text(&headers, "retry-after")
            .and_then(|value| value.parse().ok())
            .map(Duration::from_secs),
    }
}

fn reported_outcome(headers: &HeaderMap, status: u16, direct: bool) -> ReportedOutcome {
    if direct {
        let refused = headers.contains_key("x-carawayrill-refused");
        return match status {
            200 => ReportedOutcome::Done,
            _ if refused => ReportedOutcome::NotRun,
            _ => ReportedOutcome::Unknown,
        };
    }
    let outcome =
        header_text(headers, "x-carawayrill-outcome").and_then(|value| value.parse().ok());
    match outcome {
        Some(Outcome::Done) => ReportedOutcome::Done,
        Some(Outcome::NotRun) => ReportedOutcome::NotRun,
        // Without an outcome header, the request may have run.
        Some(Outcome::Unknown) | None => ReportedOutcome::Unknown,
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<CompactString> {
    headers.get(name)?.to_str().ok().map(CompactString::from)
}

/// Returns whether a server's response body is well-formed and belongs to this request. No other
/// request has the same path.
fn is_response_to(body: &[u8], planned: &PlannedRequest) -> bool {
    let Ok(response) = serde_json::from_slice::<ResponseBody>(body) else {
        return false;
    };
    let hash = format_compact!("{:016x}", KeyHash::of(&planned.body).0);
    response.path == planned.path
        && response.body_hash == hash
        && response.service == planned.target.service.as_str()
}

/// Returns the `reason` in a response body, or `none`.
fn reason(body: &[u8]) -> CompactString {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["reason"].as_str().unwrap_or("none").into()
}
