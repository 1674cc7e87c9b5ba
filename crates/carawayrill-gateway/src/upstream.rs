//! Connections to servers.
//!
//! A connection carries one request at a time. Cancelling a request closes its connection, so that
//! the server stops working on it and a late response can't be taken for that of another request.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::BytesMut;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::buffer_limit::BufferLimit;
use crate::buffer_limit::HeldBytes;
use crate::buffer_limit::NoMemory;
use crate::buffer_limit::Purpose;
use crate::clock;
use crate::held_data::HeldData;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::ReadMeter;
use crate::port::ServerConnector;

/// The timeout for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The addition to the connect time that gives the time for which a new connection is observed
/// before a request is written to it. A server at its connection limit resets further connections
/// at once. The reset arrives one round trip after the connect and proves that the server has read
/// nothing.
const RESET_WAIT_MARGIN: Duration = Duration::from_millis(1);
/// The maximum time for which a new connection is observed.
const MAX_RESET_WAIT: Duration = Duration::from_millis(30);
/// The timeout for learning whether an address refuses connections.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept if the server does not state a time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the server this side closes an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The maximum size of a response head, in bytes. A server in trouble may send bytes without end.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// The most bytes that are read until a head is complete: interim responses, the head, and what is read
/// of the body with it.
const MAX_BYTES_TO_HEAD: usize = 2 * MAX_HEAD_BYTES;
/// The most bytes that are read of a body, with the framing of its chunks.
const MAX_BODY_WIRE_BYTES: usize = 2 * MAX_RESPONSE_BYTES;
/// The statuses of a response, by RFC 9110, section 15. An interim one is not passed on, and no request
/// asks for another protocol.
const RESPONSE_STATUSES: RangeInclusive<u16> = 200..=599;

/// A complete response.
#[derive(Debug)]
pub struct ServerResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldData,
    /// Whether the connection has carried another request before.
    pub is_reused: bool,
    connection: Connection,
}

/// The reason why a send produced no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(CompactString),
    /// The connection was closed before a byte of the response arrived; the server may have run the
    /// request.
    Closed(CompactString),
    /// The response was lost; the server may have run the request.
    Lost(CompactString),
    /// This process has no memory for the response; the server may have run the request.
    NoMemory,
}

impl SendError {
    /// Returns what went wrong.
    #[must_use]
    pub fn reason(&self) -> CompactString {
        match self {
            Self::NotSent(reason) | Self::Closed(reason) | Self::Lost(reason) => reason.clone(),
            Self::NoMemory => NoMemory::LimitReached.to_compact_string(),
        }
    }
}

/// A connection that is closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<HeldData>>,
    task: AbortHandle,
    meter: Arc<ReadMeter>,
}

impl Connection {
    /// Sends a request and reads the head of the response.
    async fn exchange(
        &mut self,
        req: Request<Full<HeldData>>,
    ) -> Result<http::Response<Incoming>, TrySendError<Request<Full<HeldData>>>> {
        self.meter.begin_head(MAX_BYTES_TO_HEAD);
        let resp = self.sender.try_send_request(req).await?;
        self.meter.begin_body(MAX_BODY_WIRE_BYTES);
        Ok(resp)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Time,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection if there is one, otherwise a new one.
    Allowed,
    /// Only a new connection.
    Fresh,
}

/// The server or front that a request is sent to.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Its id, by which connections are reused.
    pub id: &'a ServerId,
    /// Its address.
    pub address: SocketAddr,
}

impl<'a> From<&'a Server> for Destination<'a> {
    fn from(server: &'a Server) -> Self {
        Self {
            id: &server.id,
            address: server.address,
        }
    }
}

/// The result of opening a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// The connection is open.
    Connected,
    /// The connection was opened and closed at once, as by a server at its connection limit.
    ClosedAtOnce,
    /// No connection could be opened.
    Failed,
}

/// The connections to all servers.
#[derive(Debug)]
pub struct Upstream {
    connector: Arc<dyn ServerConnector>,
    idle: Mutex<HashMap<ServerId, VecDeque<IdleConnection>>>,
    /// The bytes of the responses that are held.
    buffers: Arc<BufferLimit>,
}

