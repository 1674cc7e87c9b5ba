//! The lifecycle of a router process: start, serving and planned stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carawayrill_config::daemon::RouterSettings;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::NodeId;
use carawayrill_core::time::Time;
use carawayrill_proto::wire::router_server::RouterServer;
use carawayrill_store::http_servers::HttpServerControl;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::url;
use poem::listener::Acceptor;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tonic::transport::server::TcpIncoming;

use crate::Error;
use crate::clock;
use crate::context::Context;
use crate::entry::callers::CallerConnections;
use crate::entry::http::Entry;
use crate::feed::Feed;
use crate::home::Home;
use crate::home::ownership::OwnershipDriver;
use crate::membership;
use crate::peer::pool::MAX_MESSAGE_BYTES;
use crate::peer::service::PeerService;
use crate::relay;
use crate::relay::HeartbeatTable;
use crate::versions::VersionReader;

/// The interval at which a planned stop checks whether it is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time that a stopping router keeps accepting requests, so that the load balancer and
/// the other routers notice the stop before the listeners close.
const MIN_STOP_NOTICE: Duration = Duration::from_millis(1_500);

/// The maximum time that open connections of callers are kept after the listener has closed.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a router until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
///
/// Fails if the settings are invalid or a listener can't be opened.
pub async fn run(settings: RouterSettings) -> Result<(), Error> {
    let node = NodeId::try_from(settings.router.as_str())
        .map_err(|err| Error::settings(err.to_string()))?;
    carawayrill_telemetry::init(node)?;
    let metrics = carawayrill_telemetry::metrics_client(settings.statsd)?;
    let store = url::address_of(&settings.store)
        .and_then(HttpStore::new)
        .map_err(|err| Error::settings(err.to_string()))?;
    let servers = HttpServerControl::new().map_err(|err| Error::settings(err.to_string()))?;
    let incarnation = clock::new_incarnation();
    let cx = Arc::new(Context::new(
        settings,
        incarnation,
        Arc::new(store),
        metrics,
    ));
    let versions = Arc::new(VersionReader::new(Arc::clone(&cx.store), cx.clock));
    let ownership = Arc::new(OwnershipDriver::new(
        Arc::new(servers),
        Arc::clone(&versions),
    ));
    let home = Home::new(ownership).map_err(|err| Error::serve(err.to_string()))?;
    let home = Arc::new(home);
    let heartbeats = Arc::new(HeartbeatTable::default());
    let service = PeerService::new(
        Arc::clone(&cx),
        Arc::clone(&home),
        versions,
        Arc::clone(&heartbeats),
    );

    let (closing, closed) = watch::channel(false);
    let peer = serve_peers(&cx, service, closed.clone()).await?;
    let entry = Entry::new(Arc::clone(&cx), Arc::clone(&home));
    let callers = entry.callers().clone();
    tokio::spawn(entry.unavailable().clone().report(Arc::clone(&cx)));
    let http = serve_callers(&cx, entry, closed).await?;
    let role = "router".into();
    carawayrill_telemetry::emit(EventKind::Started { role, incarnation });
    cx.members.put(membership::own_member(&cx));
    start_tasks(&cx, &home, &heartbeats);

    wait_for_signal().await?;
    stop(&cx, &home).await;
    close_caller_connections(&cx, &callers).await;
    closing.send_replace(true);
    join(http).await?;
    join(peer).await?;
    let cut_off = cx.in_flight.load(Ordering::Relaxed);
    carawayrill_telemetry::emit(EventKind::Stopped { cut_off });
    Ok(())
}

type ServerTask = tokio::task::JoinHandle<Result<(), Error>>;

async fn join(task: ServerTask) -> Result<(), Error> {
    task.await
        .unwrap_or_else(|err| Err(Error::serve(err.to_string())))
}

