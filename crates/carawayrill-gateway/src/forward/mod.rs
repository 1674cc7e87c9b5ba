//! The way of one request: which server, how often, and what the caller is told.

mod choose;
mod send;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::routes::Matched;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::BeliefRecord;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;

use self::choose::NextStep;
use self::send::Outcome;
use self::send::ResponseClass;
use crate::clock;
use crate::port::HeaderCodec;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The time that has to be left for a send to be worth it.
const MIN_SEND_TIME: Duration = Duration::from_millis(10);
/// The longest wait for the owner of a key to be known, as a share of the objective.
const OWNER_WAIT_SHARE: f64 = 0.8;
/// The same once a server has said that it does not hold the key: either news of its owner are on
/// their way, or it takes long.
const MISDIRECTED_WAIT_SHARE: f64 = 0.25;
/// The pause before the owner of a key is tried again after it was not reached.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Sends that did not leave this process before a request is given up.
const MAX_UNSENT_TRIES: u32 = 3;
/// When to come back after a refusal that does not know better.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A request that was taken in whole.
#[derive(Debug)]
pub struct AcceptedRequest {
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
    pub fn local(status: StatusCode, reason: &'static str, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from_static(reason.as_bytes()),
            reason,
            retry_after,
        }
    }
}

/// One request on its way.
#[derive(Debug)]
pub struct Forwarder<'a> {
    shared: &'a Arc<Shared>,
    upstream: &'a Upstream,
    header_codec: &'a dyn HeaderCodec,
    request: &'a AcceptedRequest,
    /// The servers that it was sent to.
    pub tries: Vec<TryRecord>,
    /// The time spent waiting for an owner.
    pub waited: Duration,
    /// What was load_estimate of the servers when it was refused for lack of room.
    pub load_estimate: Option<BeliefRecord>,
    excluded: Vec<ServerId>,
    /// Where and under which fence a server said last that it does not hold the key.
    misdirected_at: Option<(SocketAddr, Fence)>,
    unsent_tries: u32,
    /// Whether it may have been run.
    may_have_run: bool,
    /// A server's failure, to be passed on if nothing better comes.
    server_error: Option<Reply>,
}

impl<'a> Forwarder<'a> {
    /// Prepares the way of a request.
    #[must_use]
    pub fn new(
        shared: &'a Arc<Shared>,
        upstream: &'a Upstream,
        header_codec: &'a dyn HeaderCodec,
        request: &'a AcceptedRequest,
    ) -> Self {
        Self {
            shared,
            upstream,
            header_codec,
            request,
            tries: Vec::new(),
            waited: Duration::ZERO,
            load_estimate: None,
            excluded: Vec::new(),
            misdirected_at: None,
            unsent_tries: 0,
            may_have_run: false,
            server_error: None,
        }
    }

    /// Takes the request to its end.
    pub async fn run(&mut self) -> Reply {
        let now = clock::now();
        let left = self.request.deadline.since(now);
        match tokio::time::timeout(left, self.run_attempts()).await {
            Ok(reply) => reply,
            Err(_elapsed) => self.timed_out(),
        }
    }

    /// Returns the last answer to a request that has to end now.
    pub fn abort(&mut self, reason: &'static str) -> Reply {
        if let Some(server_error) = self.server_error.take() {
            return server_error;
        }
        if self.may_have_run {
            return Reply::local(StatusCode::GATEWAY_TIMEOUT, reason, None);
        }
        Reply::local(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            Some(DEFAULT_RETRY_AFTER),
        )
    }

    fn timed_out(&mut self) -> Reply {
        let reason = if self.may_have_run {
            "timeout"
        } else {
            "timeout-before-send"
        };
        self.abort(reason)
    }

    async fn run_attempts(&mut self) -> Reply {
        loop {
            let now = clock::now();
            if self.request.deadline.since(now) < MIN_SEND_TIME {
                return self.timed_out();
            }
            match self.choose_next(now) {
                NextStep::Refuse(refusal) => {
                    self.load_estimate = refusal.load_estimate;
                    return self.give_up(refusal.reason, refusal.retry_after);
                }
                NextStep::WaitForOwner => {
                    if let Some(reply) = self.wait_for_owner(now).await {
                        return reply;
                    }
                }
                NextStep::Send(server, fence) => {
                    if let Some(reply) = self.attempt(&server, fence).await {
                        return reply;
                    }
                }
            }
        }
    }

    /// Ends a request that is sent no further.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> Reply {
        if let Some(server_error) = self.server_error.take() {
            return server_error;
        }
        if self.may_have_run {
            return Reply::local(StatusCode::BAD_GATEWAY, reason, None);
        }
        Reply::local(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    /// Waits until the spans change. Returns the answer if that has taken too long.
    async fn wait_for_owner(&mut self, now: Time) -> Option<Reply> {
        let objective = self.request.objective.since(self.request.received);
        let share = match self.misdirected_at {
            Some(_) => MISDIRECTED_WAIT_SHARE,
            None => OWNER_WAIT_SHARE,
        };
        let allowed = objective.mul_f64(share);
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
        if !self.try_acquire_send() {
            return Some(self.give_up("no-more-tries", DEFAULT_RETRY_AFTER));
        }
        let outcome = self.send(server, fence).await;
        match outcome {
            Outcome::Response(reply, ResponseClass::Final) => Some(*reply),
            Outcome::Response(reply, ResponseClass::ServerError) => {
                self.server_error = Some(*reply);
                self.after_possible_run(server)
            }
            Outcome::Lost => {
                self.may_have_run = true;
                self.after_possible_run(server)
            }
            Outcome::NotRun { misdirected } => {
                if misdirected && self.request.keyed {
                    self.misdirected_at = fence.map(|fence| (server.address, fence));
                } else {
                    self.excluded.push(server.id.clone());
                }
                None
            }
            Outcome::NotSent => {
                self.unsent_tries += 1;
                if self.request.keyed {
                    tokio::time::sleep(UNREACHABLE_RETRY_DELAY).await;
                } else {
                    self.excluded.push(server.id.clone());
                }
                (self.unsent_tries >= MAX_UNSENT_TRIES)
                    .then(|| self.give_up("not-reached", DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Decides after a send that may have been run.
    fn after_possible_run(&mut self, server: &Server) -> Option<Reply> {
        if self.request.matched.route.repeat == Repeat::AtMostOnce {
            self.may_have_run = true;
            return Some(self.give_up("answer-lost", DEFAULT_RETRY_AFTER));
        }
        if !self.request.keyed {
            self.excluded.push(server.id.clone());
        }
        None
    }
}
