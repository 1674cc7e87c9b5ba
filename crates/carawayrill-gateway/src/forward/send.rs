//! Sends a request to one server, or to two as a hedged request, and classifies the result.

use std::pin::Pin;
use std::time::Duration;

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::limit::LimitStatement;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::EventKind;
use carawayrill_core::event::TryRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;
use http::Request;
use http_body_util::Full;
use rand::RngExt;

use super::Forwarder;
use super::Reply;
use super::choose::NextStep;
use super::sends::UnprovenSend;
use super::sends::promises_not_run;
use crate::clock;
use crate::held_data::HeldData;
use crate::in_flight::InFlight;
use crate::port::LimitHeader;
use crate::port::ResponseMetadata;
use crate::port::SendMetadata;
use crate::port::ServerRefusal;
use crate::quarantine;
use crate::state::Shared;
use crate::state::Tables;
use crate::upstream::ConnectResult;
use crate::upstream::Destination;
use crate::upstream::Reuse;
use crate::upstream::SendError;
use crate::upstream::ServerResponse;

/// The share of its timeout after which an idempotent request without a response may be hedged.
const HEDGE_DELAY_SHARE: f64 = 0.5;
/// The minimum timeout for hedging. With a shorter one, a slow server can't be distinguished from
/// one that doesn't respond.
const MIN_HEDGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a server with free capacity is looked for while the first one is late.
const HEDGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The outcome of a try of which no byte was sent, in logs and metrics.
pub(super) const NOT_SENT: &str = "not-sent";

/// The outcome of one send.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The server sent a response that can be passed on.
    Response(Box<Reply>, ResponseClass),
    /// The server did not run the request.
    NotRun(NotRunReason),
    /// No byte of the request was sent.
    NotSent,
    /// No usable response arrived; the server may have run the request.
    Lost,
}

/// Why a server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRunReason {
    /// It is not the intended server, or does not hold the key.
    Misdirected,
    /// It is overloaded.
    Overloaded,
    /// It has room and refuses all the same.
    Declined,
}

/// The class of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseClass {
    /// Passed on to the caller.
    Final,
    /// A server error; another server may succeed.
    ServerError,
}

impl Outcome {
    /// Combines the outcomes of two sends of a hedged request, neither of which is final.
    fn merge(self, other: Self) -> Self {
        match (self, other) {
            (_, Self::Response(reply, class)) | (Self::Response(reply, class), _) => {
                Self::Response(reply, class)
            }
            (Self::Lost, _) | (_, Self::Lost) => Self::Lost,
            (Self::NotRun(reason), _) | (_, Self::NotRun(reason)) => Self::NotRun(reason),
            (Self::NotSent, Self::NotSent) => Self::NotSent,
        }
    }
}

/// A request in flight to a server; dropping it aborts the request.
struct PendingSend<'a> {
    server: Server,
    send: UnprovenSend,
    /// The index in the list of tries.
    try_index: usize,
    started: Time,
    /// The time until the deadline at the start of the send.
    timeout: Duration,
    in_flight: InFlight,
    response: Pin<Box<dyn Future<Output = Result<ServerResponse, SendError>> + Send + 'a>>,
}

impl<'a> Forwarder<'a> {
    fn build_request(&self, server: &Server, timeout: Duration) -> Request<Full<HeldData>> {
        let mut req = Request::new(Full::new(self.request.body.clone()));
        *req.method_mut() = self.request.method.clone();
        *req.uri_mut() = self.request.uri.clone();
        *req.headers_mut() = self.request.headers.clone();
        let metadata = SendMetadata {
            server: &server.id,
            timeout,
        };
        self.header_codec
            .write_request(req.headers_mut(), &metadata);
        req
    }

    /// Sends the request to a server and waits for the response. If the response is late, the
    /// request may also be sent to a second server.
    pub(super) async fn send(&mut self, server: &Server, fence: Option<Fence>) -> Outcome {
        let mut first = self.start_send(server, fence);
        match self.hedge_delay(first.timeout) {
            None => {
                let result = (&mut first.response).await;
                self.finish_send(first, result)
            }
            Some(hedge_delay) => match tokio::time::timeout(hedge_delay, &mut first.response).await
            {
                Ok(result) => self.finish_send(first, result),
                Err(_elapsed) => self.send_hedged(first).await,
            },
        }
    }

