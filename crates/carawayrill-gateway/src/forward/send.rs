//! One send of a request to a server, and what its end means.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::TryRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use compact_str::ToCompactString;
use http::Request;
use http_body_util::Full;

use super::Journey;
use super::Reply;
use super::choose::Next;
use crate::clock;
use crate::port::AnswerFacts;
use crate::port::SendFacts;
use crate::state::InFlight;
use crate::upstream::Received;
use crate::upstream::Reuse;
use crate::upstream::SendError;

/// The share of its time limit after which an idempotent request without an answer may be sent to
/// another server beside.
const PATIENCE_SHARE: f64 = 0.5;
/// The shortest time limit with which a request is sent once more for want of an answer. Within
/// less, slow work can't be told from none.
const MIN_PATIENT_LIMIT: Duration = Duration::from_secs(2);
/// How often a server with room is looked for while the first one is late.
const BESIDE_INTERVAL: Duration = Duration::from_millis(200);

/// What became of one send.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The server answered, and the caller may have it.
    Answer(Box<Reply>, Class),
    /// The server did not run it.
    NotRun { misdirected: bool },
    /// It never left.
    NotSent,
    /// It may have been run.
    Lost,
}

/// What kind of answer a server gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// To be passed on.
    Final,
    /// A failure that another server may not have.
    ServerError,
}

