//! The life of the process: start, tasks, planned stop.

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
use crate::leader::PREFIXES;
use crate::lease::LeaseTable;
use crate::metrics;
use crate::peers::GrpcPeers;
use crate::service::Service;
use crate::state::State;

/// The length of the lease until the configuration is known.
const FIRST_LEASE: Duration = Duration::from_secs(2);
/// The time limit of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// The index of the block of control work; there is one block today.
const CONTROL_BLOCK: u32 = 0;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if it can't start.
pub async fn run(settings: ControllerSettings) -> Result<(), Error> {
    let node = NodeId::try_from(settings.controller.as_str()).map_err(Error::start)?;
    carawayrill_telemetry::init(node).map_err(Error::start)?;
    let mut term = listen_for(SignalKind::terminate())?;
    let mut int = listen_for(SignalKind::interrupt())?;
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
    leader.give_up_lease().await;
    carawayrill_telemetry::emit(EventKind::Stopped { cut_off: 0 });
    served.map_err(Error::start)
}

/// Makes the tables and the clients of the outside systems.
fn make_leader(settings: &ControllerSettings, incarnation: Incarnation) -> Result<Leader, Error> {
    let me = settings.controller.clone();
    let lease = LeaseTable::new(me.clone(), incarnation, settings.peer, FIRST_LEASE);
    let store = HttpStore::new(address_of(&settings.store)?)?.timeout(STORE_TIMEOUT);
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    Ok(Leader {
        state: Arc::new(State::new(me, lease)),
        store: Arc::clone(&store),
        config: Arc::new(StoreConfig { store }),
        servers: Arc::new(HttpServerControl::new()?),
        peers: Arc::new(GrpcPeers::new(settings.controller.clone())),
        block: CONTROL_BLOCK,
    })
}

/// Starts the tasks that run until the stop.
fn spawn_tasks(
    leader: &Leader,
    settings: &ControllerSettings,
) -> Result<Vec<tokio::task::JoinHandle<()>>, Error> {
    let mut tasks = Vec::new();
    for prefix in PREFIXES {
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move { leader.follow(prefix).await }));
    }
    if let Some(url) = &settings.vm_list {
        let vms: Arc<dyn VmList> = Arc::new(HttpVmList::new(address_of(url)?)?);
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move { leader.follow_vms(vms).await }));
    }
    let keeper = leader.clone();
    tasks.push(tokio::spawn(async move { keeper.keep_lease().await }));
    let prober = leader.clone();
    tasks.push(tokio::spawn(async move { prober.probe_servers().await }));
    let actor = leader.clone();
    tasks.push(tokio::spawn(async move { actor.act().await }));
    let metrics = carawayrill_telemetry::metrics_client(settings.statsd).map_err(Error::start)?;
    tasks.push(tokio::spawn(metrics::report(leader.clone(), metrics)));
    Ok(tasks)
}

/// Takes over a signal.
fn listen_for(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(Error::start)
}
