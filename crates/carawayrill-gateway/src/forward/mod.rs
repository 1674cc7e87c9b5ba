//! Forwards one request: chooses servers, sends and retries, and builds the reply to the caller.

mod choose;
mod crash;
mod egress;
pub(crate) mod peer;
pub(crate) mod peer_refusal;
mod refusal;
mod retry;
mod send;
mod sends;
mod wait;

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::decline;
use carawayrill_core::direct::decline::Declines;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::knowledge::LatestChanges;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::direct::routes::RouteMatch;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::EventKind;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::event::RetryRecord;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;

use self::choose::NextStep;
use self::crash::Admitted;
use self::crash::CrashChecks;
use self::peer::FORWARDED_REASON;
use self::peer_refusal::PeerRefusal;
use self::send::NotRunReason;
use self::send::Outcome;
use self::send::ResponseClass;
use self::sends::SendLedger;
use self::wait::WaitEnd;
use crate::clock;
use crate::held_data::HeldData;
use crate::port::HeaderCodec;
use crate::quarantine::ClosedSend;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The minimum time before the deadline with which a request is still sent.
const MIN_SEND_TIME: Duration = Duration::from_millis(10);
/// The maximum wait until the owner of a key is known, as a share of the objective.
const OWNER_WAIT_SHARE: f64 = 0.8;
/// The maximum wait after a server has rejected the key, as a share of the objective. The new owner
/// is then published either soon or only after a long time.
const MISDIRECTED_WAIT_SHARE: f64 = 0.25;
/// The delay before the owner of a key is tried again after the connection to it failed.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// The number of sends failed before a byte was sent after which the request is refused.
const MAX_UNSENT_TRIES: u32 = 3;
/// The number of such sends to different servers after which another front is tried.
const MIN_UNSENT_TRIES_BEFORE_DETOUR: u32 = 2;
/// The time to open a connection from which on a failure is not a refusal: the network or the machine
/// is gone, and a further attempt would take as long.
const SLOW_CONNECT: Duration = Duration::from_millis(200);
/// The retry-after time of a request that is refused because this front shuts down: others are ready.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The reason of a reply because this front shuts down.
pub(crate) const STOPPING_REASON: &str = "stopping";
/// The retry-after time of a refusal without a better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a front that passes a request on says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// The sends after which a server may have received the request.
    pub sends: u32,
    /// Whether it has counted the request as one of its callers'.
    pub is_counted: bool,
    /// The last changes of the store that it knows. Older builds don't name them.
    pub changes: Option<LatestChanges>,
}

/// A request that was read completely.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// The caller's id of the request.
    pub id: CompactString,
    /// The route and the destination service.
    pub matched: RouteMatch,
    /// Whether the destination is a keyed service.
    pub keyed: bool,
    /// The routing key.
    pub key: Option<u16>,
    /// The fingerprints of its content.
    pub fingerprints: Fingerprints,
    /// What another front says that has passed the request on to this one.
    pub forwarded: Option<Forwarded>,
    /// Whether this front has counted the request as one of its callers'.
    pub is_counted: bool,
    /// The version of the manifest that the route is from.
    pub manifest: u64,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldData,
    /// When the request was received.
    pub received: Time,
    /// When the response is due.
    pub deadline: Time,
    /// The time of the latency objective: a later response has lost most of its value.
    pub objective: Time,
}

/// The reply to the caller.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The server's headers, if this is the response of a server.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldData,
    /// The outcome for the log and metrics.
    pub reason: &'static str,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// Creates a reply that is generated by this process.
    #[must_use]
    pub fn local(status: StatusCode, reason: &'static str, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: HeldData::from_static(reason.as_bytes()),
            reason,
            retry_after,
        }
    }
}

