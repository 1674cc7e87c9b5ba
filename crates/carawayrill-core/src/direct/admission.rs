//! Admission control and server selection for one request.
//!
//! It is designed for overload: more requests than the servers can answer within the objective. A
//! request that no server is expected to answer in time is refused at once with a retry-after time.
//! Queueing it would only delay the requests behind it.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::direct::priority::reserve::Reserve;
use crate::id::ServerId;

/// The fraction of the remaining objective within which a response has to be expected.
const OBJECTIVE_SHARE: f64 = 0.95;
/// The fraction of the remaining deadline within which a response has to be expected.
const DEADLINE_SHARE: f64 = 0.7;
/// The maximum number of requests per slot of a server. A longer queue makes no response faster,
/// and the server's own queue is bounded: a request beyond its bound may never be answered.
pub(crate) const MAX_SERVICE_ROUNDS: f64 = 3.0;
/// The network round trip to another data centre of the same region, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: f64 = 1.0;
/// The network round trip to another region, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 17.0;
/// The cost of each KiB to or from another data centre of the same region, as milliseconds of
/// response time.
const SAME_REGION_COST_PER_KIB_MS: f64 = 1.5;
/// The cost of each KiB to or from another region, as milliseconds of response time.
pub(crate) const OTHER_REGION_COST_PER_KIB_MS: f64 = 16.0;
/// The number of servers that all fronts together sample at each distance.
const TOTAL_SAMPLES: u32 = 66;
/// The least number of servers that one front samples at each distance.
const MIN_SAMPLES: usize = 2;
/// The number of service times before its objective at which a request that its owner could not
/// serve has to be back.
const OWNER_RETRY_SERVICE_TIMES: f64 = 1.5;
/// The earliest time at which such a request returns, as a share of the latest.
const OWNER_RETRY_MIN_SHARE: f64 = 0.5;
/// The shortest retry-after time of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// The longest retry-after time of a refusal, in milliseconds.
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// The network distance between a front and a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    SameDataCentre,
    /// Another data centre of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Returns the network round trip, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::SameDataCentre => 0.4,
            Self::SameRegion => SAME_REGION_ROUND_TRIP_MS,
            Self::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
        }
    }

    /// Returns the cost of transferring `size_kib`, as milliseconds of response time.
    fn byte_cost_ms(self, size_kib: f64) -> f64 {
        match self {
            Self::SameDataCentre => 0.0,
            Self::SameRegion => SAME_REGION_COST_PER_KIB_MS * size_kib,
            Self::OtherRegion => OTHER_REGION_COST_PER_KIB_MS * size_kib,
        }
    }
}

/// A server that could serve the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its distance from this front.
    pub distance: Distance,
    /// The expected response time, in milliseconds, without the network round trip.
    pub response_ms: f64,
    /// The expected number of requests per slot of the server, including this one; the response
    /// takes about as many service times.
    pub service_rounds: f64,
    /// The expected number of requests at the server, without this one.
    pub requests_ahead: f64,
    /// The number of requests that the server can run concurrently.
    pub slots: u32,
    /// The cost of its failure rate, as additional response time in milliseconds.
    pub failure_cost_ms: f64,
    /// Whether it may be used now: it is not in backoff, and this front is below its share of the
    /// server's connections.
    pub usable: bool,
}

/// The properties of a request that the choice of a server depends on.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// The time left until the response time objective; zero if it has passed.
    pub objective_left: Duration,
    /// The time left until the deadline, after which the response is useless.
    pub deadline_left: Duration,
    /// The expected size of request and response together, in KiB.
    pub size_kib: f64,
}

/// The decision on one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send the request to this server.
    Send(ServerId),
    /// Refuse the request: no server is expected to answer in time. It may be retried after this
    /// time.
    Full(Duration),
    /// Refuse the request: all servers that are expected to answer it in time are reserved for more
    /// urgent requests. It may be retried after this time.
    Reserved(Duration),
    /// Refuse the request: there is no server, or none may be used now.
    NoServer,
}

/// Returns the longest acceptable expected response time, in milliseconds. `idle_ms` is the
/// response time of an idle server.
#[must_use]
pub fn limit_ms(profile: &RequestProfile, idle_ms: f64) -> f64 {
    let objective = as_ms(profile.objective_left) * OBJECTIVE_SHARE;
    let deadline = as_ms(profile.deadline_left) * DEADLINE_SHARE;
    // If even an idle server can't meet the objective, only the deadline applies.
    if objective < idle_ms {
        deadline
    } else {
        objective.min(deadline)
    }
}

fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// A candidate that is expected to answer in time, with its cost in milliseconds.
#[derive(Debug, Clone, Copy)]
struct EligibleCandidate<'a> {
    candidate: &'a Candidate,
    cost: f64,
}

