//! Takes requests from callers and answers them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::manifest::CallerLimits;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::event::EventKind;
use carawayrill_core::event::RequestRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::Error;
use crate::clock;
use crate::forward::Journey;
use crate::forward::Reply;
use crate::forward::Taken;
use crate::port::Dialect;
use crate::port::Key;
use crate::port::RequestFacts;
use crate::state::Shared;
use crate::upstream::Upstream;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The pause after a failed accept, for example when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest buffer that the HTTP library takes for a request head, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Request lines that may be logged in a second.
const MAX_LINES_PER_SECOND: u64 = 400;

/// The phases of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Running,
    /// Serving what comes, and asking callers to close their connections.
    Leaving,
    /// Ending what is in flight, and closing idle connections.
    Closing,
    /// Giving a last answer to what is still in flight.
    Ending,
}

/// Waits until a stop reaches a phase.
async fn reached(phase: &mut watch::Receiver<Phase>, awaited: Phase) {
    if phase.wait_for(|phase| *phase >= awaited).await.is_err() {
        // Nobody is left to stop this process.
        std::future::pending::<()>().await;
    }
}

/// The serving side of a gateway.
#[derive(Debug)]
pub struct Front {
    shared: Arc<Shared>,
    upstream: Arc<Upstream>,
    dialect: Arc<dyn Dialect>,
    phase: watch::Receiver<Phase>,
    open: AtomicUsize,
    held: AtomicUsize,
    lines: Lines,
}

/// Bounds the request lines of the log.
#[derive(Debug, Default)]
struct Lines {
    second: std::sync::atomic::AtomicU64,
    written: std::sync::atomic::AtomicU64,
}

impl Lines {
    /// Returns whether one more line may be written now.
    fn allow(&self, now: Time) -> bool {
        let second = now.0 / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|err| Error::listen(address, err))
}

