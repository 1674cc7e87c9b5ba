//! The granter's side of the stream.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::quarantine::Scope;
use carawayrill_core::time::Time;
use carawayrill_proto::granter as wire;
use carawayrill_proto::granter::granter_server::Granter;
use carawayrill_proto::granter::granter_server::GranterServer;
use compact_str::CompactString;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;
use tonic::transport::Server;

use crate::clock;
use crate::granter_runtime::GranterRuntime;
use crate::granter_runtime::Report;
use crate::granter_stream::convert;
use crate::granter_stream::crashes;
use crate::granter_stream::egress;
use crate::granter_stream::limits;
use crate::granter_stream::peers;
use crate::granter_stream::relay::ChangeRelay;
use crate::lease_manager::LeaseManager;
use crate::quarantine;
use crate::quarantine::ReportSource;
use crate::state::Shared;

/// The maximum number of updates that wait to be sent to one front.
const UPDATE_QUEUE_LEN: usize = 4;
/// The timeout for the next report of a front, after which its stream is closed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the stream to other fronts.
pub async fn serve(lease_manager: Arc<LeaseManager>, listener: TcpListener) {
    let incoming = TcpListenerStream::new(listener);
    let served = Server::builder()
        .tcp_nodelay(true)
        .add_service(GranterServer::new(Service { lease_manager }))
        .serve_with_incoming(incoming)
        .await;
    if let Err(err) = served {
        log::error!("the stream server for other fronts failed: {err}");
    }
}

#[derive(Debug)]
struct Service {
    lease_manager: Arc<LeaseManager>,
}

type Updates = Pin<Box<dyn Stream<Item = Result<wire::GranterUpdate, Status>> + Send>>;

#[tonic::async_trait]
impl Granter for Service {
    type JoinStream = Updates;

    async fn join(
        &self,
        request: Request<Streaming<wire::FrontReport>>,
    ) -> Result<Response<Updates>, Status> {
        let granter_runtime = self
            .lease_manager
            .granter_runtime()
            .ok_or_else(|| Status::failed_precondition("this front is not the granter"))?;
        let (tx, rx) = mpsc::channel(UPDATE_QUEUE_LEN);
        tokio::spawn(serve_front(
            Arc::clone(&self.lease_manager),
            granter_runtime,
            request.into_inner(),
            tx,
        ));
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }
}

/// Receives reports and sends updates until either side ends the stream.
async fn serve_front(
    lease_manager: Arc<LeaseManager>,
    granter_runtime: Arc<GranterRuntime>,
    mut reports: Streaming<wire::FrontReport>,
    tx: mpsc::Sender<Result<wire::GranterUpdate, Status>>,
) {
    let first = tokio::time::timeout(REPORT_TIMEOUT, reports.message()).await;
    let Ok(Ok(Some(first))) = first else {
        return;
    };
    let mut known = convert::decode_known(&first);
    let mut echo = Time(first.sent_ms);
    let knowledge = Arc::clone(lease_manager.knowledge());
    let front = CompactString::from(first.front.as_str());
    let mut relay = ChangeRelay::new(front.clone(), convert::decode_positions(&first));
    let shared = Arc::clone(lease_manager.shared());
    let mut crashes_told = 0;
    let source = ReportSource::Front(&front);
    quarantine::merge_reports(&shared, &crashes::decode(&first.crashes), source);
    let is_proven = shared.verify_join(&first.front, &first.proof);
    let mut first = convert::decode_report(first);
    let data_centre = first.data_centre.clone();
    if !is_proven {
        // A front without an address is not named to others.
        first.peer = None;
    }
    let mut peers_told = 0;
    granter_runtime.add_report(first);
    let mut updates = granter_runtime.updates();
    updates.mark_changed();
    loop {
        if !granter_runtime.is_current() {
            return;
        }
        tokio::select! {
            report = tokio::time::timeout(REPORT_TIMEOUT, reports.message()) => match report {
                Ok(Ok(Some(report))) => {
                    echo = Time(report.sent_ms);
                    relay.advance(convert::decode_positions(&report));
                    quarantine::merge_reports(&shared, &crashes::decode(&report.crashes), source);
                    let report = convert::decode_report(report);
                    let changes = shared.known.borrow().latest_changes();
                    let is_behind = relay.is_behind(&changes, clock::now());
                    granter_runtime.add_report(Report {
                        // Only the first report was proved.
                        front: front.clone(),
                        peer: None,
                        data_centre: data_centre.clone(),
                        serves_for_others: report.serves_for_others && !is_behind,
                        ..report
                    });
                }
                Ok(Ok(None) | Err(_)) | Err(_) => return,
            },
            changed = updates.changed() => {
                if changed.is_err() {
                    return;
                }
                let update = convert::encode_update(&updates.borrow_and_update(), &mut known);
                let now = clock::now();
                let update = wire::GranterUpdate {
                    kinds: relay.next_changes(&knowledge, now),
                    echo_ms: echo.0,
                    ..update
                };
                let update = limits::add_shares(update, &granter_runtime.shares_of(&front, now));
                let mut update = add_crashes(update, &shared, &mut crashes_told, now);
                if let Some(data_centre) = &data_centre {
                    let peers = granter_runtime.peers_of(&front, data_centre, &mut peers_told);
                    update.peers = peers.as_deref().map(peers::encode);
                    update.egress = egress::encode(&granter_runtime.egress_of(data_centre));
                }
                if is_proven {
                    update.peer_key = current_key(&shared);
                }
                update.trier = Some(peers::encode_one(&shared.as_peer()));
                // Queued updates would become stale, so the stream is closed if the channel is
                // full. The front then joins again.
                if tx.try_send(Ok(update)).is_err() {
                    return;
                }
            }
        }
    }
}

/// Adds the requests of which several copies were at servers that crashed, as far as they have changed after change
/// number `told`.
fn add_crashes(
    update: wire::GranterUpdate,
    shared: &Shared,
    told: &mut u64,
    now: Time,
) -> wire::GranterUpdate {
    let tables = shared.tables();
    let reports = tables.crashes.reports(Scope::Shared, *told, now);
    *told = tables.crashes.change_count();
    wire::GranterUpdate {
        crashes: crashes::encode(&reports),
        ..update
    }
}

/// Returns the key that the fronts share, or no bytes if there is none.
fn current_key(shared: &Shared) -> Bytes {
    let tables = shared.tables();
    let key = tables.peer_keys.current();
    key.map_or_else(Bytes::new, |key| Bytes::copy_from_slice(key.as_bytes()))
}
