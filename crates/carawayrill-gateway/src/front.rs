//! Accepts requests from callers and responds to them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::knowledge::LatestChanges;
use carawayrill_core::direct::manifest::CallerLimits;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use compact_str::ToCompactString;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
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
use crate::access_log::AccessLogEntry;
use crate::access_log::LogLineLimiter;
use crate::body::BodyBuffer;
use crate::caller_connections::CallerConnection;
use crate::caller_connections::CallerConnections;
use crate::clock;
use crate::delivery::DeliveryStream;
use crate::forward::AcceptedRequest;
use crate::forward::Forwarded;
use crate::forward::Forwarder;
use crate::forward::Reply;
use crate::forward::STOPPING_REASON;
use crate::forward::STOPPING_RETRY_AFTER;
use crate::forward::peer;
use crate::forward::peer_refusal::PeerRefusal;
use crate::head::end_to_end_headers;
use crate::head::fingerprints;
use crate::head::forwarded_headers;
use crate::head::origin_form;
use crate::held_data::HeldData;
use crate::port::HeaderCodec;
use crate::port::Key;
use crate::port::RequestMetadata;
use crate::shared_stream::SharedStream;
use crate::shutdown::Phase;
use crate::shutdown::wait_for_phase;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The smallest header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;

/// How long a request of another front waits for a change that this front does not know yet. The
/// granter relays changes at once.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// The retry-after time of a request of another front that knows more than this one.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(250);
/// How long a new connection is kept open for its first request during a shutdown.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);

/// Waits until the shutdown reaches [`Phase::Closing`], but at least for `grace`: the first request of
/// a new connection may be on its way.
async fn closing_after(phase: &mut watch::Receiver<Phase>, grace: Duration) {
    tokio::time::sleep(grace).await;
    wait_for_phase(phase, Phase::Closing).await;
}

/// Serves callers' requests.
#[derive(Debug)]
pub struct Front {
    shared: Arc<Shared>,
    upstream: Arc<Upstream>,
    peers: Arc<Upstream>,
    header_codec: Arc<dyn HeaderCodec>,
    phase: watch::Receiver<Phase>,
    connections: Arc<CallerConnections>,
    bodies: BodyBuffer,
    log_limiter: LogLineLimiter,
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|err| Error::listen(address, err))
}

