//! The stream between a front and the granter.
//!
//! A front reports demand and service times; the granter sends updates of the spans.

mod convert;
mod crashes;
mod egress;
mod limits;
mod loads;
mod peers;
mod relay;
mod service;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::limit::FrontShare;
use carawayrill_core::direct::quarantine::Scope;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_proto::granter as wire;
use carawayrill_proto::granter::granter_client::GranterClient;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use self::convert::ReceivedUpdate;
pub use self::service::serve;
use crate::clock;
use crate::cold;
use crate::granter_runtime;
use crate::granter_runtime::LeavingServer;
use crate::granter_runtime::Report;
use crate::lease_manager::LeaseManager;
use crate::quarantine;
use crate::quarantine::ReportSource;
use crate::spans::SpanDelta;
use crate::spans::SpanTable;
use crate::state::Shared;
use crate::state::Tables;
use crate::watcher::Dependency;

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum relative change of a server's service time that is reported again.
const MIN_SERVICE_TIME_CHANGE: f64 = 0.05;
/// The timeout for opening a connection to the granter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout for the first update after joining, which may contain all spans.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of reports that wait to be sent.
const REPORT_QUEUE_LEN: usize = 4;
/// The delay before the next attempt to join the granter.
const REJOIN_DELAY: Duration = Duration::from_millis(100);
/// The time without a connection to the granter after which a front reads the spans from the store.
const STORE_READ_DELAY: Duration = Duration::from_millis(700);
/// The time without a connection to the granter for which the spans that it has sent are current
/// enough: no other granter moves keys before its lease has expired.
const KNOWN_SPANS_TTL: Duration = Duration::from_secs(4);
/// The interval between two reads of the spans from the store.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps this front connected to the current granter. Never returns.
pub async fn run(lease_manager: Arc<LeaseManager>) {
    let mut dependency = Dependency::new("granter");
    let mut peers_known = 0;
    loop {
        if let Some(granter_runtime) = lease_manager.granter_runtime() {
            dependency.record_success();
            let report = take_report(lease_manager.shared());
            granter_runtime.add_report(report);
            let update = {
                let shared = lease_manager.shared();
                let known = known_positions(&shared.tables());
                let cfg = &shared.cfg;
                let limits = granter_runtime.shares_of(&cfg.front, clock::now());
                let peers =
                    granter_runtime.peers_of(&cfg.front, &cfg.data_centre, &mut peers_known);
                let egress = granter_runtime.egress_of(&cfg.data_centre);
                convert::local_update(
                    &granter_runtime.updates().borrow(),
                    &known,
                    limits,
                    peers,
                    egress,
                    clock::now(),
                )
            };
            apply_update(&lease_manager, &update);
            wait_for_update(&granter_runtime).await;
            continue;
        }
        peers_known = 0;
        let lease = lease_manager.current().filter(|lease| !lease.released);
        let Some(lease) = lease.filter(|lease| lease.address != lease_manager.shared().cfg.peer)
        else {
            tokio::time::sleep(REJOIN_DELAY).await;
            continue;
        };
        if let Err(err) = join(&lease_manager, lease.address, &mut dependency).await {
            lease_manager.clear_contact();
            let _wait = dependency.record_failure(lease_manager.shared(), &err);
        }
        tokio::time::sleep(REJOIN_DELAY).await;
    }
}

/// Waits for the next update of the granter in this process, at most for one report interval.
async fn wait_for_update(granter_runtime: &granter_runtime::GranterRuntime) {
    let mut updates = granter_runtime.updates();
    let _changed = tokio::time::timeout(REPORT_INTERVAL, updates.changed()).await;
}

async fn connect(address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect()
        .await
}

