//! Plans moves of key ranges between servers, so that no server is overloaded while others are not.
//!
//! It is designed for skewed demand: a few keys, often adjacent, receive much of the requests and
//! change within seconds, and servers have different capacities. Ranges are split as finely as
//! needed. Each plan has a limited number of moves, and each move has a clear gain.

use std::collections::BTreeMap;

use crate::direct::demand::KeyDemand;
use crate::direct::keys::KEY_COUNT;
use crate::direct::keys::KeyRange;
use crate::id::ServerId;
use crate::time::floor_to_u64;

/// The ratio of a server's utilisation to the mean above which keys are moved off it.
const EXCESS_FACTOR: f64 = 1.25;
/// The utilisation below which no keys are moved off a server, however uneven the load is.
const MIN_SOURCE_UTILISATION: f64 = 0.25;
/// The maximum number of moves in one plan for a small service.
const MIN_MOVES_PER_PLAN: usize = 24;
/// The number of servers for each move that a plan may have in a large service.
const SERVERS_PER_MOVE: usize = 4;
/// The utilisation up to which moves fill a server. A hot range that is merely halved with each move
/// would overload one server after the other, and each of its parts has to rest after a move.
const FILL_UTILISATION: f64 = 0.75;
/// The ratio of the mean utilisation up to which moves fill a server, if that is higher.
const FILL_FACTOR: f64 = 1.1;
/// The number of standard deviations by which a server's measured rate has to exceed the bound
/// before keys are moved off it. With hundreds of servers each gets only a few requests a second, so
/// that some always seem overloaded by chance.
const SIGNIFICANT_DEVIATIONS: f64 = 1.5;
/// The fraction of the utilisation gap between two servers that one move aims to close.
const GAP_SHARE: f64 = 0.9;
/// The least demand of a move, as a fraction of the source server's capacity.
const MIN_MOVE_SHARE: f64 = 0.04;
/// The utilisation of the holder by a single key above which that key moves to a faster server.
const HOT_KEY_UTILISATION: f64 = 0.8;
/// The least load that a server takes over from a lost or draining one, as a fraction of the mean
/// utilisation. It limits the number of spans, because each has to be renewed and sent to the
/// fronts.
const MIN_TAKEOVER_SHARE: f64 = 0.3;
/// The least ratio of capacities at which a hot key moves to the faster server.
const MIN_SPEEDUP: f64 = 1.5;
/// The limit for the destination's utilisation after a move, as a fraction of the source's
/// utilisation before it.
const MAX_DESTINATION_RATIO: f64 = 0.8;

/// The capacity of each server of a service, in requests a second.
#[derive(Debug, Clone, Default)]
pub struct Capacities {
    rates: BTreeMap<ServerId, f64>,
}

impl Capacities {
    /// Sets the capacity of a server, in requests a second.
    pub fn set(&mut self, server: ServerId, rate: f64) {
        self.rates.insert(server, rate.max(f64::MIN_POSITIVE));
    }

    /// Returns whether the capacity of the server is known.
    #[must_use]
    pub fn has(&self, server: &ServerId) -> bool {
        self.rates.contains_key(server)
    }

    /// Returns the capacity of a server, or the smallest positive value if it is not known.
    #[must_use]
    pub fn of(&self, server: &ServerId) -> f64 {
        self.rates.get(server).copied().unwrap_or(f64::MIN_POSITIVE)
    }

    fn total(&self) -> f64 {
        self.rates.values().sum()
    }
}

/// A range of keys and its holder, as input to planning.
#[derive(Debug, Clone)]
pub struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// The server that holds the keys.
    pub server: ServerId,
    /// Whether its keys may be moved now for balance.
    pub movable: bool,
}

/// A planned move of keys to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The keys; always within one [`HeldRange`].
    pub range: KeyRange,
    /// The new holder.
    pub to: ServerId,
}

