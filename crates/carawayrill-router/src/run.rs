//! The life of a router process: start, serve, planned stop.

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
use crate::entry::callers::Callers;
use crate::entry::http::Entry;
use crate::feed::Feed;
use crate::home::Home;
use crate::home::control::Control;
use crate::membership;
use crate::peer::pool::MAX_MESSAGE_BYTES;
use crate::peer::service::PeerService;
use crate::relay;
use crate::relay::HeartbeatTable;
use crate::versions::VersionReader;

/// How often a planned stop looks whether all is done.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a planned stop goes on taking requests, so that the balancer and the other routers
/// learn of it before the listeners close.
const STOP_NOTICE: Duration = Duration::from_millis(1_500);

/// How long open connections of callers are kept after the listener has closed.
const LAST_REQUEST: Duration = Duration::from_secs(5);

/// Runs a router until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings can't be used or an address can't be listened on.
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
    let control = Arc::new(Control::new(Arc::new(servers), Arc::clone(&versions)));
    let home = Home::new(control).map_err(|err| Error::serve(err.to_string()))?;
    let home = Arc::new(home);
    let beats = Arc::new(HeartbeatTable::default());
    let service = PeerService::new(
        Arc::clone(&cx),
        Arc::clone(&home),
        versions,
        Arc::clone(&beats),
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
    start_tasks(&cx, &home, &beats);

    wait_for_signal().await?;
    stop(&cx, &home).await;
    end_connections(&cx, &callers).await;
    closing.send_replace(true);
    finish(http).await?;
    finish(peer).await?;
    let cut_off = cx.in_flight.load(Ordering::Relaxed);
    carawayrill_telemetry::emit(EventKind::Stopped { cut_off });
    Ok(())
}

type Listening = tokio::task::JoinHandle<Result<(), Error>>;

async fn finish(listening: Listening) -> Result<(), Error> {
    listening
        .await
        .unwrap_or_else(|err| Err(Error::serve(err.to_string())))
}

async fn serve_peers(
    cx: &Context,
    service: PeerService,
    mut closed: watch::Receiver<bool>,
) -> Result<Listening, Error> {
    let address = cx.settings.peer;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|err| Error::listen(address, err.to_string()))?;
    let service = RouterServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = tonic::transport::Server::builder().add_service(service);
    // The builder's own setting holds only for listeners that it opens itself.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Ok(tokio::spawn(async move {
        let until = async move {
            // An error means that the sender is gone, which also ends the serving.
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
) -> Result<Listening, Error> {
    let address = cx.settings.http;
    let listen = |err: std::io::Error| Error::listen(address, err.to_string());
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(listen)?;
    let acceptor = entry.callers().accept_on(listener).map_err(listen)?;
    let grace = cx.settings.stop_grace.0;
    log::info!("callers are served on {:?}", acceptor.local_addr());
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

fn start_tasks(cx: &Arc<Context>, home: &Arc<Home>, beats: &Arc<HeartbeatTable>) {
    for feed in [Feed::Members, Feed::Config, Feed::Assignments] {
        tokio::spawn(feed.run(Arc::clone(cx), Arc::clone(home)));
    }
    let entry = Arc::clone(cx);
    tokio::spawn(async move { membership::register(&entry).await });
    tokio::spawn(membership::heartbeats(
        Arc::clone(cx),
        Arc::clone(home),
        Arc::clone(beats),
    ));
    tokio::spawn(relay::report(Arc::clone(cx), Arc::clone(beats)));
    tokio::spawn(Arc::clone(home.control()).run(Arc::clone(cx)));
    tokio::spawn(Arc::clone(home.desk()).run(Arc::clone(cx)));
    tokio::spawn(Arc::clone(home.control()).probe_homes(Arc::clone(cx)));
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

/// Leaves by plan: says so, waits until it is the home of nothing and no request is in flight, and
/// takes its entry out of the store. Goes on after the settings' grace time in any case.
async fn stop(cx: &Context, home: &Home) {
    cx.stopping.store(true, Ordering::Relaxed);
    let in_flight = cx.in_flight.load(Ordering::Relaxed);
    carawayrill_telemetry::emit(EventKind::Stopping { in_flight });
    let began = cx.now();
    let limit = cx.settings.stop_grace.0;
    let register = tokio::time::timeout(limit, membership::register(cx));
    if register.await.is_err() {
        log::warn!("the store did not take the notice of this stop");
    }
    while cx.now().since(began) < limit && !may_close(cx, home, began) {
        tokio::time::sleep(STOP_POLL).await;
    }
    membership::deregister(cx).await;
}

/// Closes the listener, and gives each open connection the time for one more request: its answer
/// closes the connection. A connection that stays idle is closed at the end.
async fn end_connections(cx: &Context, callers: &Callers) {
    callers.stop_accepting();
    let began = cx.now();
    while cx.now().since(began) < LAST_REQUEST && !callers.are_gone() {
        tokio::time::sleep(STOP_POLL).await;
    }
}

fn may_close(cx: &Context, home: &Home, began: Time) -> bool {
    let noticed = cx.now().since(began) >= STOP_NOTICE;
    let handed_over = home.control().is_idle(cx) || !cx.members.has_successor(&cx.settings.router);
    noticed && cx.in_flight.load(Ordering::Relaxed) == 0 && handed_over
}
