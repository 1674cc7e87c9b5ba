//! The stand-in for a server. It holds shards under grants with fencing tokens and runs requests in
//! its slots.

pub mod faults;
pub mod records;
mod request;
mod run;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use carawayrill_core::data;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServerId;
use carawayrill_core::order::LoadReport;
use carawayrill_core::order::OrderReply;
use carawayrill_core::ownership::server::FenceTable;
use carawayrill_core::time::ServerTime;
use carawayrill_store::http_servers::WireCancel;
use carawayrill_store::http_servers::WireOrders;
use carawayrill_telemetry::wall_now;
use compact_str::CompactString;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::connections::Connections;
use crate::serve;
use crate::serve::RunningEndpoint;
use crate::server::faults::Fault;
use crate::server::faults::FaultSpec;
use crate::server::faults::Faults;
use crate::server::records::Records;
pub use crate::server::request::ResponseBody;

/// The clocks of servers are offset by less than this, so that code which compares times of
/// different servers fails in tests.
const MAX_CLOCK_OFFSET_MS: u64 = 1_000_000;

/// The settings of a stand-in server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The server's id.
    pub id: ServerId,
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The number of requests that may wait for a slot; further ones are shed.
    pub queue: u32,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The run time of a request.
    pub service_time: Duration,
    /// The period after the start in which requests run longer. The factor falls linearly from 4 to
    /// 1.
    pub cold_start: Duration,
    /// Whether the server checks fencing tokens.
    pub fencing: bool,
}

impl Settings {
    /// Returns settings with 6 slots, 130 connections and a run time of 1 ms.
    #[must_use]
    pub fn new(id: ServerId) -> Self {
        Self {
            id,
            slots: 6,
            queue: 64,
            connections: 130,
            service_time: Duration::from_millis(1),
            cold_start: Duration::ZERO,
            fencing: true,
        }
    }
}

data! {
    /// Counters of a server, as read from `/control/stats`.
    #[derive(Default)]
    pub struct Stats {
        /// Requests that started to run.
        pub runs: u64,
        /// Requests that had to wait for a slot.
        pub waited: u64,
        /// Requests that were refused, by reason.
        pub refused: HashMap<CompactString, u64>,
        /// The maximum number of requests that ran concurrently.
        pub most_running: u32,
        /// The maximum number of open connections, sampled when a request is admitted.
        pub most_connections: usize,
        /// Whether the server drains: it refuses new requests and reports this in its load.
        pub draining: bool,
    }
}

/// The mutable state of a server.
#[derive(Debug)]
struct State {
    fence: FenceTable,
    records: Records,
    stats: Stats,
    load: LoadReport,
    /// Requests that wait or run, by id. Sending `true` cancels the request.
    pending: HashMap<CompactString, watch::Sender<bool>>,
    /// The id of the last request that finished.
    last_request: CompactString,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    clock_offset: u64,
    slots: Semaphore,
    faults: Faults,
    connections: Connections,
    state: Mutex<State>,
}

/// A stand-in server. Clones share the same server.
#[derive(Debug, Clone)]
pub struct StandInServer {
    inner: Arc<Inner>,
}

/// Starts a new server on `listener`.
///
/// # Errors
///
/// Returns an error if the local address of the listener can't be read.
pub fn start(
    listener: TcpListener,
    settings: Settings,
) -> io::Result<(StandInServer, RunningEndpoint)> {
    let server = StandInServer::new(settings);
    let connections = server.inner.connections.clone();
    let running = serve::serve(listener, connections, server.clone())?;
    Ok((server, running))
}