    /// Waits for the response of a late server, and sends the request to a second server as soon as
    /// one has capacity.
    ///
    /// This handles both servers that never respond to a request for which they have no capacity,
    /// and servers that have become slow. As they can't be distinguished, the first send is not
    /// cancelled before there is a response: its server may be running the request.
    async fn send_hedged(&mut self, mut first: PendingSend<'a>) -> Outcome {
        self.excluded.push(first.server.id.clone());
        let (other, fence) = loop {
            if let Some(found) = self.choose_hedge_server(&first.server) {
                break found;
            }
            match tokio::time::timeout(HEDGE_POLL_INTERVAL, &mut first.response).await {
                Ok(result) => return self.finish_send(first, result),
                Err(_elapsed) => {}
            }
        };
        let mut second = self.start_send(&other, fence);
        let (early, mut late) = tokio::select! {
            result = &mut first.response => (self.finish_send(first, result), second),
            result = &mut second.response => (self.finish_send(second, result), first),
        };
        if matches!(early, Outcome::Response(_, ResponseClass::Final)) {
            return early;
        }
        self.excluded.push(other.id);
        let result = (&mut late.response).await;
        early.merge(self.finish_send(late, result))
    }

    /// Chooses a server other than `first` for the hedged send.
    fn choose_hedge_server(&mut self, first: &Server) -> Option<(Server, Option<Fence>)> {
        if self.is_suspicious() {
            return None;
        }
        match self.choose_next(clock::now()) {
            NextStep::Send(server, fence)
                if server.id != first.id && self.try_acquire_send(&server.id) =>
            {
                Some((*server, fence))
            }
            _ => None,
        }
    }

