//! The way of one request: which server, how often, and what the caller is told.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Wish;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::load::Ended;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::routes::Matched;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_core::time::whole;
use compact_str::CompactString;
use compact_str::ToCompactString;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;

use crate::clock;
use crate::port::AnswerFacts;
use crate::port::Dialect;
use crate::port::SendFacts;
use crate::state::InFlight;
use crate::state::Shared;
use crate::state::Tables;
use crate::upstream::Received;
use crate::upstream::Reuse;
use crate::upstream::SendError;
use crate::upstream::Upstream;

/// The time that has to be left for a send to be worth it.
const MIN_LEFT: Duration = Duration::from_millis(10);
/// The longest wait for the owner of a key to be known, as a share of the objective.
const OWNER_WAIT_SHARE: f64 = 0.8;
/// The time in which an idle server is assumed to answer before any was measured, in milliseconds.
const ASSUMED_IDLE_MS: f64 = 50.0;
/// The share of its time limit after which an idempotent request without an answer is sent again.
const PATIENCE_SHARE: f64 = 0.5;
/// The shortest time limit with which a request is sent again for want of an answer. Within less,
/// slow work can't be told from none.
const MIN_PATIENT_LIMIT: Duration = Duration::from_secs(2);
/// How long to wait for newer spans after a server said that it does not hold the key.
const MISDIRECTED_WAIT: Duration = Duration::from_millis(60);
/// Sends that did not leave this process before a request is given up.
const MAX_UNSENT: u32 = 3;
/// When to come back after a refusal that does not know better.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A request that was taken in whole.
#[derive(Debug)]
pub struct Taken {
    /// The caller's id of it.
    pub id: CompactString,
    /// Its route and destination.
    pub matched: Matched,
    /// Whether the destination's servers own keys.
    pub keyed: bool,
    /// Its key.
    pub key: Option<u16>,
    /// The version of the manifest that decided.
    pub manifest: u64,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the caller's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it was received.
    pub received: Time,
    /// When its answer is due.
    pub deadline: Time,
    /// When its answer is worth most of its worth no more.
    pub objective: Time,
}

/// What the caller is told.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The server's headers, if this is a server's answer.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Why.
    pub reason: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// Makes an answer of this process's own.
    #[must_use]
    pub fn own(status: StatusCode, reason: &'static str, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from_static(reason.as_bytes()),
            reason,
            retry_after,
        }
    }
}

/// Where the next send goes.
#[derive(Debug)]
enum Next {
    Send(Box<Server>, Option<Fence>),
    WaitForOwner,
    Refuse(&'static str, Duration),
}

/// What became of one send.
#[derive(Debug)]
enum Outcome {
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
enum Class {
    /// To be passed on.
    Final,
    /// A failure that another server may not have.
    ServerError,
}

/// One request on its way.
#[derive(Debug)]
pub struct Journey<'a> {
    shared: &'a Arc<Shared>,
    upstream: &'a Upstream,
    dialect: &'a dyn Dialect,
    taken: &'a Taken,
    /// The servers that it was sent to.
    pub tries: Vec<TryRecord>,
    /// The time spent waiting for an owner.
    pub waited: Duration,
    avoid: Vec<ServerId>,
    unsent: u32,
    /// Whether it may have been run.
    open: bool,
    /// A server's failure, to be passed on if nothing better comes.
    failure: Option<Reply>,
}

impl<'a> Journey<'a> {
    /// Prepares the way of a request.
    #[must_use]
    pub fn new(
        shared: &'a Arc<Shared>,
        upstream: &'a Upstream,
        dialect: &'a dyn Dialect,
        taken: &'a Taken,
    ) -> Self {
        Self {
            shared,
            upstream,
            dialect,
            taken,
            tries: Vec::new(),
            waited: Duration::ZERO,
            avoid: Vec::new(),
            unsent: 0,
            open: false,
            failure: None,
        }
    }

    /// Takes the request to its end.
    pub async fn run(&mut self) -> Reply {
        let now = clock::now();
        let left = self.taken.deadline.since(now);
        match tokio::time::timeout(left, self.attempts()).await {
            Ok(reply) => reply,
            Err(_elapsed) => self.timed_out(),
        }
    }

    fn timed_out(&mut self) -> Reply {
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        if self.open {
            return Reply::own(StatusCode::GATEWAY_TIMEOUT, "timeout", None);
        }
        Reply::own(
            StatusCode::SERVICE_UNAVAILABLE,
            "timeout-before-send",
            Some(DEFAULT_RETRY_AFTER),
        )
    }

    async fn attempts(&mut self) -> Reply {
        loop {
            let now = clock::now();
            if self.taken.deadline.since(now) < MIN_LEFT {
                return self.timed_out();
            }
            match self.next(now) {
                Next::Refuse(reason, after) => return self.give_up(reason, after),
                Next::WaitForOwner => {
                    if let Some(reply) = self.wait_for_owner(now).await {
                        return reply;
                    }
                }
                Next::Send(server, fence) => {
                    if let Some(reply) = self.attempt(&server, fence).await {
                        return reply;
                    }
                }
            }
        }
    }

