//! The stream between a front and the granter.

mod convert;
mod service;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::event::EventKind;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_proto::granter::granter_client::GranterClient;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use self::convert::Heard;
pub use self::service::serve;
use crate::clock;
use crate::feed::Dependency;
use crate::granting;
use crate::granting::Report;
use crate::leasing::Leasing;
use crate::spans::SpanNews;
use crate::spans::SpanTable;
use crate::state::Shared;
use crate::state::Tables;

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The change of a server's speed, as a share, from which on it is told again.
const SPEED_CHANGE: f64 = 0.05;
/// The time within which a connection to the granter has to be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a front that has just joined waits for the first update: it may be long.
const JOIN_WAIT: Duration = Duration::from_secs(3);
/// Reports that may wait to be sent.
const QUEUED_REPORTS: usize = 4;
/// The pause before the granter is joined again.
const REJOIN_WAIT: Duration = Duration::from_millis(100);
/// How long a front does without the granter before it reads the spans from the store.
const ALONE_AFTER: Duration = Duration::from_millis(700);
/// The time between two such reads.
const ALONE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps a front joined to the granter, whoever that is, for ever.
pub async fn run(leasing: Arc<Leasing>) {
    let mut dependency = Dependency::new("granter");
    loop {
        if let Some(granting) = leasing.granting() {
            dependency.reached();
            let report = take_report(leasing.shared());
            granting.report(report);
            let update = {
                let known = known(&leasing.shared().tables());
                convert::own_update(&granting.updates().borrow(), &known)
            };
            take_in(leasing.shared(), &update);
            wait_for_update(&granting).await;
            continue;
        }
        let lease = leasing.current().filter(|lease| !lease.released);
        let Some(lease) = lease.filter(|lease| lease.address != leasing.shared().cfg.peer) else {
            tokio::time::sleep(REJOIN_WAIT).await;
            continue;
        };
        if let Err(err) = join(&leasing, lease.address, &mut dependency).await {
            leasing.unheard();
            let _wait = dependency.failed(leasing.shared(), &err);
        }
        tokio::time::sleep(REJOIN_WAIT).await;
    }
}

/// Waits for the next update of this process's own granter, at most for one report interval.
async fn wait_for_update(granting: &granting::Granting) {
    let mut updates = granting.updates();
    let _changed = tokio::time::timeout(REPORT_INTERVAL, updates.changed()).await;
}

async fn connect(address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect()
        .await
}

/// Joins the granter at `address` and stays until the stream ends or falls silent.
async fn join(
    leasing: &Leasing,
    address: SocketAddr,
    dependency: &mut Dependency,
) -> Result<(), tonic::Status> {
    let channel = connect(address)
        .await
        .map_err(|err| tonic::Status::unavailable(err.to_string()))?;
    let shared = leasing.shared();
    let (tx, rx) = mpsc::channel(QUEUED_REPORTS);
    let known = {
        let mut tables = shared.tables();
        // A new granter knows no speeds.
        tables.told_speeds.clear();
        known(&tables)
    };
    // The first report names the front; it has to wait in the channel before the call begins.
    let _sent = tx.try_send(convert::report(take_report(shared), known));
    let mut client = GranterClient::new(channel);
    let call = client.join(ReceiverStream::new(rx));
    let mut updates = tokio::time::timeout(JOIN_WAIT, call)
        .await
        .map_err(|_elapsed| tonic::Status::deadline_exceeded("no answer to joining"))??
        .into_inner();
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    let mut silent_at = clock::now() + JOIN_WAIT;
    loop {
        tokio::select! {
            update = updates.message() => {
                let update = update?.ok_or_else(|| tonic::Status::unavailable("stream ended"))?;
                silent_at = clock::now() + leasing.silence_limit();
                dependency.reached();
                let update = convert::update(update);
                leasing.heard(update.lease);
                take_in(shared, &update);
            }
            _ = reports.tick() => {
                if clock::now() > silent_at {
                    return Err(tonic::Status::deadline_exceeded("silent"));
                }
                if tx.capacity() > 0 {
                    let report = convert::report(take_report(shared), convert::Known::new());
                    let _sent = tx.try_send(report);
                }
            }
        }
    }
}

/// Takes what was seen since the last report.
fn take_report(shared: &Shared) -> Report {
    let mut tables = shared.tables();

    let demand: HashMap<ServiceId, BTreeMap<u16, u32>> = std::mem::take(&mut tables.demand);
    let speeds = new_speeds(&mut tables);
    Report {
        front: shared.cfg.front.clone(),
        demand,
        speeds,
        cores: shared.cfg.cores,
    }
}

/// Returns up to where this front was told.
fn known(tables: &Tables) -> convert::Known {
    let told = tables
        .spans
        .iter()
        .filter_map(|(service, table)| Some((service.clone(), table.told?)));
    told.collect()
}

/// Returns the speeds of keyed servers that have changed since they were told.
fn new_speeds(tables: &mut Tables) -> Vec<(ServerId, f64)> {
    let now = clock::now();
    let keyed = |service: &ServiceId| tables.spans.contains_key(service);
    let changed: Vec<(ServerId, f64)> = tables
        .servers
        .iter()
        .filter(|server| keyed(&server.service))
        .filter_map(|server| {
            let service_ms = tables.loads.get(&server.id)?.service_ms(now)?;
            let told = tables.told_speeds.get(&server.id).copied();
            let same = told.is_some_and(|told| (service_ms / told - 1.0).abs() < SPEED_CHANGE);
            (!same).then(|| (server.id.clone(), service_ms))
        })
        .collect();
    tables.told_speeds.extend(changed.iter().cloned());
    changed
}

/// Takes in what the granter tells.
fn take_in(shared: &Shared, update: &Heard) {
    {
        let mut tables = shared.tables();
        tables.fronts.update(update.fronts, clock::now());
        tables.strongest = update.strongest;
        for (service, news) in &update.news {
            take_in_news(&mut tables, service, news);
        }
    }
    if !update.news.is_empty() {
        shared.announce();
    }
}

fn take_in_news(tables: &mut Tables, service: &ServiceId, news: &SpanNews) {
    let known = tables.spans.entry(service.clone()).or_default();
    let new_version = known.version != news.version;
    known.put(news);
    if new_version {
        emit(EventKind::SpansSeen {
            service: service.clone(),
            version: news.version,
            spans: known.spans.len(),
        });
    }
}

/// Reads the spans from the store while the granter can't be joined, for ever.
pub async fn read_alone(leasing: Arc<Leasing>, store: Arc<dyn ObjectStore>) {
    let shared = Arc::clone(leasing.shared());
    loop {
        tokio::time::sleep(ALONE_AFTER).await;
        let joined = leasing.granting().is_some()
            || leasing
                .silence()
                .is_some_and(|silence| silence < ALONE_AFTER);
        if joined {
            continue;
        }
        match granting::read_tables(&*store).await {
            Ok(read) => put_newer(&shared, read),
            Err(err) => log::info!("the spans can't be read from the store: {err}"),
        }
        tokio::time::sleep(ALONE_READ_INTERVAL.saturating_sub(ALONE_AFTER)).await;
    }
}

fn put_newer(shared: &Shared, read: BTreeMap<ServiceId, SpanTable>) {
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
    shared.announce();
}