/// Splits all keys into consecutive ranges whose sizes are proportional to `weights`.
#[must_use]
pub fn split_by_weight(weights: &[f64]) -> Vec<KeyRange> {
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    let mut first = 0_usize;
    let mut ranges = Vec::with_capacity(weights.len());
    for (at, weight) in weights.iter().enumerate() {
        sum += weight;
        let end = if at + 1 == weights.len() {
            KEY_COUNT
        } else {
            // Each range has at least one key and leaves at least one for each later range.
            let share = floor_to_u64(KEY_COUNT as f64 * sum / total);
            let share = usize::try_from(share).unwrap_or(KEY_COUNT);
            share.clamp(first + 1, KEY_COUNT - (weights.len() - at - 1))
        };
        ranges.push(range_of(first, end - 1));
        first = end;
    }
    ranges
}

fn range_of(first: usize, last: usize) -> KeyRange {
    KeyRange {
        first: u16::try_from(first).unwrap_or(u16::MAX),
        last: u16::try_from(last).unwrap_or(u16::MAX),
    }
}

/// The load of each server, updated as moves are planned.
struct Loads<'a> {
    rates: BTreeMap<ServerId, f64>,
    capacities: &'a Capacities,
}

impl<'a> Loads<'a> {
    fn new(held_ranges: &[HeldRange], demand: &KeyDemand, capacities: &'a Capacities) -> Self {
        let mut rates: BTreeMap<ServerId, f64> = capacities
            .rates
            .keys()
            .map(|server| (server.clone(), 0.0))
            .collect();
        for held in held_ranges {
            if let Some(rate) = rates.get_mut(&held.server) {
                *rate += demand.range_rate(held.range);
            }
        }
        Self { rates, capacities }
    }

    fn utilisation(&self, server: &ServerId) -> f64 {
        self.rates.get(server).copied().unwrap_or(0.0) / self.capacities.of(server)
    }

    /// Returns the utilisation that the server very likely exceeds.
    fn certain_utilisation(&self, server: &ServerId, demand: &KeyDemand) -> f64 {
        let rate = self.rates.get(server).copied().unwrap_or(0.0);
        let certain = rate - SIGNIFICANT_DEVIATIONS * demand.deviation(rate);
        certain.max(0.0) / self.capacities.of(server)
    }

    /// Returns the rate that, moved between two servers, equalises their utilisation.
    fn equalising_rate(&self, from: &ServerId, to: &ServerId) -> f64 {
        let (source_capacity, destination_capacity) =
            (self.capacities.of(from), self.capacities.of(to));
        let difference = self.utilisation(from) - self.utilisation(to);
        difference * source_capacity * destination_capacity
            / (source_capacity + destination_capacity)
    }

    /// Returns the rate that may be moved to a server without filling it, where `mean` is the mean
    /// utilisation.
    fn spare_rate(&self, to: &ServerId, mean: f64) -> f64 {
        let fill = FILL_UTILISATION.max(mean * FILL_FACTOR);
        (fill - self.utilisation(to)) * self.capacities.of(to)
    }

    fn move_rate(&mut self, from: &ServerId, to: &ServerId, rate: f64) {
        if let Some(load) = self.rates.get_mut(from) {
            *load -= rate;
        }
        if let Some(load) = self.rates.get_mut(to) {
            *load += rate;
        }
    }

    fn least_used<'s>(&self, servers: impl Iterator<Item = &'s ServerId>) -> Option<&'s ServerId> {
        servers
            .map(|server| (self.utilisation(server), server))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, server)| server)
    }
}