    /// Ends a request that is sent no further.
    fn give_up(&mut self, reason: &'static str, after: Duration) -> Reply {
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        if self.open {
            return Reply::own(StatusCode::BAD_GATEWAY, reason, None);
        }
        Reply::own(StatusCode::SERVICE_UNAVAILABLE, reason, Some(after))
    }

    fn next(&self, now: Time) -> Next {
        let mut tables = self.shared.tables();
        if self.taken.keyed {
            return self.next_owner(&mut tables, now);
        }
        self.next_server(&mut tables, now)
    }

    fn wish(&self, tables: &Tables, now: Time) -> Wish {
        let body = self.taken.body.len() as f64 / 1_024.0;
        Wish {
            objective_left: self.taken.objective.since(now),
            deadline_left: self.taken.deadline.since(now),
            kib: body.max(tables.size_kib(&self.taken.matched.route.name)),
        }
    }

    /// Chooses among all servers of the service.
    fn next_server(&self, tables: &mut Tables, now: Time) -> Next {
        let service = &self.taken.matched.service;
        let servers: Vec<Server> = tables.servers.ready_of(service).cloned().collect();
        let share = tables.connection_share(service);
        let mean_ms = tables.service_ms(service);
        let candidates: Vec<_> = servers
            .iter()
            .filter(|server| !self.avoid.contains(&server.id))
            .map(|server| {
                let distance = self.shared.distance(&server.data_centre);
                tables.candidate(server, distance, share, mean_ms, now)
            })
            .collect();
        let wish = self.wish(tables, now);
        let idle_ms = mean_ms.unwrap_or(ASSUMED_IDLE_MS);
        let fronts = tables.fronts.get();
        match admission::choose(&candidates, &wish, idle_ms, fronts, &mut tables.rng) {
            Choice::Send(id) => match servers.into_iter().find(|server| server.id == id) {
                Some(server) => Next::Send(Box::new(server), None),
                None => Next::Refuse("no-server", DEFAULT_RETRY_AFTER),
            },
            Choice::Full(after) => Next::Refuse("full", after),
            Choice::NoServer => Next::Refuse("no-server", DEFAULT_RETRY_AFTER),
        }
    }

    /// Looks the owner of the key up.
    fn next_owner(&self, tables: &mut Tables, now: Time) -> Next {
        let service = &self.taken.matched.service;
        let Some(key) = self.taken.key else {
            return Next::Refuse("no-key", DEFAULT_RETRY_AFTER);
        };
        let span = tables
            .spans
            .get(service)
            .and_then(|table| table.find(key))
            .cloned();
        let Some(span) = span.filter(|span| !span.moving) else {
            return Next::WaitForOwner;
        };
        let Some(server) = tables.servers.get(&span.server).cloned() else {
            return Next::WaitForOwner;
        };
        let leaving = tables.servers.leaving_since(&server.id);
        if leaving.is_some_and(|since| now.since(since) > self.shared.cfg.drain) {
            return Next::WaitForOwner;
        }
        let share = tables.connection_share(service);
        let distance = self.shared.distance(&server.data_centre);
        let mean_ms = tables.service_ms(service);
        let candidate = tables.candidate(&server, distance, share, mean_ms, now);
        let wish = self.wish(tables, now);
        let idle_ms = candidate.answer_ms.min(mean_ms.unwrap_or(ASSUMED_IDLE_MS));
        let fronts = tables.fronts.get();
        match admission::choose(&[candidate], &wish, idle_ms, fronts, &mut tables.rng) {
            Choice::Send(_) => Next::Send(Box::new(server), Some(span.fence)),
            Choice::Full(after) => Next::Refuse("full", after),
            Choice::NoServer => Next::Refuse("owner-busy", DEFAULT_RETRY_AFTER),
        }
    }

    /// Waits until the spans change. Returns the answer if that has taken too long.
    async fn wait_for_owner(&mut self, now: Time) -> Option<Reply> {
        let objective = self.taken.objective.since(self.taken.received);
        let allowed = objective.mul_f64(OWNER_WAIT_SHARE);
        let mut changes = self.shared.changes();
        let left = allowed.saturating_sub(self.waited);
        if left.is_zero() {
            return Some(self.give_up("owner-unknown", DEFAULT_RETRY_AFTER));
        }
        let waited = tokio::time::timeout(left, changes.changed()).await;
        self.waited += clock::now().since(now);
        if waited.is_err() {
            return Some(self.give_up("owner-unknown", DEFAULT_RETRY_AFTER));
        }
        None
    }