impl Outcome {
    /// Joins the ends of two sends of one request, of which none is to be passed on at once.
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (_, Self::Answer(reply, class)) | (Self::Answer(reply, class), _) => {
                Self::Answer(reply, class)
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
struct Sent<'a> {
    server: Server,
    /// Its place in the list of tries.
    number: usize,
    began: Time,
    /// The time that was left when it was sent.
    limit: Duration,
    in_flight: InFlight,
    answer: Pin<Box<dyn Future<Output = Result<Received, SendError>> + Send + 'a>>,
}

impl<'a> Journey<'a> {
    fn build(&self, server: &Server, limit: Duration) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.taken.body.clone()));
        *req.method_mut() = self.taken.method.clone();
        *req.uri_mut() = self.taken.uri.clone();
        *req.headers_mut() = self.taken.headers.clone();
        let facts = SendFacts {
            server: &server.id,
            limit,
        };
        self.dialect.prepare(req.headers_mut(), &facts);
        req
    }

    /// Sends the request to a server and waits for its answer. If that is long in coming, it may be
    /// sent to another server beside.
    pub(super) async fn send(&mut self, server: &Server, fence: Option<Fence>) -> Outcome {
        let was_open = self.open;
        let mut first = self.begin(server, fence);
        let outcome = match self.patience(first.limit) {
            None => {
                let result = (&mut first.answer).await;
                self.finish(first, result)
            }
            Some(patience) => match tokio::time::timeout(patience, &mut first.answer).await {
                Ok(result) => self.finish(first, result),
                Err(_elapsed) => self.send_beside(first).await,
            },
        };
        self.open = was_open;
        outcome
    }

    /// Waits for the answer of a server that is late, and sends the request to another one as soon
    /// as that has room.
    ///
    /// Load answered: servers that never answer a request for which they have no room, and servers
    /// that have turned slow. Nothing tells these two apart, so that the first send is not broken
    /// off before there is an answer: its server may be at work on it.
    async fn send_beside(&mut self, mut first: Sent<'a>) -> Outcome {
        self.avoid.push(first.server.id.clone());
        let (other, fence) = loop {
            if let Some(found) = self.beside(&first.server) {
                break found;
            }
            match tokio::time::timeout(BESIDE_INTERVAL, &mut first.answer).await {
                Ok(result) => return self.finish(first, result),
                Err(_elapsed) => {}
            }
        };
        let mut second = self.begin(&other, fence);
        let (early, mut late) = tokio::select! {
            result = &mut first.answer => (self.finish(first, result), second),
            result = &mut second.answer => (self.finish(second, result), first),
        };
        if matches!(early, Outcome::Answer(_, Class::Final)) {
            return early;
        }
        self.avoid.push(other.id);
        let result = (&mut late.answer).await;
        early.or(self.finish(late, result))
    }

    /// Returns another server that may be sent the request while `first` has it.
    fn beside(&self, first: &Server) -> Option<(Server, Option<Fence>)> {
        match self.next(clock::now()) {
            Next::Send(server, fence) if server.id != first.id && self.may_send() => {
                Some((*server, fence))
            }
            _ => None,
        }
    }

    /// Sends the request.
    fn begin(&mut self, server: &Server, fence: Option<Fence>) -> Sent<'a> {
        let began = clock::now();
        let limit = self.taken.deadline.since(began);
        let in_flight = InFlight::begin(self.shared, server);
        self.record_try(server, fence, &in_flight, began);
        let reuse = match self.taken.matched.route.repeat {
            Repeat::Idempotent => Reuse::Allowed,
            Repeat::AtMostOnce => Reuse::Fresh,
        };
        let req = self.build(server, limit);
        // Until the end of the call is known, the request counts as possibly run.
        self.open = true;
        let shared = self.shared;
        let upstream = self.upstream;
        let to = server.clone();
        let answer = Box::pin(async move {
            let opened = || shared.metrics.connections.inc();
            upstream.send(&to, req, reuse, opened).await
        });
        Sent {
            server: server.clone(),
            number: self.tries.len() - 1,
            began,
            limit,
            in_flight,
            answer,
        }
    }

    /// Takes in the end of a send.
    fn finish(&mut self, sent: Sent<'a>, result: Result<Received, SendError>) -> Outcome {
        let took = clock::now().since(sent.began);
        let (outcome, label) = self.judge(&sent.server, result, sent.in_flight);
        self.shared.metrics.attempt(label, took);
        if let Some(record) = self.tries.get_mut(sent.number) {
            record.outcome = label.into();
            record.took_ms = millis(took);
        }
        outcome
    }

    /// Returns how long to wait for a server's answer before another one may be asked beside, if the
    /// request may be run twice and there is time.
    fn patience(&self, limit: Duration) -> Option<Duration> {
        let may_repeat = self.taken.matched.route.repeat == Repeat::Idempotent;
        (may_repeat && limit >= MIN_PATIENT_LIMIT).then(|| limit.mul_f64(PATIENCE_SHARE))
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
            tables.load(server, now).response_ms(now)
        };
        self.tries.push(TryRecord {
            server: server.id.to_compact_string(),
            at_ms: millis(now.since(self.taken.received)),
            expected_ms: floor_to_u64(expected),
            load_tenths: floor_to_u64(in_flight.total_at_send() * 10.0),
            fence: fence.map(|fence| fence.0),
            outcome: "unanswered".into(),
            took_ms: 0,
        });
    }

    /// Judges the end of a send.
    fn judge(
        &self,
        server: &Server,
        result: Result<Received, SendError>,
        in_flight: InFlight,
    ) -> (Outcome, &'static str) {
        let received = match result {
            Ok(received) => received,
            Err(SendError::NotSent(reason)) => {
                log::debug!("not sent to {}: {reason}", server.id);
                in_flight.end(AttemptResult::Unreachable, None);
                return (Outcome::NotSent, "not-sent");
            }
            Err(SendError::Lost(reason)) => {
                log::debug!("lost at {}: {reason}", server.id);
                in_flight.end(AttemptResult::Failed, None);
                return (Outcome::Lost, "lost");
            }
        };
        let facts = self.dialect.answer(received.status, &received.headers);
        self.judge_answer(server, received, &facts, in_flight)
    }

    fn judge_answer(
        &self,
        server: &Server,
        received: Received,
        facts: &AnswerFacts,
        in_flight: InFlight,
    ) -> (Outcome, &'static str) {
        let own = facts.request.as_ref() == Some(&self.taken.id);
        let unnamed = facts.request.is_none();
        if (facts.not_run || facts.misdirected) && (own || unnamed) {
            let misdirected = facts.misdirected;
            let ended = if misdirected {
                AttemptResult::Unknown
            } else {
                AttemptResult::Shed
            };
            in_flight.end(ended, facts.load);
            self.keep(server, received, facts);
            let label = if misdirected { "misdirected" } else { "shed" };
            return (Outcome::NotRun { misdirected }, label);
        }
        if !own {
            // The answer belongs to another request; ours is still to come, on a connection that
            // can't be trusted any more.
            in_flight.end(AttemptResult::Failed, None);
            return (Outcome::Lost, "stray-answer");
        }
        if received.status.is_success() && !facts.signed {
            in_flight.end(AttemptResult::Failed, facts.load);
            return (Outcome::Lost, "unsigned");
        }
        let class = if received.status.is_server_error() {
            Class::ServerError
        } else {
            Class::Final
        };
        let ended = match class {
            Class::ServerError => AttemptResult::Failed,
            Class::Final => AttemptResult::Served,
        };
        in_flight.end(ended, facts.load);
        let reply = self.pass_on(server, received, facts, class);
        let label = match class {
            Class::ServerError => "server-error",
            Class::Final => "answered",
        };
        (Outcome::Answer(Box::new(reply), class), label)
    }

    fn pass_on(
        &self,
        server: &Server,
        received: Received,
        facts: &AnswerFacts,
        class: Class,
    ) -> Reply {
        let reply = Reply {
            status: received.status,
            headers: received.headers.clone(),
            body: received.body.clone(),
            reason: match class {
                Class::ServerError => "server-error",
                Class::Final => "served",
            },
            retry_after: None,
        };
        self.keep(server, received, facts);
        reply
    }

    fn keep(&self, server: &Server, received: Received, facts: &AnswerFacts) {
        let kept = {
            let mut tables = self.shared.tables();
            let bytes = self.taken.body.len() + received.body.len();
            tables.note_size(&self.taken.matched.route.name, bytes);
            tables.kept_connections(&self.taken.matched.service)
        };
        self.upstream
            .keep(&server.id, received, facts.keep_alive, kept as usize);
    }
}
