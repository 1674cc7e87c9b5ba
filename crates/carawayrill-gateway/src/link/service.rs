//! The granter's side of the stream.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_proto::granter as wire;
use carawayrill_proto::granter::granter_server::Granter;
use carawayrill_proto::granter::granter_server::GranterServer;
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

use crate::granting::Granting;
use crate::leasing::Leasing;
use crate::link::convert;

/// Updates that may wait to be sent to one front.
const QUEUED_UPDATES: usize = 4;
/// How long a front may send no report before its stream is ended.
const REPORT_SILENCE: Duration = Duration::from_secs(3);

/// Serves the stream for other fronts.
pub async fn serve(leasing: Arc<Leasing>, listener: TcpListener) {
    let incoming = TcpListenerStream::new(listener);
    let served = Server::builder()
        .tcp_nodelay(true)
        .add_service(GranterServer::new(Service { leasing }))
        .serve_with_incoming(incoming)
        .await;
    if let Err(err) = served {
        log::error!("other fronts are not served any more: {err}");
    }
}

#[derive(Debug)]
struct Service {
    leasing: Arc<Leasing>,
}

type Updates = Pin<Box<dyn Stream<Item = Result<wire::GranterUpdate, Status>> + Send>>;

#[tonic::async_trait]
impl Granter for Service {
    type JoinStream = Updates;

    async fn join(
        &self,
        request: Request<Streaming<wire::FrontReport>>,
    ) -> Result<Response<Updates>, Status> {
        let granting = self
            .leasing
            .granting()
            .ok_or_else(|| Status::failed_precondition("this front is not the granter"))?;
        let (tx, rx) = mpsc::channel(QUEUED_UPDATES);
        tokio::spawn(attend(
            Arc::clone(&self.leasing),
            granting,
            request.into_inner(),
            tx,
        ));
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }
}

/// Takes reports and sends updates until either side ends.
async fn attend(
    leasing: Arc<Leasing>,
    granting: Arc<Granting>,
    mut reports: Streaming<wire::FrontReport>,
    tx: mpsc::Sender<Result<wire::GranterUpdate, Status>>,
) {
    let first = tokio::time::timeout(REPORT_SILENCE, reports.message()).await;
    let Ok(Ok(Some(first))) = first else {
        return;
    };
    let mut known = convert::read_known(&first);
    granting.report(convert::read_report(first));
    let mut updates = granting.updates();
    updates.mark_changed();
    loop {
        let is_current = leasing
            .granting()
            .is_some_and(|current| Arc::ptr_eq(&current, &granting));
        if !is_current || !leasing.holds() {
            return;
        }
        tokio::select! {
            report = tokio::time::timeout(REPORT_SILENCE, reports.message()) => match report {
                Ok(Ok(Some(report))) => granting.report(convert::read_report(report)),
                Ok(Ok(None) | Err(_)) | Err(_) => return,
            },
            changed = updates.changed() => {
                if changed.is_err() {
                    return;
                }
                let update = convert::write_update(&updates.borrow_and_update(), &mut known);
                // A full channel would let updates grow old: the front joins again instead.
                if tx.try_send(Ok(update)).is_err() {
                    return;
                }
            }
        }
    }
}
