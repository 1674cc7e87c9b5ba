//! The way of one request: which server, how often, and what the caller is told.

mod choose;
mod send;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::routes::RouteMatch;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;

use self::choose::Next;
use self::send::Class;
use self::send::Outcome;
use crate::clock;
use crate::port::Dialect;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The time that has to be left for a send to be worth it.
const MIN_LEFT: Duration = Duration::from_millis(10);
/// The longest wait for the owner of a key to be known, as a share of the objective.
const OWNER_WAIT_SHARE: f64 = 0.8;
/// The same once a server has said that it does not hold the key: either news of its owner are on
/// their way, or it takes long.
const MISDIRECTED_WAIT_SHARE: f64 = 0.25;
/// The pause before the owner of a key is tried again after it was not reached.
const UNREACHED_WAIT: Duration = Duration::from_millis(60);
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
    pub matched: RouteMatch,
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
    /// What was believed of the servers when it was refused for lack of room.
    pub believed: Option<LoadEstimateRecord>,
    avoid: Vec<ServerId>,
    /// Where and under which fence a server said last that it does not hold the key.
    misdirected: Option<(SocketAddr, Fence)>,
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
            believed: None,
            avoid: Vec::new(),
            misdirected: None,
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

    /// Returns the last answer to a request that has to end now.
    pub fn cut_short(&mut self, reason: &'static str) -> Reply {
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        if self.open {
            return Reply::own(StatusCode::GATEWAY_TIMEOUT, reason, None);
        }
        Reply::own(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            Some(DEFAULT_RETRY_AFTER),
        )
    }

    fn timed_out(&mut self) -> Reply {
        let reason = if self.open {
            "timeout"
        } else {
            "timeout-before-send"
        };
        self.cut_short(reason)
    }

    async fn attempts(&mut self) -> Reply {
        loop {
            let now = clock::now();
            if self.taken.deadline.since(now) < MIN_LEFT {
                return self.timed_out();
            }
            match self.next(now) {
                Next::Refuse(refusal) => {
                    self.believed = refusal.believed;
                    return self.give_up(refusal.reason, refusal.after);
                }
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

    /// Waits until the spans change. Returns the answer if that has taken too long.
    async fn wait_for_owner(&mut self, now: Time) -> Option<Reply> {
        let objective = self.taken.objective.since(self.taken.received);
        let share = match self.misdirected {
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
                    self.misdirected = fence.map(|fence| (server.address, fence));
                } else {
                    self.avoid.push(server.id.clone());
                }
                None
            }
            Outcome::NotSent => {
                self.unsent += 1;
                if self.taken.keyed {
                    tokio::time::sleep(UNREACHED_WAIT).await;
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
}
