//! Assigns what regions have too much of to regions with room.

use std::collections::BTreeMap;

use super::EgressConfig;
use crate::id::RegionId;

/// The utilisation up to which a region receives requests that the servers of their own region can't
/// run.
const RECEIVE_OVERLOAD: f64 = 0.88;
/// The utilisation up to which a region receives requests that would only wait at home. It is below
/// the lowest one at which requests leave, so that they are not passed on.
const RECEIVE_WAITING: f64 = 0.65;
/// The part of the room that is used in a region that is a home of other routes.
const HOME_ROOM_SHARE: f64 = 0.5;

/// One region in the allocation of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct RegionState {
    /// The requests that its servers can run, per second.
    pub capacity: f64,
    /// Its demand as far as a receiver is concerned, per second.
    pub peak: f64,
    /// The requests beyond what its servers can run, per second.
    pub overload: f64,
    /// The requests beyond the utilisation at which leaving pays off, per second; at least
    /// `overload`.
    pub excess: f64,
    pub size_kib: f64,
    pub is_home: bool,
}

impl RegionState {
    pub(super) fn room(&self, utilisation: f64) -> f64 {
        let share = if self.is_home { HOME_ROOM_SHARE } else { 1.0 };
        (self.capacity * utilisation - self.peak).max(0.0) * share
    }
}

/// A pair of regions, the sending one first.
pub(super) type Pair = (RegionId, RegionId);

/// What is left of the links, by pair of regions in alphabetical order, in KiB per second.
#[derive(Debug, Default)]
pub(super) struct Links {
    used: BTreeMap<Pair, f64>,
}

impl Links {
    /// Takes as much of the link as `rate` requests of a size need, and returns the rate for which
    /// there was enough.
    pub(super) fn take(&mut self, cfg: &EgressConfig, pair: &Pair, rate: f64, kib: f64) -> f64 {
        let (one, other) = pair.clone();
        let link = if one <= other {
            (one, other)
        } else {
            (other, one)
        };
        let used = self.used.entry(link).or_default();
        let left = (cfg.link_kib_per_second() - *used).max(0.0);
        let allowed = rate.min(left / kib.max(f64::MIN_POSITIVE));
        *used += allowed * kib;
        allowed
    }
}

/// What leaves from one region to another.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Flow {
    /// In requests per second.
    pub rate: f64,
    /// Whether the link had no capacity for more.
    pub link_full: bool,
}

/// Assigns the excess of each region to others. Requests that can't be run at home come first. A
/// region with an excess of its own receives none that would only wait, and one that receives sends
/// nothing.
pub(super) fn allocate(
    regions: &BTreeMap<RegionId, RegionState>,
    cfg: &EgressConfig,
    links: &mut Links,
) -> BTreeMap<Pair, Flow> {
    let mut flows = BTreeMap::new();
    let overload: BTreeMap<_, _> = regions.iter().map(|(id, one)| (id, one.overload)).collect();
    let room = regions
        .iter()
        .filter(|(_, one)| one.overload <= 0.0)
        .map(|(id, one)| (id, one.room(RECEIVE_OVERLOAD)));
    assign(&overload, &room.collect(), regions, cfg, links, &mut flows);
    let received = |id: &RegionId, flows: &BTreeMap<Pair, Flow>| {
        let to = flows.iter().filter(|((_, to), _)| to == id);
        to.map(|(_, flow)| flow.rate).sum::<f64>()
    };
    let waiting: BTreeMap<_, _> = regions
        .iter()
        .filter(|(id, _)| received(id, &flows) <= 0.0)
        .map(|(id, one)| (id, one.excess - one.overload))
        .collect();
    let room = regions
        .iter()
        .filter(|(_, one)| one.excess <= 0.0)
        .map(|(id, one)| {
            let left = one.room(RECEIVE_WAITING) - received(id, &flows);
            (id, left.max(0.0))
        });
    assign(&waiting, &room.collect(), regions, cfg, links, &mut flows);
    flows
}

fn assign(
    needs: &BTreeMap<&RegionId, f64>,
    rooms: &BTreeMap<&RegionId, f64>,
    regions: &BTreeMap<RegionId, RegionState>,
    cfg: &EgressConfig,
    links: &mut Links,
    flows: &mut BTreeMap<Pair, Flow>,
) {
    let need: f64 = needs.values().sum();
    let room: f64 = rooms.values().sum();
    if need <= 0.0 || room <= 0.0 {
        return;
    }
    let met = (room / need).min(1.0);
    for (from, need) in needs.iter().filter(|(_, need)| **need > 0.0) {
        for (to, part) in rooms.iter().filter(|(_, part)| **part > 0.0) {
            let pair = ((*from).clone(), (*to).clone());
            let wanted = need * met * part / room;
            let kib = regions.get(*from).map_or(0.0, |one| one.size_kib);
            let allowed = links.take(cfg, &pair, wanted, kib);
            let flow = flows.entry(pair).or_default();
            flow.rate += allowed;
            flow.link_full |= allowed < wanted;
        }
    }
}

/// Returns the most that a region may receive, in requests per second.
pub(super) fn most_received(region: &RegionState) -> f64 {
    if region.overload > 0.0 {
        return 0.0;
    }
    region.room(RECEIVE_OVERLOAD)
}
