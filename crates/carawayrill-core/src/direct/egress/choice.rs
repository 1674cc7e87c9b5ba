//! Applies the shares to one request.

use rand::Rng;
use rand::RngExt;

use super::facts::EgressShare;
use crate::direct::admission::Candidate;
use crate::direct::admission::Choice;
use crate::direct::admission::Distance;
use crate::id::RegionId;

/// Draws the region for which a request leaves; `None` if it stays.
pub fn draw<'a>(shares: &'a [EgressShare], rng: &mut impl Rng) -> Option<&'a RegionId> {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for share in shares {
        if left < share.share {
            return Some(&share.region);
        }
        left -= share.share;
    }
    None
}

/// Chooses a server for a request with `choose`, first among those of the region `target`, or of the
/// front's own region if there is none.
///
/// If none of these may be used in time, the request stays in its region, and if that is not
/// possible either, it is sent to any server in a region that has capacity and to which the link has
/// capacity: no request is refused for the price of leaving. If no server at home may be used at all,
/// only the capacity of the link counts. `region` returns the region of a candidate.
pub fn choose<'a>(
    candidates: &[Candidate],
    shares: &[EgressShare],
    target: Option<&RegionId>,
    region: impl Fn(&Candidate) -> Option<&'a RegionId>,
    mut choose: impl FnMut(&[Candidate], Scope) -> Choice,
) -> Choice {
    let subset = |allowed: &dyn Fn(&Candidate) -> bool| -> Vec<Candidate> {
        let allowed = candidates.iter().filter(|candidate| allowed(candidate));
        allowed.cloned().collect()
    };
    let is_at_home = |candidate: &Candidate| candidate.distance != Distance::OtherRegion;
    if let Some(target) = target {
        let there = subset(&|one| !is_at_home(one) && region(one) == Some(target));
        let choice = choose(&there, Scope::Preferred);
        if matches!(choice, Choice::Send(_)) {
            return choice;
        }
    }
    let choice = choose(&subset(&is_at_home), Scope::Preferred);
    if matches!(choice, Choice::Send(_)) {
        return choice;
    }
    let has_home = candidates.iter().any(|one| is_at_home(one) && one.usable);
    let is_full = |candidate: &Candidate| {
        let mut of_region = shares
            .iter()
            .filter(|share| region(candidate) == Some(&share.region));
        of_region.any(|share| share.link_full || share.region_full && has_home)
    };
    let reachable = subset(&|one| is_at_home(one) || !is_full(one));
    choose(&reachable, Scope::Any)
}

/// Which of the candidates a choice is among.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those of one region; others are tried after them.
    Preferred,
    /// All that may be used.
    Any,
}