impl Front {
    /// Creates a front that accepts no connections yet. `upstream` has the connections to servers
    /// and `peers` those to other fronts.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        upstream: Arc<Upstream>,
        peers: Arc<Upstream>,
        header_codec: Arc<dyn HeaderCodec>,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        let bodies = BodyBuffer::new(Arc::clone(&shared.buffers));
        let connections = CallerConnections::new(shared.cfg.max_caller_connections);
        Self {
            shared,
            upstream,
            peers,
            header_codec,
            phase,
            connections,
            bodies,
            log_limiter: LogLineLimiter::default(),
        }
    }

    /// Returns the number of open connections from callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.open()
    }

    /// Accepts connections until the shutdown reaches [`Phase::Aborting`], and then those that wait
    /// in the backlog: the kernel has completed them, and their callers may have sent requests.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_phase(&mut phase, Phase::Aborting) => break,
            };
            if let Err(err) = accepted.map(|(stream, _peer)| self.spawn_connection(stream)) {
                log::warn!("could not accept a connection: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        while let Ok(Ok((stream, _peer))) =
            tokio::time::timeout(Duration::ZERO, listener.accept()).await
        {
            self.spawn_connection(stream);
        }
    }

    fn spawn_connection(self: &Arc<Self>, stream: TcpStream) {
        let Some(connection) = self.connections.add() else {
            // Its caller can tell that nothing was read, and goes to another front.
            return;
        };
        tokio::spawn(Arc::clone(self).serve_connection(stream, connection));
    }

    fn caller_limits(&self) -> CallerLimits {
        self.shared
            .tables()
            .manifest
            .as_ref()
            .map_or_else(CallerLimits::default, |manifest| manifest.limits)
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, connection: CallerConnection) {
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("could not set TCP_NODELAY on a caller's connection: {err}");
        }
        let limits = self.caller_limits();
        let open = &self.shared.metrics.caller_connections;
        open.inc();
        let front = Arc::clone(&self);
        let stream = SharedStream::new(stream);
        let caller = stream.clone();
        let stream = DeliveryStream::new(stream, Arc::clone(&self.shared), limits.idle_timeout);
        let connection = Arc::new(connection);
        let served_connection = Arc::clone(&connection);
        let service = service_fn(move |req| {
            let front = Arc::clone(&front);
            let caller = caller.clone();
            let connection = Arc::clone(&served_connection);
            async move {
                connection.begin_request();
                // The HTTP library keeps room for the future of a request on each idle connection.
                let serving = Box::pin(front.serve(req));
                let resp = tokio::select! {
                    resp = serving => Ok(resp),
                    () = caller.closed() => Err(std::io::Error::from(ErrorKind::ConnectionAborted)),
                };
                connection.end_request();
                resp
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES));
        let served = builder.serve_connection(TokioIo::new(stream), service);
        let mut phase = self.phase.clone();
        tokio::pin!(served);
        let ended = tokio::select! {
            ended = served.as_mut() => ended,
            () = closing_after(&mut phase, NEW_CONNECTION_GRACE) => {
                served.as_mut().graceful_shutdown();
                served.await
            }
            () = connection.closing() => {
                self.shared.metrics.idle_closed.inc();
                served.as_mut().graceful_shutdown();
                served.await
            }
        };
        if let Err(err) = ended {
            log::debug!("connection from a caller failed: {err}");
        }
        open.dec();
    }

    async fn serve(&self, req: Request<Incoming>) -> Response<Full<HeldData>> {
        let received = clock::now();
        let metadata = self.header_codec.parse_request(req.headers());
        let mut log_entry =
            AccessLogEntry::new(&self.shared, &self.log_limiter, received, &metadata);
        self.shared.metrics.in_flight.inc();
        let reply = self.handle(req, &metadata, &mut log_entry).await;
        log_entry.end(&reply);
        self.respond(reply)
    }

    async fn handle(
        &self,
        req: Request<Incoming>,
        metadata: &RequestMetadata,
        log_entry: &mut AccessLogEntry<'_>,
    ) -> Reply {
        let (parts, body) = req.into_parts();
        let id = metadata.id.as_deref();
        let earlier = id.and_then(|id| peer::parse_forwarded(&self.shared, &parts.headers, id));
        let changes = earlier.as_ref().and_then(|earlier| earlier.changes.clone());
        let Some(changes) = changes else {
            return self
                .pass_on(parts, body, metadata, earlier, log_entry)
                .await;
        };
        if !self.catch_up(&changes).await {
            return PeerRefusal::UNSENT.into_reply("behind", BEHIND_RETRY_AFTER);
        }
        let mut reply = self
            .pass_on(parts, body, metadata, earlier, log_entry)
            .await;
        if reply.headers.is_empty() {
            // The decision of a front that knows as much as the one which has passed the request on.
            reply
                .headers
                .insert(peer::CHANGES, HeaderValue::from_static("1"));
        }
        reply
    }

    /// Checks a request, reads its body and forwards it. `earlier` is what another front says that has
    /// passed it on.
    async fn pass_on(
        &self,
        parts: http::request::Parts,
        body: Incoming,
        metadata: &RequestMetadata,
        earlier: Option<Forwarded>,
        log_entry: &mut AccessLogEntry<'_>,
    ) -> Reply {
        let Some(manifest) = self.shared.tables().manifest.clone() else {
            let after = Some(Duration::from_millis(300));
            return Reply::local(StatusCode::SERVICE_UNAVAILABLE, "no-manifest", after);
        };
        log_entry.record.manifest = manifest.version.0;
        let received = log_entry.received;
        let checked = self.check_request(&parts, metadata, earlier, &manifest, received);
        let request = match checked {
            Ok(request) => request,
            Err(reply) => return *reply,
        };
        log_entry
            .record
            .route
            .clone_from(&request.matched.route.name);
        log_entry.record.service = request.matched.service.to_compact_string();
        log_entry.record.key = request.key;
        if !self.admits(&request) {
            return stopping_reply(&request);
        }
        let mut phase = self.phase.clone();
        let read = tokio::select! {
            biased;
            () = wait_for_phase(&mut phase, Phase::Aborting) => return stopping_reply(&request),
            read = self.read_body(body, manifest.limits.max_body_bytes, request.deadline) => read,
        };
        let body = match read {
            Ok(read) => read,
            Err(reply) => return reply,
        };
        // It may have taken long to read.
        if !self.admits(&request) {
            return stopping_reply(&request);
        }
        let fingerprints = fingerprints(&parts, metadata, &body);
        log_entry.record.content = fingerprints.exact.to_compact_string();
        let request = AcceptedRequest {
            fingerprints,
            body,
            is_counted: !self.shared.is_cut_off(),
            ..request
        };
        let servers_age = self.count_accepted(&request);
        log_entry.record.servers_age_ms = servers_age.map(millis);
        let mut forwarder = Forwarder::new(
            &self.shared,
            &self.upstream,
            &self.peers,
            &*self.header_codec,
            &request,
        );
        let ended = tokio::select! {
            biased;
            () = wait_for_phase(&mut phase, Phase::Aborting) => None,
            reply = forwarder.run() => Some(reply),
        };
        let reply = ended.unwrap_or_else(|| forwarder.abort_for_shutdown());
        log_entry.record.waited_ms = millis(forwarder.waited);
        log_entry.record.tries = std::mem::take(&mut forwarder.tries);
        log_entry.record.believed = forwarder.load_estimate.take();
        log_entry.record.retry = forwarder.retry.take();
        let unproven = forwarder.unproven_sends();
        log_entry.record.unproven_sends =
            (unproven > 0 && !reply.status.is_success()).then_some(unproven);
        reply
    }

    /// Reads the body of a request until its deadline. What has arrived is held no longer.
    async fn read_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        deadline: Time,
    ) -> Result<HeldData, Reply> {
        let left = deadline.since(clock::now());
        match tokio::time::timeout(left, self.bodies.read(body, max_bytes)).await {
            Ok(read) => read,
            Err(_elapsed) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(Reply::local(status, "body-too-slow", None))
            }
        }
    }

    /// Returns whether a request may be passed on now. Another front takes one that would not end
    /// before this process does.
    fn admits(&self, request: &AcceptedRequest) -> bool {
        let shutdown = self.shared.tables().shutdown;
        shutdown.is_none_or(|schedule| match request.forwarded {
            Some(_) => schedule.admits_of_peer(request.deadline),
            None => schedule.admits(clock::now(), request.deadline),
        })
    }

    /// Waits until this front knows all that the front knew which has passed a request on. Returns
    /// `false` if that takes too long.
    async fn catch_up(&self, changes: &LatestChanges) -> bool {
        let mut known = self.shared.known.subscribe();
        let caught_up = known.wait_for(|known| known.include(changes));
        let waited = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        waited.is_ok_and(|known| known.is_ok())
    }

    /// Counts a request that will be forwarded, and returns the age of the list of servers.
    fn count_accepted(&self, request: &AcceptedRequest) -> Option<Duration> {
        let service = &request.matched.service;
        let mut tables = self.shared.tables();
        let earlier = request.forwarded.as_ref();
        let is_counted_there = earlier.is_some_and(|earlier| earlier.is_counted);
        if !request.is_counted || is_counted_there {
            // The front that the request is passed on to counts it, or has passed it on to this one.
            return Some(clock::now().since(tables.servers_confirmed?));
        }
        // A front that has sent it before has counted it.
        if earlier.is_none_or(|earlier| earlier.sends == 0) {
            let budget = tables.budget(service, &self.shared.cfg);
            budget.record_request(request.received);
        }
        tables.count_request(service, request.matched.route.homes.is_restricted());
        tables.count_class(service, request.matched.route.priority, request.received);
        if let Some(key) = request.key.filter(|_| request.keyed) {
            tables.record_key(service, key);
        }
        let confirmed = tables.servers_confirmed?;
        Some(clock::now().since(confirmed))
    }

    /// Checks the head of a request and finds its route.
    fn check_request(
        &self,
        parts: &http::request::Parts,
        metadata: &RequestMetadata,
        forwarded: Option<Forwarded>,
        manifest: &Manifest,
        received: Time,
    ) -> Result<AcceptedRequest, Box<Reply>> {
        let local = |status, reason| Box::new(Reply::local(status, reason, None));
        let bad_request = |reason| local(StatusCode::BAD_REQUEST, reason);
        let id = metadata
            .id
            .clone()
            .ok_or_else(|| bad_request("no-request-id"))?;
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .or_else(|| parts.uri.host())
            .ok_or_else(|| bad_request("no-host"))?;
        let matched = self
            .shared
            .tables()
            .find_route(host, parts.uri.path())
            .ok_or_else(|| local(StatusCode::NOT_FOUND, "no-route"))?;
        let keyed = manifest
            .service(&matched.service)
            .is_some_and(|service| service.keyed);
        let key = match (keyed, metadata.key) {
            (true, Some(Key::Valid(key))) => Some(key),
            (true, Some(Key::Invalid)) => return Err(bad_request("bad-key")),
            (true, None) => return Err(bad_request("no-key")),
            (false, _) => None,
        };
        let timeout = metadata
            .timeout
            .unwrap_or(matched.route.timeout)
            .min(matched.route.timeout);
        // The objective counts from the caller's first try. If a retry has less time than the route
        // allows, the difference has already elapsed.
        let elapsed = matched.route.timeout.saturating_sub(timeout);
        let objective = matched.route.objective.saturating_sub(elapsed);
        Ok(AcceptedRequest {
            forwarded,
            is_counted: false,
            id,
            keyed,
            key,
            fingerprints: Fingerprints::default(),
            manifest: manifest.version.0,
            method: parts.method.clone(),
            uri: origin_form(&parts.uri),
            headers: forwarded_headers(&parts.headers),
            body: HeldData::default(),
            received,
            deadline: received + timeout,
            objective: received + objective,
            matched,
        })
    }

    fn respond(&self, reply: Reply) -> Response<Full<HeldData>> {
        let mut resp = Response::new(Full::new(reply.body));
        *resp.status_mut() = reply.status;
        *resp.headers_mut() = end_to_end_headers(&reply.headers);
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

/// Returns the reply to a request that was not sent before this front's planned stop was too far.
/// If another front has passed it on, that asks a further one.
fn stopping_reply(request: &AcceptedRequest) -> Reply {
    if request.forwarded.is_some() {
        return PeerRefusal::UNSENT.into_reply(STOPPING_REASON, STOPPING_RETRY_AFTER);
    }
    let after = Some(STOPPING_RETRY_AFTER);
    Reply::local(StatusCode::SERVICE_UNAVAILABLE, STOPPING_REASON, after)
}