impl Upstream {
    /// Creates the connections of a front. The responses count towards `buffers`.
    #[must_use]
    pub fn new(connector: Arc<dyn ServerConnector>, buffers: Arc<BufferLimit>) -> Self {
        Self {
            connector,
            idle: Mutex::default(),
            buffers,
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<ServerId, VecDeque<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the most recently used idle connection that is still usable.
    fn take_idle(&self, server: &ServerId) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(server)?;
        while let Some(last) = connections.pop_back() {
            // A connection that received stray bytes or end of file is no longer ready.
            if last.usable_until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Closes idle connections that have expired or whose server `keep` rejects.
    pub fn evict_idle(&self, keep: impl Fn(&ServerId) -> bool) {
        let now = clock::now();
        let mut idle = self.idle();
        idle.retain(|server, connections| {
            connections.retain(|one| one.usable_until > now && !one.connection.sender.is_closed());
            keep(server) && !connections.is_empty()
        });
    }

    /// Keeps the connection of a response for reuse, with at most `max_idle` connections per
    /// server.
    pub fn keep_idle(
        &self,
        server: &ServerId,
        response: ServerResponse,
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        if has_connection_close(&response.headers) {
            return;
        }
        let idle_time = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE + KEEP_ALIVE_MARGIN)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        let mut idle = self.idle();
        let connections = idle.entry(server.clone()).or_default();
        connections.push_back(IdleConnection {
            connection: response.connection,
            usable_until: clock::now() + idle_time,
        });
        while connections.len() > max_idle {
            connections.pop_front();
        }
    }

    /// Sends a request and reads the complete response. Dropping the future aborts the request.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives; the error says whether the server may have run the
    /// request.
    pub async fn send(
        &self,
        to: Destination<'_>,
        mut req: Request<Full<HeldData>>,
        reuse: Reuse,
        on_connect: impl FnOnce(ConnectResult),
    ) -> Result<ServerResponse, SendError> {
        if reuse == Reuse::Allowed
            && let Some(mut connection) = self.take_idle(to.id)
        {
            match connection.exchange(req).await {
                Ok(resp) => return self.receive(resp, connection, true).await,
                Err(mut err) => match err.take_message() {
                    // The connection was already closed; nothing was written to it.
                    Some(unsent) => req = unsent,
                    None => return Err(without_response(&err.into_error())),
                },
            }
        }
        let mut connection = self.open(to.address, on_connect).await?;
        match connection.exchange(req).await {
            Ok(resp) => self.receive(resp, connection, false).await,
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let err = err.into_error();
                if unsent {
                    return Err(SendError::NotSent(format_compact!("{err}")));
                }
                Err(without_response(&err))
            }
        }
    }

    /// Opens a connection and waits for an early reset.
    async fn open(
        &self,
        address: SocketAddr,
        on_connect: impl FnOnce(ConnectResult),
    ) -> Result<Connection, SendError> {
        let not_sent = |err: &dyn std::fmt::Display| SendError::NotSent(format_compact!("{err}"));
        let started = clock::now();
        let stream = match self.connector.connect(address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(err) => {
                on_connect(ConnectResult::Failed);
                return Err(not_sent(&err));
            }
        };
        // A server sends nothing before it receives a request, so the stream only becomes readable
        // if the server has closed or reset it.
        let reset_wait = (clock::now().since(started) + RESET_WAIT_MARGIN).min(MAX_RESET_WAIT);
        let ended = tokio::time::timeout(reset_wait, stream.readable()).await;
        if ended.is_ok() {
            on_connect(ConnectResult::ClosedAtOnce);
            return Err(not_sent(&"closed right after the connect"));
        }
        on_connect(ConnectResult::Connected);
        let meter = ReadMeter::of_responses(self.buffers.hold(Purpose::ResponseHead));
        let stream = MeteredStream::new(stream, Arc::clone(&meter));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(&err))?;
        let task = tokio::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("connection to {address} failed: {err}");
            }
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            meter,
        })
    }

    /// Returns whether a connection to a server can be opened, and closes it again.
    pub async fn can_connect(&self, address: SocketAddr) -> bool {
        let connected = self.connector.connect(address, CONNECT_TIMEOUT).await;
        connected.is_ok()
    }

    /// Returns whether nothing listens at an address, as after the crash of a server. An address that
    /// does not respond is no evidence of that: the network may be at fault.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = self.connector.connect(address, REFUSAL_TIMEOUT).await;
        connected.is_err_and(|err| {
            matches!(
                err.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            )
        })
    }

    fn max_response_bytes(&self) -> usize {
        MAX_RESPONSE_BYTES.min(self.buffers.max_response_bytes())
    }

    /// Reads the body of a response.
    async fn receive(
        &self,
        resp: http::Response<Incoming>,
        connection: Connection,
        is_reused: bool,
    ) -> Result<ServerResponse, SendError> {
        let (parts, mut body) = resp.into_parts();
        if !RESPONSE_STATUSES.contains(&parts.status.as_u16()) {
            let reason = format_compact!("{} is no status of a response", parts.status.as_str());
            return Err(SendError::Lost(reason));
        }
        let body = read_body(
            &mut body,
            self.max_response_bytes(),
            self.buffers.hold(Purpose::ResponseBody),
        )
        .await?;
        Ok(ServerResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            is_reused,
            connection,
        })
    }
}

impl From<NoMemory> for SendError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// Returns the error of a request whose response did not begin.
fn without_response(err: &hyper::Error) -> SendError {
    let reason = match err.source() {
        Some(source) => format_compact!("{err}: {source}"),
        None => format_compact!("{err}"),
    };
    if is_closed(err) {
        SendError::Closed(reason)
    } else {
        SendError::Lost(reason)
    }
}

/// Returns whether the peer has closed or reset the connection.
fn is_closed(err: &hyper::Error) -> bool {
    let source = err.source().and_then(|source| source.downcast_ref());
    let is_reset = source.is_some_and(|err: &std::io::Error| {
        matches!(
            err.kind(),
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe
        )
    });
    err.is_incomplete_message() || is_reset
}

/// Returns whether a response announces that its connection will be closed.
fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Reads a body that has an end within the limits.
async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    mut held: HeldBytes,
) -> Result<HeldData, SendError> {
    let lost = |reason: &dyn std::fmt::Display| {
        SendError::Lost(format_compact!("could not read the response: {reason}"))
    };
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut buf = BytesMut::with_capacity(announced.min(max_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| lost(&err))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > max_bytes {
            return Err(lost(&"the body is too long"));
        }
        held.add_with_room(data.len()).await?;
        buf.extend_from_slice(&data);
    }
    Ok(HeldData::new(buf.freeze(), held))
}