/// Chooses a server among `candidates`, or refuses the request. `idle_ms` is the response time of
/// an idle server.
///
/// At each distance, it samples some servers with a probability proportional to their speed and
/// takes the cheapest of the sample; the cheapest over all distances is chosen. The more fronts
/// there are, the less each knows of the others' requests, and the smaller the sample: otherwise
/// all fronts would choose the same server.
pub fn choose(
    candidates: &[Candidate],
    profile: &RequestProfile,
    idle_ms: f64,
    fronts: u32,
    rng: &mut impl Rng,
) -> Choice {
    choose_with_reserve(
        candidates,
        profile,
        &Reserve::default(),
        idle_ms,
        fronts,
        rng,
    )
}

/// Chooses a server like [`choose`] for a request of a service that more urgent requests use too.
pub fn choose_with_reserve(
    candidates: &[Candidate],
    profile: &RequestProfile,
    reserve: &Reserve,
    idle_ms: f64,
    fronts: u32,
    rng: &mut impl Rng,
) -> Choice {
    let samples = usize::try_from(TOTAL_SAMPLES / fronts.max(1)).unwrap_or(usize::MAX);
    let samples = samples.max(MIN_SAMPLES);
    let limit = limit_ms(profile, idle_ms);
    let mut earliest = f64::INFINITY;
    let mut is_reserved = false;
    let mut eligible_candidates: Vec<EligibleCandidate<'_>> = Vec::with_capacity(candidates.len());
    for candidate in candidates.iter().filter(|candidate| candidate.usable) {
        let expected_ms = candidate.response_ms + candidate.distance.round_trip_ms();
        earliest = earliest.min(expected_ms);
        if expected_ms <= limit && candidate.service_rounds <= MAX_SERVICE_ROUNDS {
            if !reserve.allows(candidate) {
                is_reserved = true;
                continue;
            }
            let bytes = candidate.distance.byte_cost_ms(profile.size_kib);
            eligible_candidates.push(EligibleCandidate {
                candidate,
                cost: expected_ms + candidate.failure_cost_ms + bytes,
            });
        }
    }
    let distances = [
        Distance::SameDataCentre,
        Distance::SameRegion,
        Distance::OtherRegion,
    ];
    let cheapest = distances
        .into_iter()
        .filter_map(|distance| best_of_sample(&eligible_candidates, distance, samples, rng))
        .min_by(|one, other| one.cost.total_cmp(&other.cost));
    if let Some(eligible) = cheapest {
        return Choice::Send(eligible.candidate.server.clone());
    }
    if is_reserved {
        return Choice::Reserved(reserve.retry_after(idle_ms, rng));
    }
    if earliest.is_infinite() {
        return Choice::NoServer;
    }
    Choice::Full(retry_after(earliest - limit, idle_ms, rng))
}

/// Samples servers at a distance, weighted by speed, and returns the cheapest of the sample.
fn best_of_sample<'a>(
    eligible_candidates: &[EligibleCandidate<'a>],
    distance: Distance,
    max_samples: usize,
    rng: &mut impl Rng,
) -> Option<EligibleCandidate<'a>> {
    let at_distance = eligible_candidates
        .iter()
        .filter(|eligible| eligible.candidate.distance == distance);
    // Weighted sampling without replacement: of exponential variates, each is the smallest with a
    // probability proportional to its rate, here the speed of the server.
    let mut ranked: Vec<(f64, &EligibleCandidate<'a>)> = at_distance
        .map(|eligible| {
            let service_ms = eligible.candidate.response_ms / eligible.candidate.service_rounds;
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            (-uniform.ln() * service_ms, eligible)
        })
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let sample = ranked
        .into_iter()
        .take(max_samples)
        .map(|(_, eligible)| *eligible);
    sample.min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// Returns the retry-after time of a request whose only possible server, the owner of its key, is
/// overloaded. `busy` is the time until the owner accepts requests, as far as is known.
///
/// A moment later the owner is still overloaded: it takes the granter about a second to move keys
/// off it. The request should return as late as still meets its objective, and not together with
/// others.
pub fn owner_retry_after(
    profile: &RequestProfile,
    idle_ms: f64,
    busy: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let latest = as_ms(profile.objective_left) - OWNER_RETRY_SERVICE_TIMES * idle_ms;
    let wait = latest * rng.random_range(OWNER_RETRY_MIN_SHARE..=1.0);
    let wait = wait
        .max(as_ms(busy))
        .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Duration::from_secs_f64(wait / 1_000.0)
}

/// Returns the retry-after time of a refused request: the time until the backlog above the limit is
/// processed, plus a jitter of up to one service time so that refused requests do not all return at
/// once.
fn retry_after(excess_ms: f64, idle_ms: f64, rng: &mut impl Rng) -> Duration {
    let spread = rng.random_range(0.0..=idle_ms.max(1.0));
    let wait = (excess_ms + spread).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Duration::from_secs_f64(wait / 1_000.0)
}