async fn serve_peers(
    cx: &Context,
    service: PeerService,
    mut closed: watch::Receiver<bool>,
) -> Result<ServerTask, Error> {
    let address = cx.settings.peer;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|err| Error::listen(address, err.to_string()))?;
    let service = RouterServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = tonic::transport::Server::builder().add_service(service);
    // The builder's own TCP_NODELAY setting applies only to listeners that it opens itself.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Ok(tokio::spawn(async move {
        let until = async move {
            // An error means that the sender was dropped, which also ends the server.
            let _closed = closed.wait_for(|closed| *closed).await;
        };
        server
            .serve_with_incoming_shutdown(incoming, until)
            .await
            .map_err(|err| Error::serve(err.to_string()))
    }))
}

async fn serve_callers(
    cx: &Context,
    entry: Entry,
    mut closed: watch::Receiver<bool>,
) -> Result<ServerTask, Error> {
    let address = cx.settings.http;
    let listen = |err: std::io::Error| Error::listen(address, err.to_string());
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(listen)?;
    let acceptor = entry.callers().accept_on(listener).map_err(listen)?;
    let grace = cx.settings.stop_grace.0;
    log::info!("listening for callers on {:?}", acceptor.local_addr());
    Ok(tokio::spawn(async move {
        let until = async move {
            let _closed = closed.wait_for(|closed| *closed).await;
        };
        poem::Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(entry, until, Some(grace))
            .await
            .map_err(|err| Error::serve(err.to_string()))
    }))
}

fn start_tasks(cx: &Arc<Context>, home: &Arc<Home>, heartbeats: &Arc<HeartbeatTable>) {
    for feed in [Feed::Members, Feed::Config, Feed::Assignments] {
        tokio::spawn(feed.run(Arc::clone(cx), Arc::clone(home)));
    }
    let registered = Arc::clone(cx);
    tokio::spawn(async move { membership::register(&registered).await });
    tokio::spawn(membership::send_heartbeats(
        Arc::clone(cx),
        Arc::clone(home),
        Arc::clone(heartbeats),
    ));
    tokio::spawn(relay::report(Arc::clone(cx), Arc::clone(heartbeats)));
    tokio::spawn(Arc::clone(home.ownership()).run(Arc::clone(cx)));
    tokio::spawn(Arc::clone(home.serving()).run(Arc::clone(cx)));
    tokio::spawn(Arc::clone(home.ownership()).probe_homes(Arc::clone(cx)));
}

async fn wait_for_signal() -> Result<(), Error> {
    let serve = |err: std::io::Error| Error::serve(err.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(serve)?;
    let mut int = signal(SignalKind::interrupt()).map_err(serve)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Performs a planned stop: announces it, waits until this router is no home any more and no request
/// is in flight, and removes its registration from the store. Waits no longer than the grace time of
/// the settings.
async fn stop(cx: &Context, home: &Home) {
    cx.stopping.store(true, Ordering::Relaxed);
    let in_flight = cx.in_flight.load(Ordering::Relaxed);
    carawayrill_telemetry::emit(EventKind::Stopping { in_flight });
    let began = cx.now();
    let limit = cx.settings.stop_grace.0;
    let register = tokio::time::timeout(limit, membership::register(cx));
    if register.await.is_err() {
        log::warn!("could not announce the planned stop in the store: timed out");
    }
    while cx.now().since(began) < limit && !is_drained(cx, home, began) {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    membership::deregister(cx).await;
}

/// Closes the listener and waits for the open connections. Each connection closes with its next
/// answer; idle connections are closed at the end of the wait.
async fn close_caller_connections(cx: &Context, callers: &CallerConnections) {
    callers.stop_accepting();
    let began = cx.now();
    while cx.now().since(began) < LAST_REQUEST_TIMEOUT && !callers.all_closed() {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

fn is_drained(cx: &Context, home: &Home, began: Time) -> bool {
    let is_announced = cx.now().since(began) >= MIN_STOP_NOTICE;
    let handed_over =
        home.ownership().is_idle(cx) || !cx.members.has_successor(&cx.settings.router);
    is_announced && cx.in_flight.load(Ordering::Relaxed) == 0 && handed_over
}
