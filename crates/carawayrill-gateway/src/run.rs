//! Runs a gateway from its start to its graceful shutdown.

use std::sync::Arc;

use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::Error;
use crate::config::Config;
use crate::counting_store::CountingStore;
use crate::front;
use crate::front::Front;
use crate::granter_stream;
use crate::knowledge::Knowledge;
use crate::lease_manager::LeaseManager;
use crate::metrics::Metrics;
use crate::port::HeaderCodec;
use crate::port::ServerConnector;
use crate::port::SpanOrderSender;
use crate::port::StoreSchema;
use crate::reach;
use crate::ready;
use crate::ready::Readiness;
use crate::shutdown::Phase;
use crate::shutdown::shut_down;
use crate::state::Shared;
use crate::tcp_connector::TcpConnector;
use crate::upstream::Upstream;
use crate::waiting;
use crate::watcher;

/// The external systems of a gateway.
#[derive(Debug, Clone)]
pub struct Ports {
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// Decodes the objects in the store.
    pub schema: Arc<dyn StoreSchema>,
    /// Reads and writes the headers of callers and servers.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Sends orders to servers.
    pub orders: Arc<dyn SpanOrderSender>,
    /// Opens the connections for requests to servers.
    pub connector: Arc<dyn ServerConnector>,
}

/// Serves until the process receives a stop signal, then shuts down gracefully.
///
/// # Errors
///
/// Fails if listening on an address or installing a signal handler fails.
pub async fn run(cfg: Config, ports: Ports) -> Result<(), Error> {
    let mut signals = Signals::new()?;
    run_until(cfg, ports, signals.stop()).await
}

/// Serves until `stop` completes, then shuts down gracefully.
///
/// # Errors
///
/// Fails if listening on an address fails.
pub async fn run_until(
    cfg: Config,
    ports: Ports,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let listeners = Listeners::open(&cfg)?;
    let shared = Arc::new(Shared::new(cfg, Metrics::new()?));
    emit(EventKind::Started {
        role: "gateway".into(),
        incarnation: Incarnation(shared.cfg.incarnation),
    });
    let ports = Ports {
        store: Arc::new(CountingStore::new(
            Arc::clone(&ports.store),
            Arc::clone(&shared),
        )),
        ..ports
    };
    let (phase, phases) = watch::channel(Phase::Running);
    let connections = |connector| Arc::new(Upstream::new(connector, Arc::clone(&shared.buffers)));
    let upstream = connections(Arc::clone(&ports.connector));
    let peers = connections(Arc::new(TcpConnector));
    let front = Arc::new(Front::new(
        Arc::clone(&shared),
        Arc::clone(&upstream),
        Arc::clone(&peers),
        Arc::clone(&ports.header_codec),
        phases,
    ));
    let knowledge = Arc::new(Knowledge::new(&shared, &ports.schema, &upstream));
    let lease_manager = Arc::new(LeaseManager::new(
        Arc::clone(&shared),
        knowledge,
        Arc::clone(&ports.store),
        Arc::clone(&ports.orders),
    ));
    let readiness = Arc::new(Readiness::new(Arc::clone(&shared)));
    spawn_watchers(&lease_manager, &ports, &upstream);
    tokio::spawn(waiting::run_timer(Arc::clone(&shared)));
    tokio::spawn(reach::run_probes(Arc::clone(&shared), upstream, peers));
    spawn_granter(&lease_manager, &ports, listeners.peer);
    tokio::spawn(readiness.serve(listeners.ready));
    tokio::spawn(ready::serve_metrics(Arc::clone(&shared), listeners.metrics));
    tokio::spawn(Arc::clone(&front).accept(listeners.front));
    stop.await;
    shut_down(&shared, &front, &lease_manager, &phase).await;
    Ok(())
}

struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    peer: TcpListener,
}

impl Listeners {
    fn open(cfg: &Config) -> Result<Self, Error> {
        Ok(Self {
            front: front::listen(cfg.listen)?,
            ready: front::listen(cfg.ready)?,
            metrics: front::listen(cfg.metrics)?,
            peer: front::listen(cfg.peer)?,
        })
    }
}

fn spawn_watchers(lease_manager: &Arc<LeaseManager>, ports: &Ports, upstream: &Arc<Upstream>) {
    let knowledge = lease_manager.knowledge();
    let kinds = [
        (Some(&knowledge.manifest), "store-manifest"),
        (Some(&knowledge.servers), "store-servers"),
        (knowledge.evacuations.as_ref(), "store-evacuations"),
    ];
    let watched = kinds
        .into_iter()
        .filter_map(|(known, name)| Some((known?, name)));
    for (known, name) in watched {
        tokio::spawn(watcher::watch_kind(
            Arc::clone(lease_manager),
            Arc::clone(&ports.store),
            Arc::clone(known),
            name,
        ));
    }
    tokio::spawn(watcher::run_cleanup(
        Arc::clone(lease_manager.shared()),
        Arc::clone(knowledge),
        Arc::clone(upstream),
    ));
}

fn spawn_granter(lease_manager: &Arc<LeaseManager>, ports: &Ports, peer: TcpListener) {
    tokio::spawn(Arc::clone(lease_manager).run());
    tokio::spawn(granter_stream::run(Arc::clone(lease_manager)));
    tokio::spawn(granter_stream::read_spans_without_granter(
        Arc::clone(lease_manager),
        Arc::clone(&ports.store),
    ));
    tokio::spawn(granter_stream::serve(Arc::clone(lease_manager), peer));
}

/// The signals that this process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(Error::signal)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::signal)?,
            hangup: signal(SignalKind::hangup()).map_err(Error::signal)?,
        })
    }

    /// Waits for a stop signal. SIGHUP is only logged: no setting can be changed while the process
    /// runs.
    async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log::info!("SIGHUP ignored: settings are read at start"),
            }
        }
    }
}
