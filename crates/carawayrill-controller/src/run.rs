//! The lifecycle of the process: start, background tasks and planned stop.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_config::daemon::ControllerSettings;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::NodeId;
use carawayrill_proto::wire::controller_server::ControllerServer;
use carawayrill_store::http_servers::HttpServerControl;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::http_vms::HttpVmList;
use carawayrill_store::port::ObjectStore;
use carawayrill_store::port::VmList;
use carawayrill_store::url::address_of;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tonic::transport::Server;

use crate::Error;
use crate::config::StoreConfig;
use crate::leader::Leader;
use crate::leader::WATCHED_PREFIXES;
use crate::lease::LeaseTable;
use crate::metrics;
use crate::router_control::GrpcRouterControl;
use crate::service::Service;
use crate::state::State;

/// Duration of the lease until the configuration is known.
const INITIAL_LEASE_DURATION: Duration = Duration::from_secs(2);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Index of the block of control work. There is only one block at present.
const CONTROL_BLOCK: u32 = 0;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the daemon can't start or its gRPC server fails.
pub async fn run(settings: ControllerSettings) -> Result<(), Error> {
    let node = NodeId::try_from(settings.controller.as_str()).map_err(Error::start)?;
    carawayrill_telemetry::init(node).map_err(Error::start)?;
    let mut term = signal_stream(SignalKind::terminate())?;
    let mut int = signal_stream(SignalKind::interrupt())?;
    let incarnation = Incarnation(carawayrill_telemetry::wall_now().0);
    let leader = make_leader(&settings, incarnation)?;
    let tasks = spawn_tasks(&leader, &settings)?;
    let service = Service {
        state: Arc::clone(&leader.state),
    };
    carawayrill_telemetry::emit(EventKind::Started {
        role: "controller".into(),
        incarnation,
    });
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        carawayrill_telemetry::emit(EventKind::Stopping { in_flight: 0 });
    };
    let served = Server::builder()
        .add_service(ControllerServer::new(service))
        .serve_with_shutdown(settings.peer, stop)
        .await;
    for task in &tasks {
        task.abort();
    }
    leader.release_lease().await;
    carawayrill_telemetry::emit(EventKind::Stopped { cut_off: 0 });
    served.map_err(Error::start)
}

/// Creates the tables and the clients of external systems.
fn make_leader(settings: &ControllerSettings, incarnation: Incarnation) -> Result<Leader, Error> {
    let me = settings.controller.clone();
    let lease = LeaseTable::new(
        me.clone(),
        incarnation,
        settings.peer,
        INITIAL_LEASE_DURATION,
    );
    let store = HttpStore::new(address_of(&settings.store)?)?.timeout(STORE_TIMEOUT);
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    Ok(Leader {
        state: Arc::new(State::new(me, lease)),
        store: Arc::clone(&store),
        config: Arc::new(StoreConfig { store }),
        servers: Arc::new(HttpServerControl::new()?),
        routers: Arc::new(GrpcRouterControl::new(settings.controller.clone())),
        block: CONTROL_BLOCK,
    })
}

/// Starts the background tasks, which run until they are aborted at the stop.
fn spawn_tasks(
    leader: &Leader,
    settings: &ControllerSettings,
) -> Result<Vec<tokio::task::JoinHandle<()>>, Error> {
    let mut tasks = Vec::new();
    for prefix in WATCHED_PREFIXES {
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move { leader.watch(prefix).await }));
    }
    if let Some(url) = &settings.vm_list {
        let vms: Arc<dyn VmList> = Arc::new(HttpVmList::new(address_of(url)?)?);
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move { leader.poll_vms(vms).await }));
    }
    let renewer = leader.clone();
    tasks.push(tokio::spawn(async move { renewer.maintain_lease().await }));
    let prober = leader.clone();
    tasks.push(tokio::spawn(async move { prober.probe_servers().await }));
    let ticker = leader.clone();
    tasks.push(tokio::spawn(async move { ticker.run_ticks().await }));
    let metrics = carawayrill_telemetry::metrics_client(settings.statsd).map_err(Error::start)?;
    tasks.push(tokio::spawn(metrics::report(leader.clone(), metrics)));
    Ok(tasks)
}

/// Installs the handler of a signal.
fn signal_stream(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(Error::start)
}
