//! Chooses the server for the next send, and decides whether a retry is allowed.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::egress::choice::Scope;
use carawayrill_core::direct::evacuation;
use carawayrill_core::direct::evacuation::Evacuations;
use carawayrill_core::direct::homes::room;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::priority::classes::Class;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::direct::priority::waiting::may_wait;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::event::RetryRecord;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use compact_str::ToCompactString;
use rand::RngExt;

use super::DEFAULT_RETRY_AFTER;
use super::Forwarder;
use super::peer::PEER_CUT_OFF;
use super::send::NOT_SENT;
use super::wait::next_usable;
use crate::clock;
use crate::state::Tables;

/// The assumed response time of an idle server before any was measured, in milliseconds.
const ASSUMED_IDLE_MS: f64 = 50.0;
/// The reason of a refusal because no server in the homes of the route may be used.
const NO_HOME_SERVER: &str = "no-home-server";
/// The reason of a refusal because the owner of the key is outside of the homes of the route.
const OWNER_OUTSIDE_HOMES: &str = "owner-outside-homes";

/// The next step of a request.
#[derive(Debug)]
pub(super) enum NextStep {
    Send(Box<Server>, Option<Fence>),
    WaitForOwner,
    /// Wait in the queue of the service, or refuse the request if it has no room.
    WaitForRoom(Refusal, Waiter),
    Refuse(Refusal),
}

impl NextStep {
    /// Returns whether the request is not sent because this front has not reached its servers.
    pub(super) fn is_unreached(&self) -> bool {
        match self {
            Self::Refuse(refusal) | Self::WaitForRoom(refusal, _) => refusal.is_unreached,
            Self::Send(..) | Self::WaitForOwner => false,
        }
    }
}

/// The decision on one more send of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDecision {
    Sent,
    /// The route allows no further server or send.
    RouteLimit,
    /// Servers have declined the request too often.
    Declines,
    /// This front's share of the retry budget is used up.
    Budget,
}

impl RetryDecision {
    /// Returns the name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::RouteLimit => "route-limit",
            Self::Declines => "declines",
            Self::Budget => "budget",
        }
    }
}

/// The reason why a request is not sent.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    /// The time after which a server may have capacity again.
    pub(super) retry_after: Duration,
    pub(super) load_estimate: Option<LoadEstimateRecord>,
    /// Whether this front has not reached servers that the request could be sent to.
    pub(super) is_unreached: bool,
}

impl Refusal {
    pub(super) fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            load_estimate: None,
            is_unreached: false,
        }
    }
}