/// Joins the granter at `address` and exchanges reports and updates until the stream ends or no
/// update arrives in time.
async fn join(
    lease_manager: &LeaseManager,
    address: SocketAddr,
    dependency: &mut Dependency,
) -> Result<(), tonic::Status> {
    let channel = connect(address)
        .await
        .map_err(|err| tonic::Status::unavailable(err.to_string()))?;
    let shared = lease_manager.shared();
    let (tx, rx) = mpsc::channel(REPORT_QUEUE_LEN);
    let known = {
        let mut tables = shared.tables();
        // A new granter has no service times.
        tables.reported_service_times.clear();
        known_positions(&tables)
    };
    // The first report names the front and must be in the channel before the call begins.
    let first = convert::encode_report(take_report(shared), known);
    let knowledge = lease_manager.knowledge();
    let mut crashes_reported = 0;
    let first = add_crashes(first, shared, Scope::All, &mut crashes_reported);
    let first = add_proof(first, shared);
    let _sent = tx.try_send(convert::add_positions(first, knowledge, clock::now()));
    let mut client = GranterClient::new(channel);
    let call = client.join(ReceiverStream::new(rx));
    let mut updates = tokio::time::timeout(JOIN_TIMEOUT, call)
        .await
        .map_err(|_elapsed| tonic::Status::deadline_exceeded("no response to the join call"))??
        .into_inner();
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    let mut update_deadline = clock::now() + JOIN_TIMEOUT;
    loop {
        tokio::select! {
            update = updates.message() => {
                let update = update?.ok_or_else(|| tonic::Status::unavailable("stream ended"))?;
                update_deadline = clock::now() + lease_manager.contact_timeout();
                dependency.record_success();
                let update = convert::decode_update(update);
                lease_manager.record_contact(update.lease);
                apply_update(lease_manager, &update);
            }
            () = shared.crash_observed() => reports.reset_immediately(),
            _ = reports.tick() => {
                if clock::now() > update_deadline {
                    return Err(tonic::Status::deadline_exceeded("silent"));
                }
                if tx.capacity() > 0 {
                    // The granter knows from the first report where this front is.
                    let report = Report {
                        peer: None,
                        ..take_report(shared)
                    };
                    let report = convert::encode_report(report, convert::KnownPositions::new());
                    let report =
                        add_crashes(report, shared, Scope::Observed, &mut crashes_reported);
                    let report = convert::add_positions(report, knowledge, clock::now());
                    let _sent = tx.try_send(report);
                }
            }
        }
    }
}

/// Adds the requests under which servers crashed, as far as they have changed after change number
/// `reported`.
fn add_crashes(
    report: wire::FrontReport,
    shared: &Shared,
    scope: Scope,
    reported: &mut u64,
) -> wire::FrontReport {
    let tables = shared.tables();
    let crashes = tables.crashes.reports(scope, *reported, clock::now());
    *reported = tables.crashes.change_count();
    wire::FrontReport {
        crashes: crashes::encode(&crashes),
        ..report
    }
}

/// Adds the proof that the sender is a front, if it knows a key.
fn add_proof(report: wire::FrontReport, shared: &Shared) -> wire::FrontReport {
    let proof = shared.tables().peer_keys.sign_join(&report.front);
    wire::FrontReport {
        proof: proof.unwrap_or_default().into(),
        ..report
    }
}

/// Takes the observations since the last report.
fn take_report(shared: &Shared) -> Report {
    let mut tables = shared.tables();

    let demand: HashMap<ServiceId, BTreeMap<u16, u32>> = std::mem::take(&mut tables.demand);
    let service_loads = take_service_loads(&mut tables);
    let service_times = changed_service_times(&mut tables);
    let leaving = tables
        .servers
        .announced_leaving()
        .map(|server| LeavingServer {
            server: server.id.clone(),
            born: server.born,
        });
    let leaving = leaving.collect();
    let limits = tables.limits.take_reports(clock::now());
    let peer = Peer {
        front: shared.cfg.front.clone(),
        address: shared.cfg.listen,
        data_centre: shared.cfg.data_centre.clone(),
    };
    Report {
        data_centre: Some(peer.data_centre.clone()),
        peer: Some(peer),
        serves_for_others: tables.serves_for_others(),
        leaving,
        limits,
        front: shared.cfg.front.clone(),
        demand,
        service_loads,
        service_times,
        cores: shared.cfg.cores,
    }
}

/// Takes the requests of each service since the last report. They count at this front too, which
/// knows only its own.
fn take_service_loads(tables: &mut Tables) -> HashMap<ServiceId, ServiceLoad> {
    let now = clock::now();
    let loads = std::mem::take(&mut tables.service_loads);
    for (service, load) in &loads {
        tables.homes.record_load(service, load, now);
    }
    loads
}

/// Returns the positions up to which this front has the granter's changes.
fn known_positions(tables: &Tables) -> convert::KnownPositions {
    let positions = tables
        .spans
        .iter()
        .filter_map(|(service, table)| Some((service.clone(), table.position?)));
    positions.collect()
}