/// Plans new holders for the ranges in `to_replace`, whose servers are lost or draining.
///
/// A range with more demand than the least used server can take is split.
#[must_use]
pub fn replace_holders(
    to_replace: &[KeyRange],
    held_ranges: &[HeldRange],
    targets: &[ServerId],
    demand: &KeyDemand,
    capacities: &Capacities,
) -> Vec<Move> {
    let mut loads = Loads::new(held_ranges, demand, capacities);
    let total_capacity: f64 = targets.iter().map(|server| capacities.of(server)).sum();
    let offered = demand.range_rate(KeyRange::ALL);
    let mean = offered / total_capacity.max(f64::MIN_POSITIVE);
    let mut moves = Vec::new();
    for range in to_replace {
        let mut first = usize::from(range.first);
        let last = usize::from(range.last);
        while first <= last {
            let Some(to) = loads.least_used(targets.iter()).cloned() else {
                return moves;
            };
            let spare_rate =
                (mean - loads.utilisation(&to)).max(MIN_TAKEOVER_SHARE * mean) * capacities.of(&to);
            let (end, rate) = take_prefix(demand, first, last, spare_rate);
            if let Some(load) = loads.rates.get_mut(&to) {
                *load += rate;
            }
            moves.push(Move {
                range: range_of(first, end),
                to,
            });
            first = end + 1;
        }
    }
    moves
}

/// Finds the shortest run of keys from `first` on with at least `target_rate` demand, or all keys
/// up to `last`. Returns its last key and its demand.
fn take_prefix(demand: &KeyDemand, first: usize, last: usize, target_rate: f64) -> (usize, f64) {
    let mut rate = 0.0;
    for key in first..=last {
        rate += demand.rate(key);
        if rate > 0.0 && rate >= target_rate {
            return (key, rate);
        }
    }
    (last, rate)
}

/// Plans moves from servers with high utilisation to those with low utilisation.
#[must_use]
pub fn balance(
    held_ranges: &[HeldRange],
    demand: &KeyDemand,
    capacities: &Capacities,
) -> Vec<Move> {
    let mut loads = Loads::new(held_ranges, demand, capacities);
    let mean = demand.range_rate(KeyRange::ALL) / capacities.total().max(f64::MIN_POSITIVE);
    let mut movable: Vec<HeldRange> = held_ranges
        .iter()
        .filter(|held| held.movable)
        .cloned()
        .collect();
    let mut moves: Vec<Move> = Vec::new();
    if let Some(planned) = hot_key_move(&movable, &loads, demand) {
        moves.extend(remove_range(&mut movable, planned.range).map(|from| {
            loads.move_rate(&from, &planned.to, demand.range_rate(planned.range));
            planned
        }));
    }
    let max_moves = MIN_MOVES_PER_PLAN.max(capacities.rates.len() / SERVERS_PER_MOVE);
    while moves.len() < max_moves {
        let Some(planned) = next_move(&movable, &loads, demand, mean) else {
            break;
        };
        let Some(from) = remove_range(&mut movable, planned.range) else {
            break;
        };
        loads.move_rate(&from, &planned.to, demand.range_rate(planned.range));
        moves.push(planned);
    }
    moves
}

/// Removes `range` from the [`HeldRange`] that contains it, and returns the holder.
fn remove_range(movable: &mut Vec<HeldRange>, range: KeyRange) -> Option<ServerId> {
    let at = movable
        .iter()
        .position(|held| held.range.contains(range.first))?;
    let held = movable.swap_remove(at);
    let rest = held.range.without(range).into_iter().flatten();
    movable.extend(rest.map(|range| HeldRange {
        range,
        ..held.clone()
    }));
    Some(held.server)
}

/// Plans the move of the hottest key to the fastest server if its holder is too slow for it.
///
/// Even the fastest server may not be able to serve all requests for that key, but it refuses the
/// fewest. Its other keys are moved off it by later moves.
fn hot_key_move(movable: &[HeldRange], loads: &Loads<'_>, demand: &KeyDemand) -> Option<Move> {
    let (key, rate) = demand.hottest()?;
    let held = movable.iter().find(|held| held.range.contains(key))?;
    let capacity_of_holder = loads.capacities.of(&held.server);
    if rate < capacity_of_holder * HOT_KEY_UTILISATION {
        return None;
    }
    let (capacity, to) = loads
        .rates
        .keys()
        .map(|server| (loads.capacities.of(server), server))
        .max_by(|one, other| one.0.total_cmp(&other.0))?;
    (capacity > capacity_of_holder * MIN_SPEEDUP).then(|| Move {
        range: KeyRange {
            first: key,
            last: key,
        },
        to: to.clone(),
    })
}