impl Forwarder<'_> {
    /// Chooses the next step.
    pub(super) fn choose_next(&self, now: Time) -> NextStep {
        let mut tables = self.shared.tables();
        if !tables.evacuations.is_read() {
            return NextStep::Refuse(Refusal::new("no-evacuations", DEFAULT_RETRY_AFTER));
        }
        if !self.request.matched.has_home_server {
            let profile = self.request_profile(&tables, now);
            let refusal = refuse_for_homes(&mut tables, NO_HOME_SERVER, &profile, ASSUMED_IDLE_MS);
            return NextStep::Refuse(refusal);
        }
        if self.request.keyed {
            return self.next_owner(&mut tables, now);
        }
        self.next_server(&mut tables, now)
    }

    fn request_profile(&self, tables: &Tables, now: Time) -> RequestProfile {
        let body = self.request.body.len() as f64 / 1_024.0;
        RequestProfile {
            objective_left: self.request.objective.since(now),
            deadline_left: self.request.deadline.since(now),
            size_kib: body.max(tables.size_kib(&self.request.matched.route.name)),
        }
    }

    /// Returns whether the request may be sent to servers in a data centre.
    fn may_send_to(&self, data_centre: &DataCentreId, evacuations: &Evacuations) -> bool {
        self.is_home(data_centre) && evacuations.allows(data_centre)
    }

    /// Returns whether a data centre is in the homes of the request's route.
    fn is_home(&self, data_centre: &DataCentreId) -> bool {
        let region = self.shared.cfg.regions.get(data_centre);
        self.request.matched.route.homes.allows(region)
    }

    /// Returns whether the service has servers for the request, but only in evacuated data centres.
    fn is_evacuated(&self, tables: &Tables) -> bool {
        let ready = tables.servers.ready_servers(&self.request.matched.service);
        let mut homes = ready
            .map(|server| &server.data_centre)
            .filter(|data_centre| self.is_home(data_centre))
            .peekable();
        homes.peek().is_some() && homes.all(|home| tables.evacuations.contains(home))
    }

    /// Chooses among the candidates. A request of a route without homes leaves room on servers in
    /// the homes of other routes to the service.
    pub(super) fn choose_candidate(
        &self,
        tables: &mut Tables,
        candidates: &[Candidate],
        profile: &RequestProfile,
        reserve: &Reserve,
        idle_ms: f64,
        scope: Scope,
    ) -> Choice {
        let matched = &self.request.matched;
        let fronts = tables.fronts.get();
        let Tables {
            homes,
            servers,
            rng,
            ..
        } = tables;
        if matched.route.homes.is_restricted() || !homes.is_restricted(&matched.service) {
            return admission::choose_with_reserve(
                candidates, profile, reserve, idle_ms, fronts, rng,
            );
        }
        let is_reserved = |candidate: &Candidate| {
            let server = servers.get(&candidate.server);
            server.is_some_and(|one| homes.is_reserved(&matched.service, &one.data_centre))
        };
        if scope == Scope::Preferred {
            let (roomy, _) = room::partition(candidates, is_reserved, profile, idle_ms);
            return admission::choose_with_reserve(&roomy, profile, reserve, idle_ms, fronts, rng);
        }
        let chosen = room::choose(
            candidates,
            is_reserved,
            profile,
            reserve,
            idle_ms,
            fronts,
            rng,
        );
        if chosen.left_room {
            self.shared.metrics.left_home_room.inc();
        }
        chosen.choice
    }

    /// Returns what is reserved for requests that are more urgent than `priority`.
    pub(super) fn reserve(&self, tables: &Tables, priority: u32) -> Reserve {
        let classes = tables.shared_classes(&self.request.matched.service);
        let route = &self.request.matched.route;
        let own = classes
            .iter()
            .find(|class| class.priority == route.priority);
        let Some(own) = own else {
            return Reserve::default();
        };
        let more_urgent: Vec<Class> = classes
            .iter()
            .filter(|urgent| urgent.priority < priority && own.gives_way_to(urgent))
            .copied()
            .collect();
        Reserve::new(&more_urgent)
    }

    /// Returns the response time of an idle server of the service, in milliseconds.
    pub(super) fn idle_ms(&self, tables: &Tables, now: Time) -> f64 {
        let service = &self.request.matched.service;
        let mean_ms = tables.mean_service_ms(service, now);
        mean_ms.unwrap_or(ASSUMED_IDLE_MS)
    }

    /// Chooses among all servers of the service.
    fn next_server(&self, tables: &mut Tables, now: Time) -> NextStep {
        let service = &self.request.matched.service;
        if !tables.evacuations.is_empty() && self.is_evacuated(tables) {
            return NextStep::Refuse(refuse_evacuated(tables));
        }
        let mean_ms = tables.mean_service_ms(service, now);
        let evacuations = tables.evacuations.clone();
        let is_allowed = |to: &_| self.may_send_to(to, &evacuations);
        let distance = |to: &_| self.shared.distance(to);
        let mut candidates = tables.candidates(service, is_allowed, distance, mean_ms, now);
        candidates.retain(|candidate| !self.excluded.contains(&candidate.server));
        let may_use_others = self.servers_tried() < self.max_servers();
        self.declines.restrict(&mut candidates, may_use_others);
        let request_profile = self.request_profile(tables, now);
        let idle_ms = mean_ms.unwrap_or(ASSUMED_IDLE_MS);
        let choice = self.choose_server(tables, &candidates, &request_profile, idle_ms, now);
        let refusal = match &choice {
            Choice::Send(id) => match tables.servers.get(id) {
                Some(server) => return NextStep::Send(Box::new(server.clone()), None),
                None => Refusal::new("no-server", DEFAULT_RETRY_AFTER),
            },
            Choice::Full(after) => Refusal::new("full", *after),
            Choice::Reserved(after) => Refusal::new("reserved", *after),
            Choice::NoServer => {
                match refuse_limited(tables, &candidates, &request_profile, idle_ms, now) {
                    Some(refusal) => refusal,
                    None if self.request.matched.route.homes.is_restricted() => {
                        refuse_for_homes(tables, NO_HOME_SERVER, &request_profile, idle_ms)
                    }
                    None => Refusal::new("no-server", DEFAULT_RETRY_AFTER),
                }
            }
        };
        let limit_ms = admission::limit_ms(&request_profile, idle_ms);
        let estimate = load_estimate(tables, &candidates, limit_ms, now);
        let refusal = Refusal {
            is_unreached: self.is_unreached(&choice, estimate.as_ref()),
            load_estimate: estimate,
            ..refusal
        };
        let waiter = self.waiter(idle_ms);
        let reserve = self.reserve(tables, waiter.priority);
        let usable_after = next_usable(tables, &candidates, now);
        let time_left = waiter.send_by.since(now);
        if self.may_queue(tables) && may_wait(&choice, &reserve, usable_after, time_left) {
            return NextStep::WaitForRoom(refusal, waiter);
        }
        NextStep::Refuse(refusal)
    }

    /// Chooses among candidates, with regard to what is reserved for more urgent requests. A request
    /// that has gained urgency by waiting may use the part of the reserve that no class is denied.
    fn choose_server(
        &self,
        tables: &mut Tables,
        candidates: &[Candidate],
        profile: &RequestProfile,
        idle_ms: f64,
        now: Time,
    ) -> Choice {
        let service = &self.request.matched.service;
        let priority = self.request.matched.route.priority;
        let waiting = &self.shared.waiting;
        let reserve = self.reserve(tables, priority);
        let choice = self.choose_with_egress(tables, candidates, profile, &reserve, idle_ms, now);
        if reserve.is_empty() && matches!(choice, Choice::Send(_)) {
            if !tables.shared_classes(service).is_empty() {
                waiting.record_urgent_sent(service);
            }
            return choice;
        }
        let gained = self.waiter(idle_ms).priority_at(now);
        let is_reserved = matches!(choice, Choice::Reserved(_));
        if !is_reserved || gained >= priority || !waiting.has_floor_credit(service) {
            return choice;
        }
        let reserve = self.reserve(tables, gained);
        let gained_choice =
            self.choose_with_egress(tables, candidates, profile, &reserve, idle_ms, now);
        if matches!(gained_choice, Choice::Send(_)) {
            waiting.use_floor_credit(service);
        }
        gained_choice
    }

    /// Chooses the owner of the key.
    fn next_owner(&self, tables: &mut Tables, now: Time) -> NextStep {
        let service = &self.request.matched.service;
        let Some(key) = self.request.key else {
            return NextStep::Refuse(Refusal::new("no-key", DEFAULT_RETRY_AFTER));
        };
        let span = tables
            .spans
            .get(service)
            .and_then(|table| table.find(key))
            .cloned();
        let Some(span) = span.filter(|span| !span.moving) else {
            return NextStep::WaitForOwner;
        };
        let Some(server) = tables.servers.get(&span.server).cloned() else {
            return NextStep::WaitForOwner;
        };
        if !self.is_home(&server.data_centre) {
            let profile = self.request_profile(tables, now);
            let refusal = refuse_for_homes(tables, OWNER_OUTSIDE_HOMES, &profile, ASSUMED_IDLE_MS);
            return NextStep::Refuse(refusal);
        }
        let draining = tables.servers.draining_since(&server.id);
        if draining.is_some_and(|since| now.since(since) > self.shared.cfg.drain) {
            return NextStep::WaitForOwner;
        }
        // A server that rejected the key is not asked again under the same address and fence. The
        // address may have been reassigned to another service, and a second send would use up that
        // service's retry budget.
        if self.misdirected_at == Some((server.address, span.fence)) {
            return NextStep::WaitForOwner;
        }
        if !tables.evacuations.allows_owner(&server.data_centre, now) {
            return NextStep::Refuse(refuse_evacuated(tables));
        }
        let distance = self.shared.distance(&server.data_centre);
        let mean_ms = tables.mean_service_ms(service, now);
        let candidate = tables.candidate(&server, distance, mean_ms, now);
        let request_profile = self.request_profile(tables, now);
        let idle_ms = candidate
            .response_ms
            .min(mean_ms.unwrap_or(ASSUMED_IDLE_MS));
        let fronts = tables.fronts.get();
        let candidates = [candidate];
        let limited = tables.limits.wait(&server.id, now);
        if !limited.is_zero() {
            tables.limits.record_refused(&server.id);
        }
        let busy = tables.loads.get(&server.id).map_or(Duration::ZERO, |load| {
            load.paused_until().max(load.backoff_until()).since(now)
        });
        let busy = busy.max(limited);
        let reserve = self.reserve(tables, self.request.matched.route.priority);
        let choice = admission::choose_with_reserve(
            &candidates,
            &request_profile,
            &reserve,
            idle_ms,
            fronts,
            &mut tables.rng,
        );
        let (reason, busy) = match choice {
            Choice::Send(_) => return NextStep::Send(Box::new(server), Some(span.fence)),
            Choice::Full(after) => ("full", after),
            Choice::Reserved(after) => ("reserved", after),
            Choice::NoServer if !limited.is_zero() => ("owner-limited", busy),
            Choice::NoServer => ("owner-busy", busy),
        };
        let after = admission::owner_retry_after(&request_profile, idle_ms, busy, &mut tables.rng);
        let refusal = Refusal::new(reason, after);
        let limit_ms = admission::limit_ms(&request_profile, idle_ms);
        let estimate = load_estimate(tables, &candidates, limit_ms, now);
        NextStep::Refuse(Refusal {
            is_unreached: self.is_unreached(&choice, estimate.as_ref()),
            load_estimate: estimate,
            ..refusal
        })
    }

    /// Returns whether `choice` found no server because this front has not reached some, with this
    /// request or before.
    ///
    /// Servers that it reaches may be full because they get the requests of those it does not. If these
    /// are the fewer, others may have room. A few that have crashed leave most servers in use, and
    /// requests that are too many for these are not passed on.
    fn is_unreached(&self, choice: &Choice, estimate: Option<&LoadEstimateRecord>) -> bool {
        let (unreached, usable) =
            estimate.map_or((0, 0), |estimate| (estimate.unreached, estimate.usable));
        match choice {
            Choice::Send(_) => false,
            Choice::NoServer => self.unsent_tries > 0 || unreached > 0,
            Choice::Full(_) | Choice::Reserved(_) => unreached > 0 && unreached >= usable,
        }
    }

    /// Returns the maximum number of servers to which the request may be sent.
    fn max_servers(&self) -> usize {
        usize::try_from(self.request.matched.route.max_tries).unwrap_or(usize::MAX)
    }

    /// Returns the sends of this front after which a server may have received the request. Those of a
    /// front that has refused it are in `refused_sends`.
    fn arrivals(&self) -> impl Iterator<Item = &TryRecord> {
        self.tries
            .iter()
            .filter(|one| one.outcome != NOT_SENT && one.outcome != PEER_CUT_OFF)
    }

    /// Returns the number of servers to which the request has been sent.
    fn servers_tried(&self) -> usize {
        let servers: BTreeSet<&str> = self.arrivals().map(|one| one.server.as_str()).collect();
        self.sends_of_others() as usize + servers.len()
    }

    /// Returns the number of sends after which a server may have received the request, by all fronts.
    pub(super) fn sends_to_servers(&self) -> u32 {
        self.sends_of_others().saturating_add(self.own_sends())
    }

    /// Returns the number of such sends since the request was received by this front.
    pub(super) fn sends_since_received(&self) -> u32 {
        self.own_sends().saturating_add(self.refused_sends)
    }

    fn own_sends(&self) -> u32 {
        u32::try_from(self.arrivals().count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of such sends before the request was passed on to this front, and by fronts
    /// that have refused it.
    fn sends_of_others(&self) -> u32 {
        let forwarded = self.request.forwarded;
        let earlier = forwarded.map_or(0, |forwarded| forwarded.sends);
        earlier.saturating_add(self.refused_sends)
    }

    /// Returns whether a server may have received the request from this front.
    pub(super) fn was_sent_to(&self, server: &ServerId) -> bool {
        let mut sent = self.tries.iter().filter(|one| one.outcome != NOT_SENT);
        sent.any(|one| one.server == server.as_str())
    }

    /// Returns whether one more send, to `server`, is within the route's limit of servers and the
    /// retry budget. A retry is charged to the budget. Sends that servers have declined don't count
    /// as long as no further server is involved.
    pub(super) fn try_acquire_send(&mut self, server: &ServerId) -> bool {
        let sent = self.sends_to_servers() as usize;
        if sent == 0 {
            return true;
        }
        let decision = self.decide_retry(sent, server);
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[decision.label()]).inc();
        decision == RetryDecision::Sent
    }

    /// Decides on one more send after `sent` sends, and records the decision.
    fn decide_retry(&mut self, sent: usize, server: &ServerId) -> RetryDecision {
        let counted = sent.saturating_sub(self.declines.count());
        let is_within_servers =
            self.was_sent_to(server) || self.servers_tried() < self.max_servers();
        let now = clock::now();
        let mut tables = self.shared.tables();
        let fronts = tables.fronts.sharing(now);
        let budget = tables.budget(&self.request.matched.service, &self.shared.cfg);
        let usage = budget.usage(now, fronts);
        let decision = if counted >= self.max_servers() || !is_within_servers {
            RetryDecision::RouteLimit
        } else if !self.declines.may_repeat() {
            RetryDecision::Declines
        } else if budget.try_acquire(now, fronts) {
            RetryDecision::Sent
        } else {
            RetryDecision::Budget
        };
        self.retry = Some(RetryRecord {
            decision: decision.label().into(),
            requests: usage.requests,
            retries: usage.retries,
            allowed_tenths: floor_to_u64(usage.allowed * 10.0),
            fronts,
        });
        decision
    }
}

