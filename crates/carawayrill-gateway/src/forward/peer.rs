//! Passes a request on to another front while this one is cut off from the servers.

use std::time::Duration;

use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::reach::NoHomePeer;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::Place;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body_util::Full;

use super::DEFAULT_RETRY_AFTER;
use super::Forwarded;
use super::Forwarder;
use super::MIN_SEND_TIME;
use super::Reply;
use super::peer_refusal::PeerRefusal;
use super::send::NOT_SENT;
use super::sends::UnprovenSend;
use super::sends::promises_not_run;
use crate::clock;
use crate::port::SendMetadata;
use crate::state::Shared;
use crate::upstream::Destination;
use crate::upstream::Reuse;
use crate::upstream::SendError;
use crate::upstream::ServerResponse;

/// Marks a request that a front has passed on, with the name of that front and a proof. It is not
/// passed on again.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("carawayrill-forwarded");
/// The number of sends after which a server may have received such a request. Older builds don't name
/// it.
pub(crate) const SENDS: HeaderName = HeaderName::from_static("carawayrill-sends");
/// Says that the front which has passed the request on has counted it as one of its callers'. Older
/// builds don't say it.
pub(crate) const COUNTED: HeaderName = HeaderName::from_static("carawayrill-counted");
/// The last changes of the store that the front knows which has passed the request on, or, in a reply,
/// that it is the decision of a front which knows them all. Older builds don't name them.
pub(crate) const CHANGES: HeaderName = HeaderName::from_static("carawayrill-changes");
/// The reason of a reply from another front, asked because this one is cut off from all servers.
pub(super) const FORWARDED_REASON: &str = "forwarded";
/// The same if this front only does not reach those that the request could be sent to.
const DETOUR_REASON: &str = "detour";
/// The reason of a reply from the front that tries suspect requests for all.
pub(super) const TRIED_REASON: &str = "tried-for-all";
/// The outcome of passing a request on to a front that is cut off as well, or stops.
pub(super) const PEER_CUT_OFF: &str = "cut-off";
/// The statuses of a reply from another front that don't show that it has reached a server.
const UNREACHED_STATUSES: [StatusCode; 3] = [
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// The number of idle connections that are kept to a peer.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// How long an idle connection to a peer is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

impl Forwarder<'_> {
    /// Passes the request on to another front because this one does not reach the server that it is
    /// for. Returns `None` if there is no other front, if others have not reached servers of the
    /// service either, or if the server may have crashed under the request.
    pub(super) async fn detour(&mut self) -> Option<Reply> {
        if self.request.forwarded.is_some() || self.may_have_crashed_server() {
            return None;
        }
        let service = &self.request.matched.service;
        let now = clock::now();
        {
            let tables = &mut *self.shared.tables();
            if tables.peers.is_empty() || !tables.detours.try_acquire(service, now) {
                return None;
            }
        }
        let reply = self.forward_to_peer(DETOUR_REASON).await?;
        let is_reached = !UNREACHED_STATUSES.contains(&reply.status);
        let mut tables = self.shared.tables();
        tables.detours.record(service, is_reached, clock::now());
        Some(reply)
    }

    /// Passes the request on to other fronts until one replies. Returns `None` if there is none to
    /// pass it on to. `reason` is that of the reply.
    pub(super) async fn forward_to_peer(&mut self, reason: &'static str) -> Option<Reply> {
        if self.request.forwarded.is_some() {
            let refusal = self.peer_refusal();
            return Some(refusal.into_reply("cut-off", DEFAULT_RETRY_AFTER));
        }
        let mut tried = Vec::new();
        loop {
            let now = clock::now();
            if self.request.deadline.since(now) < MIN_SEND_TIME {
                return Some(self.timed_out());
            }
            let Ok(peer) = self.choose_peer(&tried, now) else {
                return Some(self.give_up("no-home-peer", DEFAULT_RETRY_AFTER));
            };
            let peer = peer?;
            if let Some(reply) = self.try_peer(&peer, reason, now).await {
                return Some(reply);
            }
            tried.push(peer.front);
        }
    }

    /// Passes the request on to one other front. Returns `None` if a further one may be asked. `reason` is
    /// that of the reply.
    pub(super) async fn try_peer(
        &mut self,
        peer: &Peer,
        reason: &'static str,
        now: Time,
    ) -> Option<Reply> {
        let send = self.sends.begin();
        let result = self.send_to_peer(peer, now).await;
        let refusal = result.as_ref().ok().and_then(|response| {
            let refusal = PeerRefusal::parse(response);
            refusal.or_else(|| self.distrust(response))
        });
        let outcome = match &result {
            Ok(_) if refusal.is_some() => PEER_CUT_OFF,
            Ok(_) => "answered",
            Err(SendError::NotSent(_)) => NOT_SENT,
            Err(SendError::Closed(_) | SendError::Lost(_) | SendError::NoMemory) => "lost",
        };
        let error = match &result {
            Ok(response) => refusal.map(|_| String::from_utf8_lossy(&response.body).into()),
            Err(err) => Some(err.reason()),
        };
        self.end_peer_try(now, outcome, error.unwrap_or_default());
        match (result, refusal) {
            (Ok(response), None) => {
                let reply = self.peer_reply(peer, response, reason);
                return Some(self.take_peer_reply(reply, send));
            }
            (Ok(_), Some(refusal)) => {
                self.refused_sends = self.refused_sends.saturating_add(refusal.sends);
                if !refusal.may_have_run {
                    send.prove_not_run(&mut self.sends);
                }
            }
            (Err(SendError::NotSent(_)), _) => send.prove_not_run(&mut self.sends),
            (Err(SendError::Closed(_) | SendError::Lost(_) | SendError::NoMemory), _) => {}
        }
        if let Some(reply) = self.refuse_second_run() {
            return Some(reply);
        }
        let mut tables = self.shared.tables();
        tables.peers.record_failed(&peer.front, clock::now());
        None
    }

    /// Returns the refusal that the reply of a peer counts as if it rests on what that peer knows, and
    /// nothing shows that it knows as much as this front: it has sent the request to no server.
    fn distrust(&self, response: &ServerResponse) -> Option<PeerRefusal> {
        let metadata = self
            .header_codec
            .parse_response(response.status, &response.headers);
        let is_of_server = metadata.request.as_ref() == Some(&self.request.id);
        let is_decision = !is_of_server
            && !promises_not_run(response.status)
            && response.status.is_client_error();
        let is_current = response.headers.contains_key(CHANGES);
        (is_decision && !is_current).then_some(PeerRefusal::UNSENT)
    }

    /// Returns the reply to the caller after a peer has replied. That the request has not run holds
    /// for the sends of the peer only.
    fn take_peer_reply(&mut self, reply: Reply, send: UnprovenSend) -> Reply {
        if !promises_not_run(reply.status) {
            return reply;
        }
        send.prove_not_run(&mut self.sends);
        if self.sends.may_have_run() {
            return self.give_up("answer-lost", DEFAULT_RETRY_AFTER);
        }
        reply
    }

    fn choose_peer(&self, tried: &[CompactString], now: Time) -> Result<Option<Peer>, NoHomePeer> {
        let homes = &self.request.matched.route.homes;
        let tables = &mut *self.shared.tables();
        tables
            .peers
            .choose_for(homes, &self.place(), tried, now, &mut tables.rng)
    }

    /// Returns where this front is.
    pub(super) fn place(&self) -> Place<'_> {
        Place {
            data_centre: &self.shared.cfg.data_centre,
            regions: &self.shared.cfg.regions,
        }
    }

    async fn send_to_peer(&mut self, peer: &Peer, now: Time) -> Result<ServerResponse, SendError> {
        let sends = self.sends_to_servers();
        self.tries.push(TryRecord {
            server: peer.front.clone(),
            at_ms: millis(now.since(self.request.received)),
            expected_ms: 0,
            load_tenths: 0,
            fence: None,
            outcome: "unanswered".into(),
            error: CompactString::default(),
            took_ms: 0,
        });
        let id = peer_id(peer)?;
        let mut req = Request::new(Full::new(self.request.body.clone()));
        *req.method_mut() = self.request.method.clone();
        *req.uri_mut() = self.request.uri.clone();
        *req.headers_mut() = self.request.headers.clone();
        let metadata = SendMetadata {
            server: &id,
            timeout: self.request.deadline.since(now),
        };
        self.header_codec
            .write_request(req.headers_mut(), &metadata);
        req.headers_mut().insert(FORWARDED, self.mark());
        req.headers_mut().insert(SENDS, HeaderValue::from(sends));
        let changes = self.shared.known.borrow().latest_changes().to_string();
        if let Ok(changes) = HeaderValue::try_from(changes) {
            req.headers_mut().insert(CHANGES, changes);
        }
        if self.request.is_counted {
            let counted = HeaderValue::from_static("1");
            req.headers_mut().insert(COUNTED, counted);
        }
        let reuse = match self.request.matched.route.repeat {
            Repeat::Idempotent => Reuse::Allowed,
            Repeat::AtMostOnce => Reuse::Fresh,
        };
        let to = Destination {
            id: &id,
            address: peer.address,
        };
        let _outstanding = OutstandingRequest::begin(self.shared, &peer.front);
        self.peers.send(to, req, reuse, |_result| {}).await
    }

    /// Returns the value of the header that marks the request. Without a key, older builds still
    /// recognize it by the name of the header.
    fn mark(&self) -> HeaderValue {
        let front = &self.shared.cfg.front;
        let tables = self.shared.tables();
        let signed = tables.peer_keys.sign_request(front, &self.request.id);
        signed
            .and_then(|value| HeaderValue::try_from(value).ok())
            .unwrap_or(HeaderValue::from_static("1"))
    }

    fn end_peer_try(&mut self, started: Time, outcome: &'static str, error: CompactString) {
        let took = clock::now().since(started);
        self.shared.metrics.record_try(outcome, took);
        if let Some(record) = self.tries.last_mut() {
            record.outcome = outcome.into();
            record.error = error;
            record.took_ms = millis(took);
        }
    }

    /// Returns what the peer replied, whether it is the response of a server or of its own.
    fn peer_reply(&self, peer: &Peer, response: ServerResponse, reason: &'static str) -> Reply {
        let mut headers = response.headers.clone();
        headers.remove(CHANGES);
        let reply = Reply {
            status: response.status,
            headers,
            body: response.body.clone(),
            reason,
            retry_after: None,
        };
        if let Ok(id) = peer_id(peer) {
            let keep_alive = Some(KEEP_ALIVE);
            self.peers
                .keep_idle(&id, response, keep_alive, MAX_IDLE_CONNECTIONS);
        }
        reply
    }
}

