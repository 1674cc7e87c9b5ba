//! The stand-in of the platform's object store: [`MemoryStore`] behind HTTP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_store::CallOutcome;
use carawayrill_store::Error;
use carawayrill_store::http_store::EXPECTED_VERSION;
use carawayrill_store::http_store::FOUND_VERSION;
use carawayrill_store::http_store::WireChanges;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::MAX_VALUE_BYTES;
use carawayrill_store::port::ObjectStore;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::connections::Connections;
use crate::serve;
use crate::serve::Running;

/// Connections that the stand-in takes.
const CONNECTIONS: usize = 10_000;
/// The longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_mins(2);

/// A change of the fault in force, as posted to `/control/fault`.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct FaultOrder {
    /// What goes wrong from now on.
    pub fault: Fault,
    /// Its delay, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// How many calls it hits; all if absent.
    pub count: Option<u64>,
}

/// The HTTP face of a store.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    store: MemoryStore,
    connections: Connections,
}

/// Serves `store` on `listener`.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn start(listener: TcpListener, store: MemoryStore) -> io::Result<Running> {
    let connections = Connections::new(CONNECTIONS);
    let endpoint = StoreEndpoint {
        store,
        connections: connections.clone(),
    };
    serve::serve(listener, connections, endpoint)
}

impl Endpoint for StoreEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let this = self.clone();
        // A task of its own: a call that was taken takes effect even if its caller goes away.
        let answer = tokio::spawn(this.answer(req)).await;
        Ok(answer
            .unwrap_or_else(|err| serve::text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string())))
    }
}

impl StoreEndpoint {
    async fn answer(self, mut req: Request) -> Response {
        let path = req.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/objects/") {
            return self.object(req, name).await;
        }
        match (req.method().as_str(), path.as_str()) {
            ("GET", "/watch") => self.watch(&req).await,
            ("GET", "/control/calls") => serve::json(&self.store.calls()),
            ("POST", "/control/fault") => match serve::read_json(&mut req).await {
                Ok(order) => self.set_fault(order),
                Err(answer) => answer,
            },
            _ => serve::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn set_fault(&self, order: FaultOrder) -> Response {
        let span = Duration::from_millis(order.ms);
        self.store
            .set_fault_with_delay(order.fault, span, order.count);
        serve::text(StatusCode::OK, "")
    }

    async fn object(&self, mut req: Request, name: &str) -> Response {
        let peer = req.remote_addr().as_socket_addr().copied();
        match *req.method() {
            Method::GET => self.get(name).await,
            Method::HEAD => self.head(name).await,
            Method::PUT => {
                let body = req.take_body().into_bytes_limit(MAX_VALUE_BYTES).await;
                match (body, expected(&req)) {
                    (Ok(body), Some(expected)) => {
                        let result = self.store.put(name, body, expected).await;
                        self.updated(result, peer)
                    }
                    (Err(_), _) => serve::text(StatusCode::PAYLOAD_TOO_LARGE, "over 1 MiB"),
                    (_, None) => no_expected_version(),
                }
            }
            Method::DELETE => match expected(&req) {
                Some(expected) => {
                    let result = self.store.delete(name, expected).await;
                    self.updated(result.map(|()| Version(0)), peer)
                }
                None => no_expected_version(),
            },
            _ => serve::text(StatusCode::METHOD_NOT_ALLOWED, "GET, HEAD, PUT or DELETE"),
        }
    }

    async fn get(&self, name: &str) -> Response {
        match self.store.get(name).await {
            Ok(Some(object)) => versioned(StatusCode::OK, object.version).body(object.value),
            Ok(None) => serve::text(StatusCode::NOT_FOUND, ""),
            Err(err) => refused(&err),
        }
    }

    async fn head(&self, name: &str) -> Response {
        match self.store.version(name).await {
            Ok(Version(0)) => Response::builder().status(StatusCode::NOT_FOUND).finish(),
            Ok(version) => versioned(StatusCode::OK, version).finish(),
            Err(err) => refused(&err),
        }
    }

    /// Answers an update. One whose answer is to be lost ends its connection instead.
    fn updated(&self, result: Result<Version, Error>, peer: Option<SocketAddr>) -> Response {
        let err = match result {
            Ok(version) => return versioned(StatusCode::OK, version).finish(),
            Err(err) => err,
        };
        if let Some(found) = err.conflicting_version() {
            return versioned(StatusCode::PRECONDITION_FAILED, found).finish();
        }
        if err.outcome() == CallOutcome::Unknown
            && let Some(peer) = peer
        {
            self.connections.cut(peer);
        }
        refused(&err)
    }

    async fn watch(&self, req: &Request) -> Response {
        let number = |name| serve::query(req, name).and_then(|text| text.parse().ok());
        let prefix = serve::query(req, "prefix")
            .unwrap_or_default()
            .replace("%2F", "/");
        let after = Revision(number("after").unwrap_or_default());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        let changes = self.store.watch(&prefix, after, wait.min(MAX_WATCH)).await;
        match changes.and_then(WireChanges::try_from) {
            Ok(wire) => serve::json(&wire),
            Err(err) => refused(&err),
        }
    }
}

/// Reads the version that an update expects.
fn expected(req: &Request) -> Option<Version> {
    req.header(EXPECTED_VERSION)?.parse().ok()
}

fn no_expected_version() -> Response {
    serve::text(StatusCode::BAD_REQUEST, "no x-expected-version")
}

fn versioned(status: StatusCode, version: Version) -> poem::ResponseBuilder {
    Response::builder()
        .status(status)
        .header(FOUND_VERSION, version.to_string())
}

fn refused(err: &Error) -> Response {
    serve::text(StatusCode::SERVICE_UNAVAILABLE, &err.to_string())
}