/// Returns the refusal of a request that only servers in evacuated data centres could serve.
fn refuse_evacuated(tables: &mut Tables) -> Refusal {
    let spread = tables.rng.random_range(0.0..=1.0);
    Refusal::new("evacuated", evacuation::retry_after(spread))
}

/// Returns the refusal of a request that no server in its homes can serve. It should return as late
/// as still meets its objective, and not together with others.
fn refuse_for_homes(
    tables: &mut Tables,
    reason: &'static str,
    profile: &RequestProfile,
    idle_ms: f64,
) -> Refusal {
    let rng = &mut tables.rng;
    let after = admission::owner_retry_after(profile, idle_ms, Duration::ZERO, rng);
    Refusal::new(reason, after)
}

/// Returns the refusal of a request for which only the limits of servers leave none.
fn refuse_limited(
    tables: &mut Tables,
    candidates: &[Candidate],
    profile: &RequestProfile,
    idle_ms: f64,
    now: Time,
) -> Option<Refusal> {
    let limits = &tables.limits;
    let waits = candidates
        .iter()
        .map(|candidate| (&candidate.server, limits.wait(&candidate.server, now)))
        .filter(|(_, wait)| !wait.is_zero());
    let (server, wait) = waits.min_by_key(|(_, wait)| *wait)?;
    tables.limits.record_refused(server);
    let after = admission::owner_retry_after(profile, idle_ms, wait, &mut tables.rng);
    Some(Refusal::new("limited", after))
}

/// Returns the load estimates of the candidates, for the log.
fn load_estimate(
    tables: &Tables,
    candidates: &[Candidate],
    limit_ms: f64,
    now: Time,
) -> Option<LoadEstimateRecord> {
    let first = candidates
        .iter()
        .min_by(|one, other| one.response_ms.total_cmp(&other.response_ms))?;
    let load = tables.loads.get(&first.server)?;
    let unreached = candidates
        .iter()
        .filter_map(|one| tables.loads.get(&one.server))
        .filter(|load| load.is_unreached());
    Some(LoadEstimateRecord {
        servers: candidates.len(),
        usable: candidates.iter().filter(|one| one.usable).count(),
        unreached: unreached.count(),
        limit_ms: floor_to_u64(limit_ms),
        server: first.server.to_compact_string(),
        expected_ms: floor_to_u64(first.response_ms),
        load_tenths: floor_to_u64(load.expected_total(now) * 10.0),
        age_ms: load.report_age(now).map(millis),
    })
}
