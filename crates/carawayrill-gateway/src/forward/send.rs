//! One send of a request to a server, and what its end means.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::load::Ended;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::TryRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_core::time::whole;
use compact_str::ToCompactString;
use http::Request;
use http_body_util::Full;

use super::Forwarder;
use super::Reply;
use super::choose::NextStep;
use crate::clock;
use crate::port::ResponseMetadata;
use crate::port::SendMetadata;
use crate::state::InFlight;
use crate::upstream::Reuse;
use crate::upstream::SendError;
use crate::upstream::ServerResponse;

/// The share of its time timeout after which an idempotent request without an answer may be sent to
/// another server beside.
const HEDGE_DELAY_SHARE: f64 = 0.5;
/// The shortest time timeout with which a request is sent once more for want of an answer. Within
/// less, slow work can't be told from none.
const MIN_HEDGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a server with room is looked for while the first one is late.
const HEDGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What became of one send.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The server answered, and the caller may have it.
    Response(Box<Reply>, ResponseClass),
    /// The server did not run it.
    NotRun { misdirected: bool },
    /// It never left.
    NotSent,
    /// It may have been run.
    Lost,
}

/// What kind of answer a server gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseClass {
    /// To be passed on.
    Final,
    /// A failure that another server may not have.
    ServerError,
}

impl Outcome {
    /// Joins the ends of two sends of one request, of which none is to be passed on at once.
    fn merge(self, other: Self) -> Self {
        match (self, other) {
            (_, Self::Response(reply, class)) | (Self::Response(reply, class), _) => {
                Self::Response(reply, class)
            }
            (Self::Lost, _) | (_, Self::Lost) => Self::Lost,
            (Self::NotRun { misdirected }, _) | (_, Self::NotRun { misdirected }) => {
                Self::NotRun { misdirected }
            }
            (Self::NotSent, Self::NotSent) => Self::NotSent,
        }
    }
}

/// A request on its way to a server; dropping it cuts the request off.
struct PendingSend<'a> {
    server: Server,
    /// Its place in the list of tries.
    number: usize,
    started: Time,
    /// The time that was left when it was pending.
    timeout: Duration,
    in_flight: InFlight,
    response: Pin<Box<dyn Future<Output = Result<ServerResponse, SendError>> + Send + 'a>>,
}

impl<'a> Forwarder<'a> {
    fn build_request(&self, server: &Server, timeout: Duration) -> Request<Full<Bytes>> {
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

    /// Sends the request to a server and waits for its answer. If that is long in coming, it may be
    /// sent to another server beside.
    pub(super) async fn send(&mut self, server: &Server, fence: Option<Fence>) -> Outcome {
        let might_have_run = self.may_have_run;
        let mut first = self.start_send(server, fence);
        let outcome = match self.hedge_delay(first.timeout) {
            None => {
                let result = (&mut first.response).await;
                self.finish_send(first, result)
            }
            Some(hedge_delay) => match tokio::time::timeout(hedge_delay, &mut first.response).await
            {
                Ok(result) => self.finish_send(first, result),
                Err(_elapsed) => self.send_hedged(first).await,
            },
        };
        self.may_have_run = might_have_run;
        outcome
    }

    /// Waits for the answer of a server that is late, and sends the request to another one as soon
    /// as that has room.
    ///
    /// Load answered: servers that never answer a request for which they have no room, and servers
    /// that have turned slow. Nothing tells these two apart, so that the first send is not broken
    /// off before there is an answer: its server may be at work on it.
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

    /// Returns another server that may be sent the request while `first` has it.
    fn choose_hedge_server(&self, first: &Server) -> Option<(Server, Option<Fence>)> {
        match self.choose_next(clock::now()) {
            NextStep::Send(server, fence) if server.id != first.id && self.try_acquire_send() => {
                Some((*server, fence))
            }
            _ => None,
        }
    }

    /// Sends the request.
    fn start_send(&mut self, server: &Server, fence: Option<Fence>) -> PendingSend<'a> {
        let started = clock::now();
        let timeout = self.request.deadline.since(started);
        let in_flight = InFlight::begin(self.shared, server);
        self.record_try(server, fence, &in_flight, started);
        let reuse = match self.request.matched.route.repeat {
            Repeat::Idempotent => Reuse::Allowed,
            Repeat::AtMostOnce => Reuse::Fresh,
        };
        let req = self.build_request(server, timeout);
        // Until the end of the call is known, the request counts as possibly run.
        self.may_have_run = true;
        let shared = self.shared;
        let upstream = self.upstream;
        let to = server.clone();
        let response = Box::pin(async move {
            let opened = || shared.metrics.connections.inc();
            upstream.send(&to, req, reuse, opened).await
        });
        PendingSend {
            server: server.clone(),
            number: self.tries.len() - 1,
            started,
            timeout,
            in_flight,
            response,
        }
    }

