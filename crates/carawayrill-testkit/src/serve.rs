//! Runs an HTTP endpoint on a listener until it is told to stop.

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

/// How long a planned stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// An endpoint that runs. It goes on if this is dropped.
#[derive(Debug)]
pub struct RunningEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<io::Result<()>>,
}

impl RunningEndpoint {
    /// Stops accepting, waits for requests in flight and ends.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint itself failed.
    pub async fn stop(self) -> io::Result<()> {
        self.stop.send_replace(true);
        self.task.await.map_err(io::Error::other)?
    }
}

/// Serves `endpoint` on `listener`.
///
/// # Errors
///
/// Fails if the listener has no local address.
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
        // A closed channel means that nobody can ask for a stop any more.
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

/// Waits until the process is asked to stop.
///
/// # Errors
///
/// Fails if signals can't be received.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Answers with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// Answers with a status and a text.
#[must_use]
pub fn text(status: StatusCode, text: &str) -> Response {
    Response::builder().status(status).body(text.to_owned())
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails with the answer to give if the body can't be read.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let bad = |reason: String| text(StatusCode::BAD_REQUEST, &reason);
    let body = req
        .take_body()
        .into_bytes()
        .await
        .map_err(|err| bad(err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| bad(err.to_string()))
}

/// Returns one query parameter, undecoded.
#[must_use]
pub fn query<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name).map(|(_, value)| value)
}
