//! Why a request is not sent, and when it may return.

use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::evacuation;
use carawayrill_core::event::LoadEstimateRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use compact_str::ToCompactString;
use rand::RngExt;

use crate::state::Tables;

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

/// Returns the refusal of a request that only servers in evacuated data centres could serve.
pub(super) fn refuse_evacuated(tables: &mut Tables) -> Refusal {
    let spread = tables.rng.random_range(0.0..=1.0);
    Refusal::new("evacuated", evacuation::retry_after(spread))
}

/// Returns the refusal of a request that no server in its homes can serve. It should return as late
/// as still meets its objective, and not together with others.
pub(super) fn refuse_for_homes(
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
pub(super) fn refuse_limited(
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
pub(super) fn load_estimate(
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