/// The state of forwarding one request.
#[derive(Debug)]
pub struct Forwarder<'a> {
    shared: &'a Arc<Shared>,
    upstream: &'a Arc<Upstream>,
    peers: &'a Upstream,
    header_codec: &'a dyn HeaderCodec,
    request: &'a AcceptedRequest,
    /// The sends to servers.
    pub tries: Vec<TryRecord>,
    /// The total time spent waiting for the owner of the key or for a server with room.
    pub waited: Duration,
    /// The load estimates at the time of a refusal for lack of capacity.
    pub load_estimate: Option<LoadEstimateRecord>,
    /// The last decision on one more send.
    pub retry: Option<RetryRecord>,
    excluded: Vec<ServerId>,
    /// The servers that refused the request although they have free slots.
    declines: Declines,
    /// The server address and fence of the last send that was rejected because the server does not
    /// hold the key.
    misdirected_at: Option<(SocketAddr, Fence)>,
    unsent_tries: u32,
    /// Which sends may have run the request.
    sends: SendLedger,
    /// The sends to servers by fronts that have refused the request afterwards.
    refused_sends: u32,
    /// The last error response of a server, which is passed on if no later send succeeds.
    server_error: Option<Reply>,
    /// The sends whose server may have crashed, until that is known.
    closed_sends: Vec<ClosedSend>,
    /// Whether a server has closed the connection of a send before it responded.
    was_closed: bool,
    /// Whether this front sends a suspect request that the front which tries these did not take.
    is_left_to_try: bool,
}

impl<'a> Forwarder<'a> {
    /// Creates the state for a request that was not sent yet. `upstream` has the connections to
    /// servers and `peers` those to other fronts.
    #[must_use]
    pub fn new(
        shared: &'a Arc<Shared>,
        upstream: &'a Arc<Upstream>,
        peers: &'a Upstream,
        header_codec: &'a dyn HeaderCodec,
        request: &'a AcceptedRequest,
    ) -> Self {
        Self {
            shared,
            upstream,
            peers,
            header_codec,
            request,
            tries: Vec::new(),
            waited: Duration::ZERO,
            load_estimate: None,
            retry: None,
            excluded: Vec::new(),
            declines: Declines::default(),
            misdirected_at: None,
            unsent_tries: 0,
            sends: SendLedger::default(),
            refused_sends: 0,
            server_error: None,
            closed_sends: Vec::new(),
            was_closed: false,
            is_left_to_try: false,
        }
    }

    /// Forwards the request until there is a reply.
    pub async fn run(&mut self) -> Reply {
        let now = clock::now();
        let left = self.request.deadline.since(now);
        match tokio::time::timeout(left, self.run_attempts()).await {
            Ok(reply) => reply,
            Err(_elapsed) => self.timed_out(),
        }
    }

    /// Returns the reply to a request that must end now because this front shuts down. If another
    /// front has passed it on, that can ask a further one.
    pub fn abort_for_shutdown(&mut self) -> Reply {
        let now = clock::now();
        if let Some(last) = self.tries.last().filter(|_| self.sends.may_have_run()) {
            emit(EventKind::RequestAborted {
                request: self.request.id.clone(),
                server: last.server.clone(),
                age_ms: millis(now.since(self.request.received)),
                left_ms: millis(self.request.deadline.since(now)),
            });
        }
        if self.request.forwarded.is_some() && self.server_error.is_none() {
            let refusal = self.peer_refusal();
            return refusal.into_reply(STOPPING_REASON, STOPPING_RETRY_AFTER);
        }
        self.end(
            StatusCode::GATEWAY_TIMEOUT,
            STOPPING_REASON,
            STOPPING_RETRY_AFTER,
        )
    }

    /// Returns what this front says of a request that it does not serve for another one.
    fn peer_refusal(&self) -> PeerRefusal {
        PeerRefusal {
            sends: self.sends_since_received(),
            may_have_run: self.sends.may_have_run(),
        }
    }

    /// Returns whether a send to `server` would be aborted by the shutdown of this front before a
    /// response can be expected, although no server may have run the request yet.
    fn is_too_late_for(&self, server: &Server) -> bool {
        if self.sends.may_have_run() {
            return false;
        }
        let now = clock::now();
        let mut tables = self.shared.tables();
        let Some(schedule) = tables.shutdown else {
            return false;
        };
        let expected_ms = tables.load(server, now).response_ms(now);
        let expected = Duration::from_millis(floor_to_u64(expected_ms));
        !schedule.has_time_for(now, expected)
    }

    fn abort(&mut self, reason: &'static str) -> Reply {
        self.end(StatusCode::GATEWAY_TIMEOUT, reason, DEFAULT_RETRY_AFTER)
    }

    /// Returns the number of sends that may have run the request.
    #[must_use]
    pub fn unproven_sends(&self) -> usize {
        self.sends.unproven()
    }