    /// Starts sending the request.
    fn start_send(&mut self, server: &Server, fence: Option<Fence>) -> PendingSend<'a> {
        let started = clock::now();
        let timeout = self.request.deadline.since(started);
        let in_flight = InFlight::begin(self.shared, server);
        // On a connection that has carried the request before, a server may repeat its response.
        let reuse = match self.request.matched.route.repeat {
            Repeat::Idempotent if !self.was_sent_to(&server.id) => Reuse::Allowed,
            Repeat::Idempotent | Repeat::AtMostOnce => Reuse::Fresh,
        };
        self.record_try(server, fence, &in_flight, started);
        let req = self.build_request(server, timeout);
        let send = self.sends.begin();
        let shared = self.shared;
        let upstream = self.upstream;
        let to = server.clone();
        let response = Box::pin(async move {
            let on_connect = |result| record_connect(shared, &to, result);
            upstream
                .send(Destination::from(&to), req, reuse, on_connect)
                .await
        });
        PendingSend {
            server: server.clone(),
            send,
            try_index: self.tries.len() - 1,
            started,
            timeout,
            in_flight,
            response,
        }
    }

    /// Records the result of a send.
    fn finish_send(
        &mut self,
        pending: PendingSend<'a>,
        result: Result<ServerResponse, SendError>,
    ) -> Outcome {
        let took = clock::now().since(pending.started);
        if matches!(result, Err(SendError::Closed(_))) {
            self.note_closed(&pending.server, pending.started);
        }
        let error = result.as_ref().err().map(SendError::reason);
        let (outcome, label) = self.classify_result(&pending.server, result, pending.in_flight);
        if matches!(outcome, Outcome::NotRun(_) | Outcome::NotSent) {
            pending.send.prove_not_run(&mut self.sends);
        }
        self.shared.metrics.record_try(label, took);
        if let Some(record) = self.tries.get_mut(pending.try_index) {
            record.outcome = label.into();
            record.error = error.unwrap_or_default();
            record.took_ms = millis(took);
        }
        outcome
    }

    /// Returns the delay before a hedged send, or `None` if the request is not idempotent or the
    /// timeout is too short.
    fn hedge_delay(&self, timeout: Duration) -> Option<Duration> {
        let may_repeat = self.request.matched.route.repeat == Repeat::Idempotent;
        (may_repeat && timeout >= MIN_HEDGE_TIMEOUT).then(|| timeout.mul_f64(HEDGE_DELAY_SHARE))
    }

    fn record_try(
        &mut self,
        server: &Server,
        fence: Option<Fence>,
        in_flight: &InFlight,
        now: Time,
    ) {
        let expected = {
            let mut tables = self.shared.tables();
            if self.tries.is_empty() {
                self.shared.count_first_send(&mut tables, server);
            }
            tables.load(server, now).response_ms(now)
        };
        self.tries.push(TryRecord {
            server: server.id.to_compact_string(),
            at_ms: millis(now.since(self.request.received)),
            expected_ms: floor_to_u64(expected),
            load_tenths: floor_to_u64(in_flight.total_at_send() * 10.0),
            fence: fence.map(|fence| fence.0),
            outcome: "unanswered".into(),
            error: CompactString::default(),
            took_ms: 0,
        });
    }

    /// Classifies the result of a send.
    fn classify_result(
        &self,
        server: &Server,
        result: Result<ServerResponse, SendError>,
        in_flight: InFlight,
    ) -> (Outcome, &'static str) {
        let response = match result {
            Ok(response) => response,
            Err(SendError::NotSent(reason)) => {
                log::debug!("could not send a request to {}: {reason}", server.id);
                in_flight.end(AttemptResult::Unreachable, None);
                return (Outcome::NotSent, NOT_SENT);
            }
            Err(SendError::NoMemory) => {
                // The server did its work.
                in_flight.end(AttemptResult::Unknown, None);
                return (Outcome::Lost, "no-memory");
            }
            Err(SendError::Closed(reason) | SendError::Lost(reason)) => {
                log::debug!("no response from {}: {reason}", server.id);
                in_flight.end(AttemptResult::Failed, None);
                return (Outcome::Lost, "lost");
            }
        };
        let metadata = self
            .header_codec
            .parse_response(response.status, &response.headers);
        self.classify_response(server, response, &metadata, in_flight)
    }

    fn classify_response(
        &self,
        server: &Server,
        response: ServerResponse,
        metadata: &ResponseMetadata,
        in_flight: InFlight,
    ) -> (Outcome, &'static str) {
        let is_own = metadata.request.as_ref() == Some(&self.request.id);
        // On a kept connection it may belong to an earlier request.
        let is_unnamed = metadata.request.is_none() && !response.is_reused;
        if is_own || is_unnamed {
            self.note_server_state(server, metadata);
        }
        if let Some(refusal) = metadata.refusal.filter(|_| is_own || is_unnamed) {
            let (reason, ended, label) = match refusal {
                ServerRefusal::Misdirected => (
                    NotRunReason::Misdirected,
                    AttemptResult::Unknown,
                    "misdirected",
                ),
                ServerRefusal::NotRun if self.had_room(metadata) => {
                    (NotRunReason::Declined, AttemptResult::Declined, "declined")
                }
                ServerRefusal::NotRun => (NotRunReason::Overloaded, AttemptResult::Shed, "shed"),
            };
            in_flight.end(ended, metadata.load);
            self.reuse_connection(server, response, metadata);
            return (Outcome::NotRun(reason), label);
        }
        if !is_own {
            // The response belongs to another request. That of this request may still follow, but
            // the connection can't be trusted any more.
            in_flight.end(AttemptResult::Failed, None);
            return (Outcome::Lost, "stray-answer");
        }
        if response.status.is_success() && !metadata.signed {
            in_flight.end(AttemptResult::Failed, metadata.load);
            return (Outcome::Lost, "unsigned");
        }
        quarantine::record_answered(self.shared, &self.request.fingerprints, server.id.as_str());
        if promises_not_run(response.status) {
            // The server does not say that it has not run the request; passed on, its status would.
            in_flight.end(AttemptResult::Failed, metadata.load);
            self.reuse_connection(server, response, metadata);
            return (Outcome::Lost, "unproven-refusal");
        }
        let class = if response.status.is_server_error() {
            ResponseClass::ServerError
        } else {
            ResponseClass::Final
        };
        let ended = match class {
            ResponseClass::ServerError => AttemptResult::Failed,
            ResponseClass::Final => AttemptResult::Served,
        };
        in_flight.end(ended, metadata.load);
        let reply = self.make_reply(server, response, metadata, class);
        let label = match class {
            ResponseClass::ServerError => "server-error",
            ResponseClass::Final => "answered",
        };
        (Outcome::Response(Box::new(reply), class), label)
    }

    /// Returns whether a server that refused the request had room for it.
    fn had_room(&self, metadata: &ResponseMetadata) -> bool {
        let service = &self.request.matched.service;
        let tables = self.shared.tables();
        tables.borne_queues.had_room(service, metadata.load)
    }

    /// Records what a server says of itself besides its response: that it leaves, or wants no
    /// further request for some time.
    fn note_server_state(&self, server: &Server, metadata: &ResponseMetadata) {
        let now = clock::now();
        let mut tables = self.shared.tables();
        if let Some(pause) = metadata.pause {
            tables.load(server, now).pause(now, pause);
            emit(EventKind::ServerPaused {
                server: server.id.to_compact_string(),
                pause_ms: millis(pause),
            });
        }
        if metadata.request.is_some() {
            self.note_limit(&mut tables, server, metadata.limit, now);
            if let Some(cold) = metadata.cold {
                self.shared
                    .note_cold(&mut tables, &server.id, server.born, cold, "response");
            }
        }
        if !metadata.leaving {
            return;
        }
        let changed = tables.servers.mark_leaving(&server.id, server.born, now);
        drop(tables);
        if changed.is_some() {
            emit(EventKind::ServerLeaving {
                server: server.id.to_compact_string(),
                source: self.shared.cfg.front.clone(),
            });
            self.shared.record_homes();
            self.shared.notify_changed();
        }
    }

    /// Records the limit that the response of a server names, or that it names none.
    fn note_limit(&self, tables: &mut Tables, server: &Server, limit: LimitHeader, now: Time) {
        let limit = match limit {
            LimitHeader::Absent => None,
            LimitHeader::Named(limit) => Some(limit),
            LimitHeader::Invalid => return,
        };
        if limit.is_none() && !tables.limits.contains(&server.id) {
            return;
        }
        let statement = LimitStatement {
            server: server.id.clone(),
            born: server.born,
            limit,
            age: Duration::ZERO,
            cold: None,
        };
        let fronts = tables.fronts.get();
        let phase = tables.rng.random_range(0.0..1.0);
        if tables.limits.record(&statement, fronts, phase, now) {
            let limit = tables.limits.get(&server.id, now);
            self.shared.emit_limit(&server.id, limit, "response");
        }
    }

    fn make_reply(
        &self,
        server: &Server,
        response: ServerResponse,
        metadata: &ResponseMetadata,
        class: ResponseClass,
    ) -> Reply {
        let reply = Reply {
            status: response.status,
            headers: response.headers.clone(),
            body: response.body.clone(),
            reason: match class {
                ResponseClass::ServerError => "server-error",
                ResponseClass::Final => "served",
            },
            retry_after: None,
        };
        self.reuse_connection(server, response, metadata);
        reply
    }

    fn reuse_connection(
        &self,
        server: &Server,
        response: ServerResponse,
        metadata: &ResponseMetadata,
    ) {
        let max_idle = {
            let mut tables = self.shared.tables();
            let bytes = self.request.body.len() + response.body.len();
            tables.record_size(&self.request.matched.route.name, bytes);
            tables.count_bytes(&self.request.matched.service, bytes);
            tables.max_idle_connections(&self.request.matched.service)
        };
        self.upstream
            .keep_idle(&server.id, response, metadata.keep_alive, max_idle as usize);
    }
}

fn record_connect(shared: &Shared, server: &Server, result: ConnectResult) {
    shared.metrics.connections.inc();
    match result {
        ConnectResult::Connected => shared.record_connect(&server.id, true),
        ConnectResult::Failed => shared.record_connect(&server.id, false),
        // The server is at its connection limit, or about to end.
        ConnectResult::ClosedAtOnce => {}
    }
}
