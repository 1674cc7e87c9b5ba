//! The readiness and metrics endpoints.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use carawayrill_core::event::EventKind;
use carawayrill_telemetry::emit;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::state::Shared;

/// Computes the readiness of this front and logs changes of it.
#[derive(Debug)]
pub struct Readiness {
    shared: Arc<Shared>,
    last_ready: std::sync::Mutex<Option<bool>>,
}

impl Readiness {
    /// Creates the readiness state of a front.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            last_ready: std::sync::Mutex::new(None),
        }
    }

    /// Returns whether this front is ready, and emits an event if that changed.
    pub fn is_ready(&self) -> bool {
        let not_ready = self.shared.tables().not_ready();
        let ready = not_ready.is_none();
        let mut last_ready = self
            .last_ready
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if last_ready.replace(ready) != Some(ready) {
            emit(EventKind::Readiness {
                ready,
                reason: not_ready.unwrap_or("all-read").into(),
            });
        }
        ready
    }

    fn response(&self) -> Response<Full<Bytes>> {
        let mut resp = Response::new(Full::default());
        if !self.is_ready() {
            *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        resp
    }

    /// Serves the readiness endpoint.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve(listener, move |req: &Request<Incoming>| {
            if req.uri().path() == self.shared.cfg.ready_path.as_str() {
                return self.response();
            }
            not_found()
        })
        .await;
    }
}

fn not_found() -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::default());
    *resp.status_mut() = StatusCode::NOT_FOUND;
    resp
}

/// Serves the metrics endpoint.
pub async fn serve_metrics(shared: Arc<Shared>, listener: TcpListener) {
    serve(listener, move |_req| {
        Response::new(Full::new(Bytes::from(shared.metrics.encode())))
    })
    .await;
}

/// Serves responses that are computed without waiting.
async fn serve<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    let respond = Arc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(err) => {
                log::warn!("could not accept a connection: {err}");
                continue;
            }
        };
        let respond = Arc::clone(&respond);
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let resp = respond(&req);
                async move { Ok::<_, Infallible>(resp) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(err) = served.await {
                log::debug!("connection to the readiness or metrics endpoint failed: {err}");
            }
        });
    }
}
