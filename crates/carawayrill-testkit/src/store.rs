//! The stand-in for the platform's object store: [`MemoryStore`] behind HTTP.

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
use crate::serve::RunningEndpoint;

/// The maximum number of open connections.
const MAX_CONNECTIONS: usize = 10_000;
/// The maximum duration of a long poll on `/watch`.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(2);

/// A fault to inject, as posted to `/control/fault`. It replaces the fault before.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct FaultSpec {
    /// The kind of fault.
    pub fault: Fault,
    /// The delay that the fault adds, in milliseconds. 0 by default.
    #[serde(default)]
    pub ms: u64,
    /// The number of calls that it affects; all calls if absent.
    pub count: Option<u64>,
}

/// The HTTP endpoint of a store.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    store: MemoryStore,
    connections: Connections,
}

/// Serves `store` on `listener`.
///
/// # Errors
///
/// Returns an error if the local address of the listener can't be read.
pub fn start(listener: TcpListener, store: MemoryStore) -> io::Result<RunningEndpoint> {
    let connections = Connections::new(MAX_CONNECTIONS);
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
        // Runs in a separate task, so that an accepted call takes effect even if its caller
        // disconnects.
        let response = tokio::spawn(this.handle(req)).await;
        Ok(response
            .unwrap_or_else(|err| serve::text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string())))
    }
}

impl StoreEndpoint {
    async fn handle(self, mut req: Request) -> Response {
        let path = req.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/objects/") {
            return self.object(req, name).await;
        }
        match (req.method().as_str(), path.as_str()) {
            ("GET", "/watch") => self.watch(&req).await,
            ("GET", "/control/calls") => serve::json(&self.store.calls()),
            ("POST", "/control/fault") => match serve::read_json(&mut req).await {
                Ok(spec) => self.set_fault(spec),
                Err(response) => response,
            },
            _ => serve::text(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn set_fault(&self, spec: FaultSpec) -> Response {
        let delay = Duration::from_millis(spec.ms);
        self.store
            .set_fault_with_delay(spec.fault, delay, spec.count);
        serve::text(StatusCode::OK, "")
    }

    async fn object(&self, mut req: Request, name: &str) -> Response {
        let peer = req.remote_addr().as_socket_addr().copied();
        match *req.method() {
            Method::GET => self.get(name).await,
            Method::HEAD => self.head(name).await,
            Method::PUT => {
                let body = req.take_body().into_bytes_limit(MAX_VALUE_BYTES).await;
                match (body, expected_version(&req)) {
                    (Ok(body), Some(expected_version)) => {
                        let result = self.store.put(name, body, expected_version).await;
                        self.update_response(result, peer)
                    }
                    (Err(_), _) => serve::text(
                        StatusCode::PAYLOAD_TOO_LARGE,
                        "the value is larger than 1 MiB",
                    ),
                    (_, None) => missing_expected_version(),
                }
            }
            Method::DELETE => match expected_version(&req) {
                Some(expected_version) => {
                    let result = self.store.delete(name, expected_version).await;
                    self.update_response(result.map(|()| Version(0)), peer)
                }
                None => missing_expected_version(),
            },
            _ => serve::text(
                StatusCode::METHOD_NOT_ALLOWED,
                "expected GET, HEAD, PUT or DELETE",
            ),
        }
    }

    async fn get(&self, name: &str) -> Response {
        match self.store.get(name).await {
            Ok(Some(object)) => with_version(StatusCode::OK, object.version).body(object.value),
            Ok(None) => serve::text(StatusCode::NOT_FOUND, ""),
            Err(err) => unavailable(&err),
        }
    }

    async fn head(&self, name: &str) -> Response {
        match self.store.version(name).await {
            Ok(Version(0)) => Response::builder().status(StatusCode::NOT_FOUND).finish(),
            Ok(version) => with_version(StatusCode::OK, version).finish(),
            Err(err) => unavailable(&err),
        }
    }

    /// Returns the response to an update. If the injected fault drops the response, the connection
    /// to `peer` is aborted instead.
    fn update_response(
        &self,
        result: Result<Version, Error>,
        peer: Option<SocketAddr>,
    ) -> Response {
        let err = match result {
            Ok(version) => return with_version(StatusCode::OK, version).finish(),
            Err(err) => err,
        };
        if let Some(found) = err.conflicting_version() {
            return with_version(StatusCode::PRECONDITION_FAILED, found).finish();
        }
        if err.outcome() == CallOutcome::Unknown
            && let Some(peer) = peer
        {
            self.connections.abort(peer);
        }
        unavailable(&err)
    }

    async fn watch(&self, req: &Request) -> Response {
        let number = |name| serve::query(req, name).and_then(|text| text.parse().ok());
        let prefix = serve::query(req, "prefix")
            .unwrap_or_default()
            .replace("%2F", "/");
        let after = Revision(number("after").unwrap_or_default());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        let changes = self
            .store
            .watch(&prefix, after, wait.min(MAX_WATCH_WAIT))
            .await;
        match changes.and_then(WireChanges::try_from) {
            Ok(wire) => serve::json(&wire),
            Err(err) => unavailable(&err),
        }
    }
}

/// Returns the version that a conditional update expects, or `None` if the header is missing or
/// malformed.
fn expected_version(req: &Request) -> Option<Version> {
    req.header(EXPECTED_VERSION)?.parse().ok()
}

fn missing_expected_version() -> Response {
    serve::text(
        StatusCode::BAD_REQUEST,
        "the x-expected-version header is missing or malformed",
    )
}

fn with_version(status: StatusCode, version: Version) -> poem::ResponseBuilder {
    Response::builder()
        .status(status)
        .header(FOUND_VERSION, version.to_string())
}

fn unavailable(err: &Error) -> Response {
    serve::text(StatusCode::SERVICE_UNAVAILABLE, &err.to_string())
}
