//! Runs an HTTP endpoint on a listener until it is stopped, and helps to read requests and to
//! build responses.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::Server;
use poem::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connections::Connections;
use crate::connections::LimitedAcceptor;

/// How long a graceful shutdown waits for in-flight requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A handle to a running endpoint. The endpoint keeps running if the handle is dropped.
#[derive(Debug)]
pub struct RunningEndpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<io::Result<()>>,
}

impl RunningEndpoint {
    /// Stops accepting connections and waits for in-flight requests to finish.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint failed.
    pub async fn stop(self) -> io::Result<()> {
        self.stop.send_replace(true);
        self.task.await.map_err(io::Error::other)?
    }
}

/// Serves `endpoint` on `listener`.
///
/// # Errors
///
/// Returns an error if the local address of the listener can't be read.
pub fn serve<E>(
    listener: TcpListener,
    conns: Connections,
    endpoint: E,
) -> io::Result<RunningEndpoint>
where
    E: Endpoint<Output = Response> + 'static,
{
    let address = listener.local_addr()?;
    let acceptor = LimitedAcceptor::new(listener, conns)?;
    let (stop, mut stopped) = watch::channel(false);
    let signal = async move {
        // The handle was dropped: the endpoint can't be stopped any more and keeps running.
        if stopped.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let server = Server::new_with_acceptor(acceptor);
    let task =
        tokio::spawn(server.run_with_graceful_shutdown(endpoint, signal, Some(STOP_TIMEOUT)));
    Ok(RunningEndpoint {
        address,
        stop,
        task,
    })
}

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a response with `value` as its JSON body, or a 500 if it can't be serialised.
pub fn json<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// Returns a response with a status and a text body.
#[must_use]
pub fn text(status: StatusCode, text: &str) -> Response {
    Response::builder().status(status).body(text.to_owned())
}

/// Reads the body of a request as JSON.
///
/// # Errors
///
/// Returns a 400 response if the body can't be read or is not valid JSON for `T`.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let bad = |reason: String| text(StatusCode::BAD_REQUEST, &reason);
    let body = req
        .take_body()
        .into_bytes()
        .await
        .map_err(|err| bad(err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| bad(err.to_string()))
}

/// Returns the value of one query parameter, without percent-decoding it.
#[must_use]
pub fn query<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value)
}
