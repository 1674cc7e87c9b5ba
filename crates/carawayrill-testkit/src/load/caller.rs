//! A caller: it sends one request, repeats it elsewhere after a failure, and judges the answer.

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

/// How long a caller waits past the deadline that it named.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// The pause before a repeat, unless the answer names another.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest pause before a repeat.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a caller was told by one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// The whole answer.
    Done,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing: the connection failed, or no answer came in time.
    NoAnswer,
}

/// One attempt to get a request answered.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id that the router gave the request, if there was an answer.
    pub request: Option<CompactString>,
    /// What the caller was told.
    pub outcome: ReportedOutcome,
    /// The HTTP status; 0 without an answer.
    pub status: u16,
    /// The reason that the answer gave, or the error of the connection.
    pub reason: CompactString,
    /// Whether the answer was for another request, or was not whole though it was said to be.
    pub mismatched: bool,
    /// When the answer allows the next attempt.
    retry_after: Option<Duration>,
}

/// A request with all its attempts.
#[derive(Debug, Clone)]
pub struct FinishedRequest {
    /// The request.
    pub planned: PlannedRequest,
    /// Its attempts; the last one counts.
    pub attempts: Vec<Attempt>,
    /// From the moment it was due until the last answer.
    pub latency: Duration,
}

impl FinishedRequest {
    /// Returns what the caller was told in the end.
    #[must_use]
    pub fn outcome(&self) -> ReportedOutcome {
        self.attempts
            .last()
            .map_or(ReportedOutcome::NoAnswer, |last| last.outcome)
    }

    /// Returns the last HTTP status; 0 without an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.attempts.last().map_or(0, |last| last.status)
    }
}

/// Sends a request that is due at `due`, and repeats it while that may help.
pub async fn call(
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

/// Tells whether another attempt can't help.
fn is_final(attempt: &Attempt) -> bool {
    // 400 to 499 blame the request, but for a conflict with an attempt in progress (409) and too
    // many requests (429).
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
        Ok(resp) => judge(resp, planned, settings.direct).await,
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

/// Reads an answer and judges whether it is the whole answer to this request.
async fn judge(resp: Response, planned: &PlannedRequest, direct: bool) -> Attempt {
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
        // An answer without an outcome promises nothing.
        Some(Outcome::Unknown) | None => ReportedOutcome::Unknown,
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<CompactString> {
    headers.get(name)?.to_str().ok().map(CompactString::from)
}

/// Tells whether a server's answer is whole and for this request. Its path and the hash of its
/// body are this request's alone.
fn is_response_to(body: &[u8], planned: &PlannedRequest) -> bool {
    let Ok(response) = serde_json::from_slice::<ResponseBody>(body) else {
        return false;
    };
    let hash = format_compact!("{:016x}", KeyHash::of(&planned.body).0);
    response.path == planned.path
        && response.body_hash == hash
        && response.service == planned.target.service.as_str()
}

/// Returns the `reason` of a refusal.
fn reason(body: &[u8]) -> CompactString {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["reason"].as_str().unwrap_or("none").into()
}
