//! Which server takes a request, or why none does.
//!
//! Load answered: more requests than the servers can answer within their objective. A request that
//! no server is expected to answer in time is refused at once, and told when there will be room;
//! queueing it would only make the next one late as well.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::id::ServerId;

/// The share of the objective within which an answer has to be expected.
const OBJECTIVE_SHARE: f64 = 0.95;
/// The share of the time limit within which a late answer has to be expected.
const DEADLINE_SHARE: f64 = 0.7;
/// How often all slots of a server may have to be used before a request is answered. A longer
/// queue serves nobody sooner, and the server's own is bounded: what does not fit there may never
/// be answered.
const MAX_SERVICE_ROUNDS: f64 = 3.0;
/// The way to another data centre of the region and back, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: f64 = 1.0;
/// The way to another region and back, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 17.0;
/// What each KiB to or from another data centre is worth in waiting time, in milliseconds.
const SAME_REGION_COST_PER_KIB_MS: f64 = 1.5;
/// What each KiB to or from another region is worth in waiting time, in milliseconds.
const OTHER_REGION_COST_PER_KIB_MS: f64 = 8.0;
/// The servers that all fronts together draw at each distance.
const TOTAL_SAMPLES: u32 = 66;
/// The fewest servers that one front draws at each distance.
const MIN_SAMPLES: usize = 2;
/// The shortest time to come back that a refusal names.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// The longest time to come back that a refusal names.
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// How far a server is from the front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the way there and back, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::SameDataCentre => 0.4,
            Self::SameRegion => SAME_REGION_ROUND_TRIP_MS,
            Self::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
        }
    }

    /// Returns the price of moving `size_kib` there or back, as waiting time in milliseconds.
    fn byte_cost_ms(self, size_kib: f64) -> f64 {
        match self {
            Self::SameDataCentre => 0.0,
            Self::SameRegion => SAME_REGION_COST_PER_KIB_MS * size_kib,
            Self::OtherRegion => OTHER_REGION_COST_PER_KIB_MS * size_kib,
        }
    }
}

/// A server that could take the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// How far it is.
    pub distance: Distance,
    /// When it is expected to answer, in milliseconds, without the way there.
    pub response_ms: f64,
    /// How often all its slots have to be used before the answer.
    pub service_rounds: f64,
    /// What its failures add to its cost, in milliseconds.
    pub failure_cost_ms: f64,
    /// Whether it may be used now: below its share of connections and not paused.
    pub usable: bool,
}

/// What the choice depends on, of the request.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// The time until its objective; zero once that has passed.
    pub objective_left: Duration,
    /// The time until its answer is of no use.
    pub deadline_left: Duration,
    /// The expected size of request and answer, in KiB.
    pub size_kib: f64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this server.
    Send(ServerId),
    /// Nowhere: none is expected to answer in time. There may be room after this time.
    Full(Duration),
    /// Nowhere: there is no server at all, or none may be used now.
    NoServer,
}

/// Returns the time within which an answer has to be expected, in milliseconds; `response_ms` is the
/// time in which an idle server would answer.
#[must_use]
pub fn limit_ms(profile: &RequestProfile, response_ms: f64) -> f64 {
    let objective = as_ms(profile.objective_left) * OBJECTIVE_SHARE;
    let deadline = as_ms(profile.deadline_left) * DEADLINE_SHARE;
    // Once the objective can't be met even by an idle server, only the deadline counts.
    if objective < response_ms {
        deadline
    } else {
        objective.min(deadline)
    }
}

fn as_ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// A candidate that is expected to answer in time, with what it costs.
#[derive(Debug, Clone, Copy)]
struct EligibleCandidate<'a> {
    candidate: &'a Candidate,
    cost: f64,
}

/// Chooses among `candidates`; `idle_ms` is the time in which an idle server would answer.
///
/// Of the servers at each distance, some are drawn by their speed, and the cheapest of them is
/// compared with those of the other distances. The more fronts there are, the less each knows of
/// the others' requests, and the fewer are drawn: all would otherwise choose the one server that
/// looks best.
pub fn choose(
    candidates: &[Candidate],
    profile: &RequestProfile,
    idle_ms: f64,
    fronts: u32,
    rng: &mut impl Rng,
) -> Choice {
    let samples = usize::try_from(TOTAL_SAMPLES / fronts.max(1)).unwrap_or(usize::MAX);
    let samples = samples.max(MIN_SAMPLES);
    let limit = limit_ms(profile, idle_ms);
    let mut earliest = f64::INFINITY;
    let mut eligible_candidates: Vec<EligibleCandidate<'_>> = Vec::with_capacity(candidates.len());
    for candidate in candidates.iter().filter(|candidate| candidate.usable) {
        let answer = candidate.response_ms + candidate.distance.round_trip_ms();
        earliest = earliest.min(answer);
        if answer <= limit && candidate.service_rounds <= MAX_SERVICE_ROUNDS {
            let bytes = candidate.distance.byte_cost_ms(profile.size_kib);
            eligible_candidates.push(EligibleCandidate {
                candidate,
                cost: answer + candidate.failure_cost_ms + bytes,
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
    if earliest.is_infinite() {
        return Choice::NoServer;
    }
    Choice::Full(retry_after(earliest - limit, idle_ms, rng))
}

/// Draws servers at a distance, the faster the likelier, and returns the cheapest of them.
fn best_of_sample<'a>(
    eligible_candidates: &[EligibleCandidate<'a>],
    distance: Distance,
    max_samples: usize,
    rng: &mut impl Rng,
) -> Option<EligibleCandidate<'a>> {
    let at_distance = eligible_candidates
        .iter()
        .filter(|eligible| eligible.candidate.distance == distance);
    // Of exponential variates with these rates, each is the least with a chance proportional to
    // its rate.
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

/// Returns when a refused request should come back: once the backlog above the limit has been
/// worked off, spread over one service time so that the refused do not come back together.
fn retry_after(excess_ms: f64, idle_ms: f64, rng: &mut impl Rng) -> Duration {
    let spread = rng.random_range(0.0..=idle_ms.max(1.0));
    let wait = (excess_ms + spread).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Duration::from_secs_f64(wait / 1_000.0)
}
