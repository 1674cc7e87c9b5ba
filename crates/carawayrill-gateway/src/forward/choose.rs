//! Chooses the server for the next send.

use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::egress::choice::Scope;
use carawayrill_core::direct::evacuation::Evacuations;
use carawayrill_core::direct::homes::room;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::priority::classes::Class;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::direct::priority::waiting::may_wait;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::time::Time;

use super::DEFAULT_RETRY_AFTER;
use super::Forwarder;
use super::refusal::Refusal;
use super::refusal::load_estimate;
use super::refusal::refuse_evacuated;
use super::refusal::refuse_for_homes;
use super::refusal::refuse_limited;
use super::wait::next_usable;
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
}