    /// Returns the reply to a request for which no further response is awaited: an error response of
    /// a server, `unknown` if it may have run, or a refusal.
    fn end(&mut self, unknown: StatusCode, reason: &'static str, retry_after: Duration) -> Reply {
        if let Some(server_error) = self.server_error.take() {
            return server_error;
        }
        if self.sends.may_have_run() {
            return Reply::local(unknown, reason, None);
        }
        Reply::local(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    fn timed_out(&mut self) -> Reply {
        let reason = if self.sends.may_have_run() {
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
            match self.admit().await {
                ControlFlow::Break(reply) => return reply,
                ControlFlow::Continue(Admitted::AskAgain) => continue,
                ControlFlow::Continue(Admitted::Send) => {}
            }
            if self.shared.is_cut_off()
                && let Some(reply) = self.forward_to_peer(FORWARDED_REASON).await
            {
                return reply;
            }
            let next = self.choose_first(clock::now());
            if next.is_unreached()
                && let Some(reply) = self.detour().await
            {
                return reply;
            }
            match next {
                NextStep::Refuse(refusal) => return self.refuse(refusal),
                NextStep::WaitForRoom(refusal, waiter) => {
                    match self.wait_for_room(refusal, waiter).await {
                        WaitEnd::Refuse(reply) => return reply,
                        WaitEnd::Restart => {}
                        WaitEnd::Send(server, fence) => {
                            if let Some(reply) = self.attempt(&server, fence).await {
                                return reply;
                            }
                        }
                    }
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

    /// Returns the reply to a request that is not sent again.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> Reply {
        self.end(StatusCode::BAD_GATEWAY, reason, retry_after)
    }

    /// Waits until the tables change. Returns a reply if the wait took too long.
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

    /// Sends the request to a server. Returns a reply if no further send follows.
    async fn attempt(&mut self, server: &Server, fence: Option<Fence>) -> Option<Reply> {
        if self.is_too_late_for(server) {
            return Some(self.abort_for_shutdown());
        }
        if !self.try_acquire_send(&server.id) {
            let retry_after = if self.declines.count() > 0 {
                decline::retry_after(&mut self.shared.tables().rng)
            } else {
                DEFAULT_RETRY_AFTER
            };
            return Some(self.give_up("no-more-tries", retry_after));
        }
        if !self.begin_send() {
            return None;
        }
        let started = clock::now();
        let outcome = self.send(server, fence).await;
        let checks = self.start_crash_checks();
        match outcome {
            Outcome::Response(reply, ResponseClass::Final) => Some(*reply),
            Outcome::Response(reply, ResponseClass::ServerError) => {
                self.server_error = Some(*reply);
                self.after_possible_run(server, checks).await
            }
            Outcome::Lost => self.after_possible_run(server, checks).await,
            Outcome::NotRun(reason) => {
                match reason {
                    NotRunReason::Misdirected if self.request.keyed => {
                        self.misdirected_at = fence.map(|fence| (server.address, fence));
                    }
                    NotRunReason::Misdirected | NotRunReason::Overloaded => {
                        self.excluded.push(server.id.clone());
                    }
                    NotRunReason::Declined => self.declines.record(server.id.clone()),
                }
                None
            }
            Outcome::NotSent => {
                self.unsent_tries += 1;
                let is_slow = clock::now().since(started) >= SLOW_CONNECT;
                let has_tried = is_slow || self.unsent_tries >= MIN_UNSENT_TRIES_BEFORE_DETOUR;
                // Only its owner can serve a key; others may reach it.
                if (self.request.keyed || has_tried)
                    && let Some(reply) = self.detour().await
                {
                    return Some(reply);
                }
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

    /// Returns the reply to a request that may have run and may run only once.
    fn refuse_second_run(&mut self) -> Option<Reply> {
        let is_final = self.request.matched.route.repeat == Repeat::AtMostOnce;
        (is_final && self.sends.may_have_run())
            .then(|| self.give_up("answer-lost", DEFAULT_RETRY_AFTER))
    }

    /// Decides how to continue after a send that the server may have run. `checks` find out whether
    /// it crashed.
    async fn after_possible_run(&mut self, server: &Server, checks: CrashChecks) -> Option<Reply> {
        if let Some(reply) = self.refuse_second_run() {
            return Some(reply);
        }
        if !self.request.keyed {
            self.excluded.push(server.id.clone());
        }
        checks.await_all().await;
        None
    }
}
