//! Keeps room on servers in home regions for the routes that may use no others.
//!
//! It is designed for servers in home regions that are nearly full with requests of routes with and
//! without homes: a request that may be sent anywhere fills only the first half of what the
//! objective allows there, as long as a server elsewhere may be used.

use rand::Rng;

use crate::direct::admission;
use crate::direct::admission::Candidate;
use crate::direct::admission::Choice;
use crate::direct::admission::RequestProfile;
use crate::direct::priority::reserve::Reserve;

/// The share of the usual limit within which a server in a home region has to be expected to answer
/// a request of a route without homes.
const UNRESTRICTED_SHARE: f64 = 0.5;

/// The size of request and response together up to which a request leaves room, in KiB. A larger one
/// would take the link between regions, and that of a weak front, for longer than it takes a slot.
const MAX_LEAVING_SIZE_KIB: f64 = 32.0;

/// The decision on a request of a route without homes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomChoice {
    /// The decision.
    pub choice: Choice,
    /// Whether the request is sent elsewhere, and a usable server in a home region was left out
    /// because it has no spare capacity.
    pub left_room: bool,
}

/// Separates the servers that a request of a route without homes may use anyway from those where it
/// has to leave room. `is_reserved` is as in [`choose`]. A large request leaves no room.
pub fn partition(
    candidates: &[Candidate],
    is_reserved: impl Fn(&Candidate) -> bool,
    profile: &RequestProfile,
    idle_ms: f64,
) -> (Vec<Candidate>, Vec<Candidate>) {
    if profile.size_kib > MAX_LEAVING_SIZE_KIB {
        return (candidates.to_vec(), Vec::new());
    }
    let limit = admission::limit_ms(profile, idle_ms) * UNRESTRICTED_SHARE;
    let has_room = |candidate: &Candidate| {
        candidate.response_ms + candidate.distance.round_trip_ms() <= limit
            || !is_reserved(candidate)
    };
    candidates.iter().cloned().partition(has_room)
}

/// Chooses a server for a request of a route without homes, as
/// [`admission::choose_with_reserve`] does.
///
/// A server for which `is_reserved` holds, because it is in a home region of another route to the
/// same service, is used only while it has spare capacity. If no server elsewhere may be used, the
/// usual limit applies to all. A large request leaves no room.
pub fn choose(
    candidates: &[Candidate],
    is_reserved: impl Fn(&Candidate) -> bool,
    profile: &RequestProfile,
    reserve: &Reserve,
    idle_ms: f64,
    fronts: u32,
    rng: &mut impl Rng,
) -> RoomChoice {
    let (roomy, scarce) = partition(candidates, is_reserved, profile, idle_ms);
    let choice = admission::choose_with_reserve(&roomy, profile, reserve, idle_ms, fronts, rng);
    if matches!(choice, Choice::Send(_)) || scarce.is_empty() {
        return RoomChoice {
            left_room: scarce.iter().any(|candidate| candidate.usable),
            choice,
        };
    }
    RoomChoice {
        choice: admission::choose_with_reserve(candidates, profile, reserve, idle_ms, fronts, rng),
        left_room: false,
    }
}
