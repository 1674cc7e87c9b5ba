//! Asks for keys again and again, to see when they are answered.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use reqwest::Client;
use tokio::task::JoinSet;

use crate::bench::shape::ServiceShape;
use crate::bench::state;
use crate::fleet::Error;
use crate::load::drive;

/// The time limit that a probe names: short, so that the next one can find a new way.
const PROBE_DEADLINE: Duration = Duration::from_millis(250);
/// How long a probe waits for any answer.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// Numbers probes, so that each has an idempotency key of its own.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// A key to ask for.
#[derive(Debug, Clone)]
pub struct Question {
    /// The service.
    pub service: CompactString,
    /// The header of the key.
    pub header: CompactString,
    /// The key.
    pub key: CompactString,
    /// Whether each request needs an idempotency key.
    pub once: bool,
}

impl Question {
    /// Asks for `key` of a service.
    #[must_use]
    pub fn new(service: &ServiceShape, key: CompactString) -> Self {
        Self {
            service: service.name.into(),
            header: service.header.into(),
            key,
            once: service.repeat == "never",
        }
    }
}

/// Asks once and tells whether the whole answer came; else what came instead.
async fn ask(client: &Client, entry: SocketAddr, question: &Question) -> Result<(), String> {
    let url = format!("http://{entry}/{}/probe", question.service);
    let mut req = if question.once {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let key = format!("probe-{}-{number}", question.key);
        client.post(url).header("idempotency-key", key)
    } else {
        client.get(url)
    };
    req = req
        .header(question.header.as_str(), question.key.as_str())
        .header(
            "x-carawayrill-deadline-ms",
            PROBE_DEADLINE.as_millis().to_string(),
        )
        .timeout(PROBE_LIMIT);
    let resp = req.send().await.map_err(|err| err.to_string())?;
    let outcome = resp.headers().get("x-carawayrill-outcome").cloned();
    let status = resp.status();
    let body = resp.text().await.map_err(|err| err.to_string())?;
    if status.is_success() && outcome.is_some_and(|outcome| outcome == "done") {
        return Ok(());
    }
    Err(format!("{status}: {body}"))
}

/// Asks for one key through `entries` in turn until it is answered, and returns how long that
/// took from `since`.
async fn until_answered(
    client: Client,
    entries: Vec<SocketAddr>,
    question: Question,
    since: Instant,
    limit: Duration,
) -> Result<Duration, Error> {
    for number in 0.. {
        let entry = entries[number % entries.len()];
        let Err(last) = ask(&client, entry, &question).await else {
            break;
        };
        if since.elapsed() > limit {
            let key = &question.key;
            return Err(format!("{key} is not answered within {limit:?}; last: {last}").into());
        }
        tokio::time::sleep(state::POLL).await;
    }
    Ok(since.elapsed())
}

/// Waits until all keys are answered and returns how long each took.
///
/// # Errors
///
/// Fails if one is not answered within `limit`.
pub async fn all_answered(
    entries: &[SocketAddr],
    questions: &[Question],
    limit: Duration,
) -> Result<Vec<Duration>, Error> {
    let since = Instant::now();
    all_answered_since(entries, questions, since, limit).await
}

/// As [`all_answered`], counted from `since`.
///
/// # Errors
///
/// Fails if one is not answered within `limit`.
pub async fn all_answered_since(
    entries: &[SocketAddr],
    questions: &[Question],
    since: Instant,
    limit: Duration,
) -> Result<Vec<Duration>, Error> {
    let client = drive::client()?;
    let mut tasks = JoinSet::new();
    for question in questions {
        let client = client.clone();
        let entries = entries.to_vec();
        tasks.spawn(until_answered(
            client,
            entries,
            question.clone(),
            since,
            limit,
        ));
    }
    let mut times = Vec::with_capacity(questions.len());
    while let Some(time) = tasks.join_next().await {
        times.push(time??);
    }
    times.sort_unstable();
    Ok(times)
}
