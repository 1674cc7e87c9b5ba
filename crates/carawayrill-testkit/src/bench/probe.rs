//! Probes keys repeatedly and measures when each is answered.

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

/// Deadline that a probe requests. It is short, so that the next probe can take a new route.
const PROBE_DEADLINE: Duration = Duration::from_millis(250);
/// Client-side timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of the next probe, which makes its idempotency key unique.
static NEXT_PROBE: AtomicU64 = AtomicU64::new(0);

/// A key to probe and how requests carry it.
#[derive(Debug, Clone)]
pub struct KeyProbe {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the header that carries the key.
    pub header: CompactString,
    /// Value of the key.
    pub key: CompactString,
    /// Whether each request needs an idempotency key of its own.
    pub once: bool,
}

impl KeyProbe {
    /// Creates a probe for `key` of a service.
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

/// Sends one request and checks that it is done.
///
/// # Errors
///
/// Returns the status and body of any other response, or the cause if there is none.
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

/// Probes one key through `entries` in turn until it is answered, and returns the time since
/// `since`.
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
            return Err(format!(
                "key {key} was not answered within {limit:?}; last response: {last}"
            )
            .into());
        }
        tokio::time::sleep(state::POLL_INTERVAL).await;
    }
    Ok(since.elapsed())
}

/// Waits until all keys are answered and returns the time that each took, ascending.
///
/// # Errors
///
/// Fails if a key is not answered within `limit`.
pub async fn wait_all_answered(
    entries: &[SocketAddr],
    probes: &[KeyProbe],
    limit: Duration,
) -> Result<Vec<Duration>, Error> {
    let since = Instant::now();
    wait_all_answered_since(entries, probes, since, limit).await
}

/// Like [`wait_all_answered`], but measures from `since`.
///
/// # Errors
///
/// Fails if a key is not answered within `limit`.
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