/// A request that was passed on to a peer and has not ended.
struct OutstandingRequest<'a> {
    shared: &'a Shared,
    front: &'a str,
}

impl<'a> OutstandingRequest<'a> {
    fn begin(shared: &'a Shared, front: &'a str) -> Self {
        shared.tables().peers.record_sent(front);
        Self { shared, front }
    }
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        self.shared.tables().peers.record_ended(self.front);
    }
}

/// Returns what the front says that has passed the request on, if the headers prove that one has.
pub(crate) fn parse_forwarded(shared: &Shared, headers: &HeaderMap, id: &str) -> Option<Forwarded> {
    let value = headers.get(FORWARDED)?.to_str().unwrap_or_default();
    let is_proven = shared
        .tables()
        .peer_keys
        .verify_request(value, id)
        .is_some();
    if !is_proven {
        let unproven = &shared.metrics.unproven;
        unproven.with_label_values(&["request"]).inc();
        return None;
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let sends = text(SENDS);
    Some(Forwarded {
        sends: sends.and_then(|sends| sends.parse().ok()).unwrap_or(0),
        is_counted: headers.contains_key(COUNTED),
        changes: text(CHANGES).and_then(|changes| changes.parse().ok()),
    })
}

/// Returns the id by which connections to a peer are reused.
fn peer_id(peer: &Peer) -> Result<ServerId, SendError> {
    ServerId::try_from(peer.front.as_str())
        .map_err(|err| SendError::NotSent(CompactString::from(err.to_string())))
}