    /// Takes in the end of a send.
    fn finish_send(
        &mut self,
        pending: PendingSend<'a>,
        result: Result<ServerResponse, SendError>,
    ) -> Outcome {
        let took = clock::now().since(pending.started);
        let (outcome, label) = self.classify_result(&pending.server, result, pending.in_flight);
        self.shared.metrics.record_try(label, took);
        if let Some(record) = self.tries.get_mut(pending.number) {
            record.outcome = label.into();
            record.took_ms = millis(took);
        }
        outcome
    }

    /// Returns how long to wait for a server's answer before another one may be asked beside, if the
    /// request may be run twice and there is time.
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
            tables.load(server, now).answer_ms(now)
        };
        self.tries.push(TryRecord {
            server: server.id.to_compact_string(),
            at_ms: millis(now.since(self.request.received)),
            expected_ms: whole(expected),
            load_tenths: whole(in_flight.total_at_send() * 10.0),
            fence: fence.map(|fence| fence.0),
            outcome: "unanswered".into(),
            took_ms: 0,
        });
    }

    /// Judges the end of a send.
    fn classify_result(
        &self,
        server: &Server,
        result: Result<ServerResponse, SendError>,
        in_flight: InFlight,
    ) -> (Outcome, &'static str) {
        let response = match result {
            Ok(response) => response,
            Err(SendError::NotSent(reason)) => {
                log::debug!("not sent to {}: {reason}", server.id);
                in_flight.end(Ended::Unreachable, None);
                return (Outcome::NotSent, "not-sent");
            }
            Err(SendError::Lost(reason)) => {
                log::debug!("lost at {}: {reason}", server.id);
                in_flight.end(Ended::Failed, None);
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
        let is_unnamed = metadata.request.is_none();
        if (metadata.not_run || metadata.misdirected) && (is_own || is_unnamed) {
            let misdirected = metadata.misdirected;
            let ended = if misdirected {
                Ended::Unknown
            } else {
                Ended::Shed
            };
            in_flight.end(ended, metadata.load);
            self.reuse_connection(server, response, metadata);
            let label = if misdirected { "misdirected" } else { "shed" };
            return (Outcome::NotRun { misdirected }, label);
        }
        if !is_own {
            // The answer belongs to another request; ours is still to come, on a connection that
            // can't be trusted any more.
            in_flight.end(Ended::Failed, None);
            return (Outcome::Lost, "stray-answer");
        }
        if response.status.is_success() && !metadata.signed {
            in_flight.end(Ended::Failed, metadata.load);
            return (Outcome::Lost, "unsigned");
        }
        let class = if response.status.is_server_error() {
            ResponseClass::ServerError
        } else {
            ResponseClass::Final
        };
        let ended = match class {
            ResponseClass::ServerError => Ended::Failed,
            ResponseClass::Final => Ended::Served,
        };
        in_flight.end(ended, metadata.load);
        let reply = self.make_reply(server, response, metadata, class);
        let label = match class {
            ResponseClass::ServerError => "server-error",
            ResponseClass::Final => "answered",
        };
        (Outcome::Response(Box::new(reply), class), label)
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
            tables.max_idle_connections(&self.request.matched.service)
        };
        self.upstream
            .keep_idle(&server.id, response, metadata.keep_alive, max_idle as usize);
    }
}