impl StandInServer {
    /// Creates a server with a new incarnation and without grants.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let incarnation = Incarnation(wall_now().0);
        let state = State {
            fence: FenceTable::new(settings.id.clone(), incarnation).checking(settings.fencing),
            records: Records::default(),
            stats: Stats::default(),
            load: LoadReport::default(),
            pending: HashMap::new(),
            last_request: CompactString::default(),
        };
        let inner = Inner {
            incarnation,
            started: Instant::now(),
            clock_offset: KeyHash::of(settings.id.as_str().as_bytes()).0 % MAX_CLOCK_OFFSET_MS,
            slots: Semaphore::new(settings.slots as usize),
            faults: Faults::default(),
            connections: Connections::new(settings.connections),
            state: Mutex::new(state),
            settings,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Starts to drain, or ends the drain.
    pub fn drain(&self, draining: bool) {
        let mut state = self.inner.lock();
        state.load.draining = draining;
        state.stats.draining = draining;
    }

    /// Also appends each run that starts to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn record_to(&self, path: &Path) -> io::Result<()> {
        self.inner.lock().records.write_to(path)
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, spec: FaultSpec) {
        self.inner.faults.set(spec);
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.inner.lock().stats.clone()
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the server's own clock.
    fn clock(&self) -> ServerTime {
        ServerTime(self.clock_offset) + self.started.elapsed()
    }

    async fn handle(self: Arc<Self>, mut req: Request) -> Response {
        let peer = req.remote_addr().as_socket_addr().copied();
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/carawayrill/orders" => match serve::read_json(&mut req).await {
                Ok(orders) => self.handle_orders(&orders, peer).await,
                Err(response) => response,
            },
            "/carawayrill/cancel" => match serve::read_json(&mut req).await {
                Ok(cancel) => self.cancel(&cancel).await,
                Err(response) => response,
            },
            _ => match path.strip_prefix("/control/") {
                Some(call) => self.control(call, req).await,
                None => self.request(req, peer).await,
            },
        }
    }

    /// Handles a request of a test under `/control/`.
    async fn control(&self, call: &str, mut req: Request) -> Response {
        let after = serve::query(&req, "after").and_then(|text| text.parse().ok());
        match call {
            "fault" => match serve::read_json(&mut req).await {
                Ok(spec) => {
                    self.faults.set(spec);
                    serve::text(StatusCode::OK, "")
                }
                Err(response) => response,
            },
            "records" => {
                let state = self.lock();
                let id = self.settings.id.clone();
                let page = state
                    .records
                    .page(id, self.incarnation, after.unwrap_or_default());
                drop(state);
                serve::json(&page)
            }
            "stats" => serve::json(&self.lock().stats),
            "drain" | "undrain" => {
                let mut state = self.lock();
                state.load.draining = call == "drain";
                state.stats.draining = state.load.draining;
                serve::text(StatusCode::OK, "")
            }
            _ => serve::text(StatusCode::NOT_FOUND, "unknown control path"),
        }
    }

    /// Applies orders in sequence and acknowledges them.
    async fn handle_orders(&self, orders: &WireOrders, peer: Option<SocketAddr>) -> Response {
        self.faults.until_unfrozen().await;
        let reply = self.apply_orders(orders);
        if let Some(peer) = peer
            && !orders.orders.is_empty()
            && self.faults.trigger(Fault::LoseAck).is_some()
        {
            self.connections.abort(peer);
        }
        serve::json(&reply)
    }

    fn apply_orders(&self, orders: &WireOrders) -> OrderReply {
        let mut state = self.lock();
        let reply = state.fence.apply(self.clock(), &orders.orders);
        let mut load = state.load;
        drop(state);
        if self.faults.trigger(Fault::LieLoad).is_some() {
            load = LoadReport {
                draining: load.draining,
                ..LoadReport::default()
            };
        }
        OrderReply { load, ..reply }
    }

    /// Cancels a request that waits or runs.
    async fn cancel(&self, cancel: &WireCancel) -> Response {
        self.faults.until_unfrozen().await;
        if let Some(cancel_tx) = self.lock().pending.get(cancel.request.as_str()) {
            cancel_tx.send_replace(true);
        }
        serve::text(StatusCode::OK, "")
    }
}

impl Endpoint for StandInServer {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let inner = Arc::clone(&self.inner);
        // Runs in a separate task, so that a request is processed even if its caller disconnects.
        let response = tokio::spawn(inner.handle(req)).await;
        Ok(response
            .unwrap_or_else(|err| serve::text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string())))
    }
}
