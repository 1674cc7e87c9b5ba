//! Which server a request goes to next, and whether it may be sent once more.

use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use compact_str::ToCompactString;

use super::DEFAULT_RETRY_AFTER;
use super::Journey;
use crate::clock;
use crate::state::Tables;

/// The time in which an idle server is assumed to answer before any was measured, in milliseconds.
const ASSUMED_IDLE_MS: f64 = 50.0;

/// Where the next send goes.
#[derive(Debug)]
pub(super) enum Next {
    Send(Box<Server>, Option<Fence>),
    WaitForOwner,
    Refuse(Refusal),
}

/// Why a request is sent nowhere.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    /// When there may be room.
    pub(super) after: Duration,
    pub(super) believed: Option<LoadEstimateRecord>,
}

impl Refusal {
    fn new(reason: &'static str, after: Duration) -> Self {
        Self {
            reason,
            after,
            believed: None,
        }
    }
}

impl Journey<'_> {
    /// Chooses where the request goes now.
    pub(super) fn next(&self, now: Time) -> Next {
        let mut tables = self.shared.tables();
        if self.taken.keyed {
            return self.next_owner(&mut tables, now);
        }
        self.next_server(&mut tables, now)
    }

    fn wish(&self, tables: &Tables, now: Time) -> RequestProfile {
        let body = self.taken.body.len() as f64 / 1_024.0;
        RequestProfile {
            objective_left: self.taken.objective.since(now),
            deadline_left: self.taken.deadline.since(now),
            size_kib: body.max(tables.size_kib(&self.taken.matched.route.name)),
        }
    }

    /// Chooses among all servers of the service.
    fn next_server(&self, tables: &mut Tables, now: Time) -> Next {
        let service = &self.taken.matched.service;
        let mean_ms = tables.service_ms(service, now);
        let distance = |to: &_| self.shared.distance(to);
        let mut candidates = tables.candidates(service, distance, mean_ms, now);
        candidates.retain(|candidate| !self.avoid.contains(&candidate.server));
        let wish = self.wish(tables, now);
        let idle_ms = mean_ms.unwrap_or(ASSUMED_IDLE_MS);
        let fronts = tables.fronts.get();
        let refusal = match admission::choose(&candidates, &wish, idle_ms, fronts, &mut tables.rng)
        {
            Choice::Send(id) => match tables.servers.get(&id) {
                Some(server) => return Next::Send(Box::new(server.clone()), None),
                None => Refusal::new("no-server", DEFAULT_RETRY_AFTER),
            },
            Choice::Full(after) => Refusal::new("full", after),
            Choice::NoServer => Refusal::new("no-server", DEFAULT_RETRY_AFTER),
        };
        let limit_ms = admission::limit_ms(&wish, idle_ms);
        Next::Refuse(Refusal {
            believed: believed(tables, &candidates, limit_ms, now),
            ..refusal
        })
    }

    /// Looks the owner of the key up.
    fn next_owner(&self, tables: &mut Tables, now: Time) -> Next {
        let service = &self.taken.matched.service;
        let Some(key) = self.taken.key else {
            return Next::Refuse(Refusal::new("no-key", DEFAULT_RETRY_AFTER));
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
        let leaving = tables.servers.draining_since(&server.id);
        if leaving.is_some_and(|since| now.since(since) > self.shared.cfg.drain) {
            return Next::WaitForOwner;
        }
        // A server that has said that it does not hold the key is not asked again until it is another
        // one, or another grant. Its address may have been given to another service, whose retry
        // budget a second send would use up.
        if self.misdirected == Some((server.address, span.fence)) {
            return Next::WaitForOwner;
        }
        let distance = self.shared.distance(&server.data_centre);
        let mean_ms = tables.service_ms(service, now);
        let candidate = tables.candidate(&server, distance, mean_ms, now);
        let wish = self.wish(tables, now);
        let idle_ms = candidate
            .response_ms
            .min(mean_ms.unwrap_or(ASSUMED_IDLE_MS));
        let fronts = tables.fronts.get();
        let candidates = [candidate];
        let refusal = match admission::choose(&candidates, &wish, idle_ms, fronts, &mut tables.rng)
        {
            Choice::Send(_) => return Next::Send(Box::new(server), Some(span.fence)),
            Choice::Full(after) => Refusal::new("full", after),
            Choice::NoServer => Refusal::new("owner-busy", DEFAULT_RETRY_AFTER),
        };
        let limit_ms = admission::limit_ms(&wish, idle_ms);
        Next::Refuse(Refusal {
            believed: believed(tables, &candidates, limit_ms, now),
            ..refusal
        })
    }

    /// Returns whether one more send is within the route's tries and the shared budget.
    pub(super) fn may_send(&self) -> bool {
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
                .try_acquire(now, fronts)
    }
}

/// Tells what was believed of the servers that were weighed, for the log.
fn believed(
    tables: &Tables,
    candidates: &[Candidate],
    limit_ms: f64,
    now: Time,
) -> Option<LoadEstimateRecord> {
    let first = candidates
        .iter()
        .min_by(|one, other| one.response_ms.total_cmp(&other.response_ms))?;
    let load = tables.loads.get(&first.server)?;
    Some(LoadEstimateRecord {
        servers: candidates.len(),
        usable: candidates.iter().filter(|one| one.usable).count(),
        limit_ms: floor_to_u64(limit_ms),
        server: first.server.to_compact_string(),
        expected_ms: floor_to_u64(first.response_ms),
        load_tenths: floor_to_u64(load.expected_total(now) * 10.0),
        age_ms: load.report_age(now).map(millis),
    })
}
