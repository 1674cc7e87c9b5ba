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
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Numbers probes, so that each has an idempotency key of its own.
static NEXT_PROBE: AtomicU64 = AtomicU64::new(0);

/// A key to ask for.
#[derive(Debug, Clone)]
pub struct KeyProbe {
    /// The service.
    pub service: CompactString,
    /// The header of the key.
    pub header: CompactString,
    /// The key.
    pub key: CompactString,
    /// Whether each request needs an idempotency key.
    pub once: bool,
}

impl KeyProbe {
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
async fn send_probe(client: &Client, entry: SocketAddr, probe: &KeyProbe) -> Result<(), String> {
    let url = format!("http://{entry}/{}/probe", probe.service);
    let mut req = if probe.once {
        let number = NEXT_PROBE.fetch_add(1, Ordering::Relaxed);
        let key = format!("probe-{}-{number}", probe.key);
        client.post(url).header("idempotency-key", key)
    } else {
        client.get(url)
    };
    req = req
        .header(probe.header.as_str(), probe.key.as_str())
        .header(
            "x-carawayrill-deadline-ms",
            PROBE_DEADLINE.as_millis().to_string(),
        )
        .timeout(PROBE_TIMEOUT);
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
async fn wait_until_answered(
    client: Client,
    entries: Vec<SocketAddr>,
    probe: KeyProbe,
    since: Instant,
    limit: Duration,
) -> Result<Duration, Error> {
    for number in 0.. {
        let entry = entries[number % entries.len()];
        let Err(last) = send_probe(&client, entry, &probe).await else {
            break;
        };
        if since.elapsed() > limit {
            let key = &probe.key;
            return Err(format!("{key} is not answered within {limit:?}; last: {last}").into());
        }
        tokio::time::sleep(state::POLL_INTERVAL).await;
    }
    Ok(since.elapsed())
}

/// Waits until all keys are answered and returns how long each took.
///
/// # Errors
///
/// Fails if one is not answered within `limit`.
pub async fn wait_all_answered(
    entries: &[SocketAddr],
    probes: &[KeyProbe],
    limit: Duration,
) -> Result<Vec<Duration>, Error> {
    let since = Instant::now();
    wait_all_answered_since(entries, probes, since, limit).await
}

/// As [`wait_all_answered`], counted from `since`.
///
/// # Errors
///
/// Fails if one is not answered within `limit`.
pub async fn wait_all_answered_since(
    entries: &[SocketAddr],
    probes: &[KeyProbe],
    since: Instant,
    limit: Duration,
) -> Result<Vec<Duration>, Error> {
    let client = drive::client()?;
    let mut tasks = JoinSet::new();
    for probe in probes {
        let client = client.clone();
        let entries = entries.to_vec();
        tasks.spawn(wait_until_answered(
            client,
            entries,
            probe.clone(),
            since,
            limit,
        ));
    }
    let mut times = Vec::with_capacity(probes.len());
    while let Some(time) = tasks.join_next().await {
        times.push(time??);
    }
    times.sort_unstable();
    Ok(times)
}