/// Returns the service times that have changed since they were last reported.
fn changed_service_times(tables: &mut Tables) -> Vec<(ServerId, f64)> {
    let now = clock::now();
    let is_needed = |service: &ServiceId| {
        tables.spans.contains_key(service) || tables.has_egress_shares(service)
    };
    let changed: Vec<(ServerId, f64)> = tables
        .servers
        .iter()
        .filter(|server| is_needed(&server.service))
        .filter_map(|server| {
            let service_ms = tables.loads.get(&server.id)?.service_ms(now)?;
            let reported = tables.reported_service_times.get(&server.id).copied();
            let is_same = reported.is_some_and(|reported| {
                (service_ms / reported - 1.0).abs() < MIN_SERVICE_TIME_CHANGE
            });
            (!is_same).then(|| (server.id.clone(), service_ms))
        })
        .collect();
    tables
        .reported_service_times
        .extend(changed.iter().cloned());
    changed
}

/// Applies an update of the granter to the tables.
fn apply_update(lease_manager: &LeaseManager, update: &ReceivedUpdate) {
    let shared = lease_manager.shared();
    for changes in &update.changes {
        if let Some(known) = lease_manager.knowledge().kind(&changes.kind) {
            // Changes that don't continue from what is known are read from the store.
            let _applied = known.apply_relayed(&changes.relayed, changes.confirmed);
        }
    }
    {
        let mut tables = shared.tables();
        tables.fronts.update(update.fronts, clock::now());
        tables.limits.confirm_fronts();
        tables.strongest_cores = update.strongest_cores;
        apply_limits(shared, &mut tables, &update.limits);
        if let Some((key, version)) = &update.peer_key {
            tables.peer_keys.set(key, *version);
        }
        if let Some(peers) = &update.peers {
            tables.peers.set(peers.clone());
        }
        tables.trier.clone_from(&update.trier);
        for (service, delta) in &update.deltas {
            apply_delta(&mut tables, service, delta);
        }
    }
    shared.apply_egress(&update.egress, update.echo);
    quarantine::merge_reports(shared, &update.crashes, ReportSource::Granter);
    if !update.deltas.is_empty() {
        shared.notify_changed();
    }
}

/// Applies this front's shares in the limits of servers.
fn apply_limits(shared: &Shared, tables: &mut Tables, limits: &[FrontShare]) {
    let now = clock::now();
    let fronts = tables.fronts.get();
    for share in limits {
        let statement = &share.statement;
        let listed = tables.servers.get(&statement.server);
        if listed.is_none_or(|server| server.born != statement.born) {
            continue;
        }
        let phase = tables.rng.random_range(0.0..1.0);
        if let Some(cold) = statement.cold {
            let born = statement.born;
            shared.note_cold(tables, &statement.server, born, cold.left, cold::GRANTER);
        }
        if tables.limits.apply_share(share, fronts, phase, now) {
            let limit = tables.limits.get(&statement.server, now);
            shared.emit_limit(&statement.server, limit, "granter");
        }
    }
}

fn apply_delta(tables: &mut Tables, service: &ServiceId, delta: &SpanDelta) {
    let known = tables.spans.entry(service.clone()).or_default();
    let new_version = known.version != delta.version;
    known.apply(delta);
    if new_version {
        emit(EventKind::SpansSeen {
            service: service.clone(),
            version: delta.version.version,
            spans: known.spans.len(),
        });
    }
}

/// Reads the spans from the store while there is no connection to the granter. Never returns.
pub async fn read_spans_without_granter(
    lease_manager: Arc<LeaseManager>,
    store: Arc<dyn ObjectStore>,
) {
    let shared = Arc::clone(lease_manager.shared());
    loop {
        tokio::time::sleep(STORE_READ_DELAY).await;
        let enough = if shared.tables().lacks_spans() {
            STORE_READ_DELAY
        } else {
            KNOWN_SPANS_TTL
        };
        let joined = lease_manager.granter_runtime().is_some()
            || lease_manager
                .time_since_contact()
                .is_some_and(|elapsed| elapsed < enough);
        if joined {
            continue;
        }
        match granter_runtime::read_tables(&*store).await {
            Ok(read) => insert_newer(&shared, read),
            Err(err) => log::info!("could not read the spans from the store: {err}"),
        }
        tokio::time::sleep(STORE_READ_INTERVAL.saturating_sub(STORE_READ_DELAY)).await;
    }
}

fn insert_newer(shared: &Shared, read: BTreeMap<ServiceId, SpanTable>) {
    let mut tables = shared.tables();
    for (service, table) in read {
        let newer = tables
            .spans
            .get(&service)
            .is_none_or(|known| known.version < table.version);
        if newer {
            tables.spans.insert(service, table);
        }
    }
    drop(tables);
    shared.notify_changed();
}
