//! Sends the requests of a plan when they are due.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::Error;
use crate::load::caller;
use crate::load::caller::FinishedRequest;
use crate::load::plan::Plan;
use crate::load::plan::PlannedRequest;
use crate::load::settings::Settings;

/// The requests of a load run and their results.
#[derive(Debug)]
pub struct LoadResult {
    /// Requests that were sent, in the order in which they finished.
    pub finished: Vec<FinishedRequest>,
    /// The number of requests that were not sent because too many were in flight when they were
    /// due.
    pub not_sent: u64,
    /// The time from the start until the last request was sent.
    pub send_duration: Duration,
}

/// Returns the HTTP client that all requests share.
///
/// # Errors
///
/// Returns an error if the client can't be created.
pub fn client() -> Result<Client, Error> {
    Client::builder()
        .connect_timeout(Duration::from_secs(2))
        .no_proxy()
        .tcp_nodelay(true)
        .pool_max_idle_per_host(1_024)
        .build()
        .map_err(|err| Error::http(err.to_string()))
}

/// Sends all planned requests and waits for their responses.
///
/// # Errors
///
/// Returns an error if the settings are out of range.
pub async fn drive(settings: &Settings) -> Result<LoadResult, Error> {
    drive_until(settings, Arc::default()).await
}

/// Sends planned requests until the plan ends or `stop` is set, and waits for their responses.
///
/// # Errors
///
/// Returns an error if the settings are out of range.
pub async fn drive_until(settings: &Settings, stop: Arc<AtomicBool>) -> Result<LoadResult, Error> {
    settings.check()?;
    let (finished_tx, mut finished_rx) = mpsc::unbounded_channel();
    let handle = Handle::current();
    let dispatcher = Dispatcher {
        client: client()?,
        settings: Arc::new(settings.clone()),
        in_flight: Arc::new(Semaphore::new(settings.in_flight)),
        start: Instant::now(),
        stop,
        finished_tx,
    };
    // Runs in a separate thread, since the runtime's timers have a resolution of 1 ms only.
    let sender = std::thread::spawn(move || dispatcher.send_all(&handle));
    let mut finished = Vec::new();
    while let Some(request) = finished_rx.recv().await {
        finished.push(request);
    }
    let (not_sent, send_duration) = sender.join().unwrap_or_default();
    Ok(LoadResult {
        finished,
        not_sent,
        send_duration,
    })
}

/// Starts one task per request.
#[derive(Debug)]
struct Dispatcher {
    client: Client,
    settings: Arc<Settings>,
    in_flight: Arc<Semaphore>,
    start: Instant,
    stop: Arc<AtomicBool>,
    finished_tx: mpsc::UnboundedSender<FinishedRequest>,
}

impl Dispatcher {
    /// Sends all requests. Returns the number of requests that were not sent, and the elapsed time.
    fn send_all(self, handle: &Handle) -> (u64, Duration) {
        let mut not_sent = 0;
        for planned in Plan::new(&self.settings) {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let due = self.start + planned.due;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            not_sent += u64::from(!self.send(handle, planned, due));
        }
        (not_sent, self.start.elapsed())
    }

    /// Sends one request. Returns `false` if too many requests are in flight.
    fn send(&self, handle: &Handle, planned: PlannedRequest, due: Instant) -> bool {
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return false;
        };
        let client = self.client.clone();
        let settings = Arc::clone(&self.settings);
        let finished_tx = self.finished_tx.clone();
        handle.spawn(async move {
            let finished = caller::send_with_retries(&client, &settings, planned, due).await;
            drop(permit);
            // The receiver is only dropped if the whole run is aborted.
            let _gone = finished_tx.send(finished);
        });
        true
    }
}