impl Front {
    /// Makes the serving side.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        upstream: Arc<Upstream>,
        dialect: Arc<dyn Dialect>,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        Self {
            shared,
            upstream,
            dialect,
            phase,
            open: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            lines: Lines::default(),
        }
    }

    /// Returns the number of connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Accepts connections until the stop reaches [`Phase::Closing`].
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = reached(&mut phase, Phase::Closing) => return,
            };
            match accepted {
                Ok((stream, _peer)) => {
                    tokio::spawn(Arc::clone(&self).connection(stream));
                }
                Err(err) => {
                    log::warn!("no connection accepted: {err}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        self.shared
            .tables()
            .manifest
            .as_ref()
            .map_or_else(CallerLimits::default, |manifest| manifest.limits)
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("no low delay on a caller's connection: {err}");
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let limits = self.limits();
        let front = Arc::clone(&self);
        let service = service_fn(move |req| {
            let front = Arc::clone(&front);
            async move { Ok::<_, Infallible>(front.serve(req).await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER));
        let served = builder.serve_connection(TokioIo::new(stream), service);
        let mut phase = self.phase.clone();
        tokio::pin!(served);
        let ended = tokio::select! {
            ended = served.as_mut() => ended,
            () = reached(&mut phase, Phase::Closing) => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        };
        if let Err(err) = ended {
            log::debug!("a caller's connection ended: {err}");
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let received = clock::now();
        let facts = self.dialect.request(req.headers());
        let mut story = Story::new(self, received, &facts);
        self.shared.metrics.in_flight.inc();
        let reply = self.answer(req, &facts, &mut story).await;
        story.end(&reply);
        self.respond(reply)
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        facts: &RequestFacts,
        story: &mut Story<'_>,
    ) -> Reply {
        let (parts, body) = req.into_parts();
        let Some(manifest) = self.shared.tables().manifest.clone() else {
            let after = Some(Duration::from_millis(300));
            return Reply::own(StatusCode::SERVICE_UNAVAILABLE, "no-manifest", after);
        };
        story.record.manifest = manifest.version.0;
        let taken = match self.take(&parts, facts, &manifest, story.received) {
            Ok(taken) => taken,
            Err(reply) => return *reply,
        };
        story.record.route.clone_from(&taken.matched.route.name);
        story.record.service = taken.matched.service.to_compact_string();
        story.record.key = taken.key;
        let body = match self.read(body, manifest.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let _held = self.hold(body.len());
        let taken = Taken { body, ..taken };
        {
            let mut tables = self.shared.tables();
            tables
                .budget(&taken.matched.service, &self.shared.cfg)
                .record_request(story.received);
            if let Some(key) = taken.key.filter(|_| taken.keyed) {
                tables.note_key(&taken.matched.service, key);
            }
        }
        let mut journey = Journey::new(&self.shared, &self.upstream, &*self.dialect, &taken);
        let mut phase = self.phase.clone();
        let ended = tokio::select! {
            reply = journey.run() => Some(reply),
            () = reached(&mut phase, Phase::Ending) => None,
        };
        let reply = ended.unwrap_or_else(|| journey.cut_short("stopping"));
        story.record.waited_ms = millis(journey.waited);
        story.record.tries = std::mem::take(&mut journey.tries);
        story.record.believed = journey.believed.take();
        reply
    }

    /// Checks a request's head and finds its route.
    fn take(
        &self,
        parts: &http::request::Parts,
        facts: &RequestFacts,
        manifest: &Manifest,
        received: Time,
    ) -> Result<Taken, Box<Reply>> {
        let own = |status, reason| Box::new(Reply::own(status, reason, None));
        let bad = |reason| own(StatusCode::BAD_REQUEST, reason);
        let id = facts.id.clone().ok_or_else(|| bad("no-request-id"))?;
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .or_else(|| parts.uri.host())
            .ok_or_else(|| bad("no-host"))?;
        let matched = self
            .shared
            .tables()
            .find(host, parts.uri.path())
            .ok_or_else(|| own(StatusCode::NOT_FOUND, "no-route"))?;
        let keyed = manifest
            .service(&matched.service)
            .is_some_and(|service| service.keyed);
        let key = match (keyed, facts.key) {
            (true, Some(Key::Valid(key))) => Some(key),
            (true, Some(Key::Invalid)) => return Err(bad("bad-key")),
            (true, None) => return Err(bad("no-key")),
            (false, _) => None,
        };
        let limit = facts
            .limit
            .unwrap_or(matched.route.timeout)
            .min(matched.route.timeout);
        // The objective counts from the caller's first try; what a later try has less time than
        // the route allows has passed already.
        let passed = matched.route.timeout.saturating_sub(limit);
        let objective = matched.route.objective.saturating_sub(passed);
        Ok(Taken {
            id,
            keyed,
            key,
            manifest: manifest.version.0,
            method: parts.method.clone(),
            uri: origin_form(&parts.uri),
            headers: end_to_end(&parts.headers),
            body: Bytes::new(),
            received,
            deadline: received + limit,
            objective: received + objective,
            matched,
        })
    }

    async fn read(&self, body: Incoming, limit: usize) -> Result<Bytes, Reply> {
        use hyper::body::Body;
        let announced = body.size_hint().lower();
        let held = self.held.load(Ordering::Relaxed) as u64;
        if held + announced > self.shared.cfg.max_held_bytes as u64 {
            let after = Some(Duration::from_millis(500));
            return Err(Reply::own(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-memory",
                after,
            ));
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(err) if err.is::<LengthLimitError>() => Err(Reply::own(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-long",
                None,
            )),
            Err(err) => {
                log::debug!("a request's body broke off: {err}");
                Err(Reply::own(StatusCode::BAD_REQUEST, "body-broken-off", None))
            }
        }
    }

    fn hold(&self, bytes: usize) -> Held<'_> {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        Held {
            counter: &self.held,
            bytes,
        }
    }

    fn respond(&self, reply: Reply) -> Response<Full<Bytes>> {
        let mut resp = Response::new(Full::new(reply.body));
        *resp.status_mut() = reply.status;
        *resp.headers_mut() = end_to_end(&reply.headers);
        if let Some(after) = reply.retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(text) {
                resp.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if *self.phase.borrow() != Phase::Running {
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(header::CONNECTION, close);
        }
        resp
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
struct Held<'a> {
    counter: &'a AtomicUsize,
    bytes: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The log line of one request, written also if its caller leaves.
#[derive(Debug)]
struct Story<'a> {
    front: &'a Front,
    received: Time,
    record: RequestRecord,
    ended: bool,
}

impl<'a> Story<'a> {
    fn new(front: &'a Front, received: Time, facts: &RequestFacts) -> Self {
        Self {
            front,
            received,
            record: RequestRecord {
                request: facts.id.clone().unwrap_or_default(),
                route: CompactString::default(),
                service: CompactString::default(),
                key: None,
                manifest: 0,
                status: 0,
                reason: "caller-left".into(),
                limit_ms: facts.limit.map_or(0, millis),
                took_ms: 0,
                waited_ms: 0,
                retry_after_ms: None,
                tries: Vec::new(),
                believed: None,
            },
            ended: false,
        }
    }

    fn end(&mut self, reply: &Reply) {
        self.record.status = reply.status.as_u16();
        self.record.reason = reply.reason.into();
        self.record.retry_after_ms = reply.retry_after.map(millis);
        self.finish();
    }

    fn finish(&mut self) {
        self.ended = true;
        let now = clock::now();
        let took = now.since(self.received);
        self.record.took_ms = millis(took);
        let metrics = &self.front.shared.metrics;
        metrics.request(&self.record.reason, took);
        metrics.in_flight.dec();
        if self.front.lines.allow(now) {
            emit(EventKind::Request(self.record.clone()));
        } else {
            metrics.lines_left_out.inc();
        }
    }
}

impl Drop for Story<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish();
        }
    }
}

/// Returns the path and query alone.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    // The library writes it anew, from the body that is sent.
    "content-length",
];

/// Copies the headers that are passed on.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let own = CONNECTION_HEADERS.contains(&name.as_str());
        if !own && !named.iter().any(|dropped| dropped == name.as_str()) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}