    /// Sends the request to a server. Returns the answer if that ends it.
    async fn attempt(&mut self, server: &Server, fence: Option<Fence>) -> Option<Reply> {
        if !self.may_send() {
            return Some(self.give_up("no-more-tries", DEFAULT_RETRY_AFTER));
        }
        let outcome = self.send(server, fence).await;
        match outcome {
            Outcome::Answer(reply, Class::Final) => Some(*reply),
            Outcome::Answer(reply, Class::ServerError) => {
                self.failure = Some(*reply);
                self.after_run(server)
            }
            Outcome::Lost => {
                self.open = true;
                self.after_run(server)
            }
            Outcome::NotRun { misdirected } => {
                if misdirected && self.taken.keyed {
                    self.wait_for_newer_spans().await;
                } else {
                    self.avoid.push(server.id.clone());
                }
                None
            }
            Outcome::NotSent => {
                self.unsent += 1;
                if self.taken.keyed {
                    tokio::time::sleep(MISDIRECTED_WAIT).await;
                } else {
                    self.avoid.push(server.id.clone());
                }
                (self.unsent >= MAX_UNSENT)
                    .then(|| self.give_up("not-reached", DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Decides after a send that may have been run.
    fn after_run(&mut self, server: &Server) -> Option<Reply> {
        if self.taken.matched.route.repeat == Repeat::AtMostOnce {
            self.open = true;
            return Some(self.give_up("answer-lost", DEFAULT_RETRY_AFTER));
        }
        if !self.taken.keyed {
            self.avoid.push(server.id.clone());
        }
        None
    }

    /// Returns whether one more send is within the route's tries and the shared budget.
    fn may_send(&self) -> bool {
        let sent = self.tries.len().saturating_sub(self.unsent as usize);
        if sent == 0 {
            return true;
        }
        let now = clock::now();
        let mut tables = self.shared.tables();
        let fronts = tables.fronts.get();
        (sent as u64) < u64::from(self.taken.matched.route.max_tries)
            && tables
                .budget(&self.taken.matched.service, &self.shared.cfg)
                .take(now, fronts)
    }

    async fn wait_for_newer_spans(&self) {
        let mut changes = self.shared.changes();
        let _changed = tokio::time::timeout(MISDIRECTED_WAIT, changes.changed()).await;
    }

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

    async fn send(&mut self, server: &Server, fence: Option<Fence>) -> Outcome {
        let sent = clock::now();
        let limit = self.taken.deadline.since(sent);
        let in_flight = InFlight::begin(self.shared, server);
        self.record_try(server, fence, &in_flight, sent);
        let reuse = match self.taken.matched.route.repeat {
            Repeat::Idempotent => Reuse::Allowed,
            Repeat::AtMostOnce => Reuse::Fresh,
        };
        let req = self.build(server, limit);
        let metrics = &self.shared.metrics;
        // Until the end of the call is known, the request counts as possibly run.
        let was_open = std::mem::replace(&mut self.open, true);
        let call = self
            .upstream
            .send(server, req, reuse, || metrics.connections.inc());
        let result = match self.patience(limit) {
            None => call.await,
            Some(patience) => tokio::time::timeout(patience, call)
                .await
                .unwrap_or_else(|_elapsed| Err(SendError::Lost("no answer".into()))),
        };
        self.open = was_open;
        let took = clock::now().since(sent);
        let (outcome, label) = self.judge(server, result, in_flight);
        metrics.attempt(label, took);
        if let Some(last) = self.tries.last_mut() {
            last.outcome = label.into();
            last.took_ms = millis(took);
        }
        outcome
    }

    /// Returns how long to wait for a server's answer, if not for all the time that is left. Some
    /// servers never answer a request that they have no room for.
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
            tables.load(server, now).answer_ms(now)
        };
        self.tries.push(TryRecord {
            server: server.id.to_compact_string(),
            at_ms: millis(now.since(self.taken.received)),
            expected_ms: whole(expected),
            load_tenths: whole(in_flight.total_at_send() * 10.0),
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
                in_flight.end(Ended::Unreachable, None);
                return (Outcome::NotSent, "not-sent");
            }
            Err(SendError::Lost(reason)) => {
                log::debug!("lost at {}: {reason}", server.id);
                in_flight.end(Ended::Failed, None);
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
                Ended::Unknown
            } else {
                Ended::Shed
            };
            in_flight.end(ended, facts.load);
            self.keep(server, received, facts);
            let label = if misdirected { "misdirected" } else { "shed" };
            return (Outcome::NotRun { misdirected }, label);
        }
        if !own {
            // The answer belongs to another request; ours is still to come, on a connection that
            // can't be trusted any more.
            in_flight.end(Ended::Failed, None);
            return (Outcome::Lost, "stray-answer");
        }
        if received.status.is_success() && !facts.signed {
            in_flight.end(Ended::Failed, facts.load);
            return (Outcome::Lost, "unsigned");
        }
        let class = if received.status.is_server_error() {
            Class::ServerError
        } else {
            Class::Final
        };
        let ended = match class {
            Class::ServerError => Ended::Failed,
            Class::Final => Ended::Served,
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
