//! Connections to servers.
//!
//! A connection carries one request at a time. A request that is given up takes its connection
//! with it, so that the server stops and no late answer can meet another request.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock;

/// The time within which a connection to a server has to be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// What is added to the time in which a new connection was opened, to get the time for which it is
/// watched before a request is written to it. A server that has as many connections as it takes
/// resets further ones at once: that is seen one way there and back after the opening, and proves
/// that the server has read nothing.
const RESET_WAIT_MARGIN: Duration = Duration::from_millis(1);
/// The longest time for which a new connection is watched.
const MAX_RESET_WAIT: Duration = Duration::from_millis(30);
/// How long sent bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an idle connection is kept if the server says nothing about it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the server an idle connection is closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// The longest answer that is taken in, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// A whole answer.
#[derive(Debug)]
pub struct ServerResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    connection: Connection,
}

/// Why a send brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request has left.
    NotSent(CompactString),
    /// The request may have been run.
    Lost(CompactString),
}

/// A connection; dropping it closes it at once.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
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
    /// A kept one, if there is one.
    Allowed,
    /// Only one that carried no request before.
    Fresh,
}

/// The connections to all servers.
#[derive(Debug, Default)]
pub struct Upstream {
    idle: Mutex<HashMap<ServerId, VecDeque<IdleConnection>>>,
}

impl Upstream {
    fn idle(&self) -> MutexGuard<'_, HashMap<ServerId, VecDeque<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the kept connection that was used last, if one is still good.
    fn take_idle(&self, server: &ServerId) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle();
        let kept = idle.get_mut(server)?;
        while let Some(last) = kept.pop_back() {
            // A connection on which stray bytes or an end were read is not ready any more.
            if last.usable_until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Closes kept connections that are too old or of servers that `keep` refuses.
    pub fn evict_idle(&self, keep: impl Fn(&ServerId) -> bool) {
        let now = clock::now();
        let mut idle = self.idle();
        idle.retain(|server, kept| {
            kept.retain(|one| one.usable_until > now && !one.connection.sender.is_closed());
            keep(server) && !kept.is_empty()
        });
    }

    /// Keeps the connection of an answer for further requests, at max_idle `max_idle` of one server.
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
        let kept = idle.entry(server.clone()).or_default();
        kept.push_back(IdleConnection {
            connection: response.connection,
            usable_until: clock::now() + idle_time,
        });
        while kept.len() > max_idle {
            kept.pop_front();
        }
    }

    /// Sends a request and takes in the whole answer. Dropping the future cuts the request off.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came, and tells whether the request may have been run.
    pub async fn send(
        &self,
        server: &Server,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
        on_open: impl FnOnce(),
    ) -> Result<ServerResponse, SendError> {
        if reuse == Reuse::Allowed
            && let Some(mut connection) = self.take_idle(&server.id)
        {
            match connection.sender.try_send_request(req).await {
                Ok(resp) => return receive(resp, connection).await,
                Err(mut err) => match err.take_message() {
                    // The connection had been closed; nothing was written to it.
                    Some(unsent) => req = unsent,
                    None => return Err(lost(&err.into_error())),
                },
            }
        }
        on_open();
        let mut connection = open(server.address).await?;
        match connection.sender.try_send_request(req).await {
            Ok(resp) => receive(resp, connection).await,
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let err = err.into_error();
                if unsent {
                    return Err(SendError::NotSent(format_compact!("{err}")));
                }
                Err(lost(&err))
            }
        }
    }
}

fn lost(err: &hyper::Error) -> SendError {
    SendError::Lost(format_compact!("{err}"))
}

/// Returns whether an answer says that its connection will be closed.
fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

async fn receive(
    resp: http::Response<hyper::body::Incoming>,
    connection: Connection,
) -> Result<ServerResponse, SendError> {
    let (parts, body) = resp.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|err| SendError::Lost(format_compact!("broken answer: {err}")))?;
    Ok(ServerResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        connection,
    })
}

/// Opens a connection.
async fn open(address: SocketAddr) -> Result<Connection, SendError> {
    let not_sent = |err: &dyn std::fmt::Display| SendError::NotSent(format_compact!("{err}"));
    let started = clock::now();
    let stream = connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|err| not_sent(&err))?;
    // A server says nothing before it is asked: what can be read is the connection's end.
    let reset_wait = (clock::now().since(started) + RESET_WAIT_MARGIN).min(MAX_RESET_WAIT);
    let ended = tokio::time::timeout(reset_wait, stream.readable()).await;
    if ended.is_ok() {
        return Err(not_sent(&"closed at once"));
    }
    let (sender, driver) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| not_sent(&err))?;
    let task = tokio::spawn(async move {
        if let Err(err) = driver.await {
            log::debug!("connection to {address}: {err}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Opens a TCP connection that notices a silent peer.
///
/// # Errors
///
/// Fails if the connection is not open in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let stream = tokio::time::timeout(timeout, socket.connect(address))
        .await
        .map_err(|_elapsed| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