/// Plans one move to the server with the lowest utilisation, from the most used server for which a
/// suitable move exists.
fn next_move(
    movable: &[HeldRange],
    loads: &Loads<'_>,
    demand: &KeyDemand,
    mean: f64,
) -> Option<Move> {
    let to = loads.least_used(loads.rates.keys())?.clone();
    let to_use = loads.utilisation(&to);
    // A server without keys receives some, however low the utilisation of the others is.
    let is_empty = to_use == 0.0;
    let may_be_source = |server: &ServerId| {
        let certain = loads.certain_utilisation(server, demand);
        is_empty || (certain > mean * EXCESS_FACTOR && certain > MIN_SOURCE_UTILISATION)
    };
    let mut sources: Vec<(f64, &ServerId)> = loads
        .rates
        .keys()
        .filter(|server| may_be_source(server))
        .map(|server| (loads.utilisation(server), server))
        .collect();
    sources.sort_by(|one, other| other.0.total_cmp(&one.0));
    for (used, from) in sources {
        let equalising_rate = loads.equalising_rate(from, &to) * GAP_SHARE;
        let target_rate = equalising_rate.min(loads.spare_rate(&to, mean));
        if target_rate <= 0.0 {
            continue;
        }
        let least = if is_empty {
            0.0
        } else {
            loads.capacities.of(from) * MIN_MOVE_SHARE
        };
        let parts = movable
            .iter()
            .filter(|held| held.server == *from)
            .filter_map(|held| subrange_near(held.range, demand, target_rate))
            .filter(|(_, rate)| *rate >= least);
        let better = |rate: f64| {
            let capacity = loads.capacities.of(&to);
            to_use + rate / capacity < used * MAX_DESTINATION_RATIO
        };
        let best = parts
            .filter(|(_, rate)| better(*rate))
            .min_by(|one, other| {
                let miss = |rate: f64| (rate - target_rate).abs();
                miss(one.1).total_cmp(&miss(other.1))
            });
        if let Some((range, _)) = best {
            return Some(Move {
                range,
                to: to.clone(),
            });
        }
    }
    None
}

/// Returns the part at the start or the end of a range whose demand is nearest to `target_rate`,
/// and that demand.
fn subrange_near(range: KeyRange, demand: &KeyDemand, target_rate: f64) -> Option<(KeyRange, f64)> {
    let total = demand.range_rate(range);
    if total <= target_rate {
        return Some((range, total));
    }
    let first = usize::from(range.first);
    let last = usize::from(range.last);
    let front = prefix_near(first..=last, demand, target_rate)
        .map(|(end, rate)| (range_of(first, end), rate));
    let back = prefix_near((first..=last).rev(), demand, target_rate)
        .map(|(end, rate)| (range_of(end, last), rate));
    match (front, back) {
        (Some(front), Some(back)) => {
            let nearer = (front.1 - target_rate).abs() <= (back.1 - target_rate).abs();
            Some(if nearer { front } else { back })
        }
        (front, back) => front.or(back),
    }
}

/// Returns the last key of the prefix of `keys` whose demand is nearest to `target_rate`, and that
/// demand; `None` if all keys together have less.
fn prefix_near(
    keys: impl Iterator<Item = usize>,
    demand: &KeyDemand,
    target_rate: f64,
) -> Option<(usize, f64)> {
    let mut rate = 0.0;
    let mut before = None;
    for key in keys {
        let with = rate + demand.rate(key);
        if with >= target_rate {
            let over = with - target_rate;
            let under = target_rate - rate;
            return if over <= under || before.is_none() {
                Some((key, with))
            } else {
                before
            };
        }
        rate = with;
        before = Some((key, rate));
    }
    before
}
