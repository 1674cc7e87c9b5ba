//! Splits hot keys out of their ranges, and merges them back when they are no longer hot.

use std::collections::BTreeMap;

use super::balance::Balancer;
use super::demand::Demand;
use super::demand::HotDemand;
use super::rows::Placement;
use super::step::CostBenefit;
use super::step::Move;
use super::step::Step;
use crate::assignment::Reason;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::time::Time;

/// The input of hot-key decisions for one service.
#[derive(Debug)]
pub(crate) struct HotKeyInput<'a> {
    /// Placements in force, by shard.
    pub(crate) placed: &'a BTreeMap<&'a ShardId, &'a Placement>,
    /// Demand of the service's shards.
    pub(crate) demand: &'a [&'a Demand],
    /// Mean load of a server of weight 1.
    pub(crate) mean: u64,
    /// Number of hash ranges of the service.
    pub(crate) ranges: u32,
}

/// Lists the steps that split out hot keys, the hottest first.
pub(crate) fn split_steps(balancer: &Balancer, input: &HotKeyInput<'_>) -> Vec<Step> {
    let is_hot = |shard: &&&ShardId| matches!(shard.part, ShardPart::Hot(_));
    let used = input.placed.keys().filter(is_hot).count();
    let free_slots = balancer.config.max_hot_keys.saturating_sub(used);
    let mut candidates: Vec<(HotDemand, &Placement)> = input
        .demand
        .iter()
        .filter_map(|demand| hot_key_to_split(balancer, input, demand))
        .collect();
    candidates.sort_by_key(|(hot, _)| (std::cmp::Reverse(hot.load), hot.key));
    candidates.truncate(free_slots);
    candidates
        .into_iter()
        .map(|(hot, row)| split_step(hot, row))
        .collect()
}

/// Returns the hot key of a range and the placement of the range, if the key is to be split out.
fn hot_key_to_split<'a>(
    balancer: &Balancer,
    input: &HotKeyInput<'a>,
    demand: &Demand,
) -> Option<(HotDemand, &'a Placement)> {
    let hot = demand.hot?;
    let is_range = matches!(demand.shard.part, ShardPart::Range(_));
    let split_out = ShardId::hot(demand.shard.service.clone(), hot.key);
    let is_hot = hot.load > 0 && hot.load >= balancer.config.split_threshold.times(input.mean);
    if !is_range || !is_hot || input.placed.contains_key(&split_out) {
        return None;
    }
    let row = input.placed.get(&demand.shard)?;
    Some((hot, *row))
}

/// Returns the step that splits a key out of its range.
fn split_step(hot: HotDemand, row: &Placement) -> Step {
    let shard = ShardId::hot(row.shard.service.clone(), hot.key);
    Step::Split {
        to: Placement {
            shard,
            ..row.clone()
        },
        worth: CostBenefit {
            gain: hot.load,
            cost: 0,
        },
    }
}

/// Lists the steps that merge back keys that are no longer hot: first a move to the owner and homes
/// of their range, then the merge.
pub(crate) fn merge_steps(balancer: &Balancer, now: Time, input: &HotKeyInput<'_>) -> Vec<Step> {
    let loads: BTreeMap<&ShardId, u64> = input
        .demand
        .iter()
        .map(|demand| (&demand.shard, demand.load))
        .collect();
    let is_cold = |shard: &ShardId| {
        let load = loads.get(shard).copied().unwrap_or(0);
        load < balancer.config.merge_threshold.times(input.mean).max(1)
            && !balancer.in_cooldown(shard, now)
    };
    input
        .placed
        .values()
        .filter(|row| matches!(row.shard.part, ShardPart::Hot(_)) && is_cold(&row.shard))
        .filter_map(|row| merge_step(input, row))
        .collect()
}

/// Returns the next step that merges one key back into its range.
fn merge_step(input: &HotKeyInput<'_>, row: &Placement) -> Option<Step> {
    let ShardPart::Hot(key) = row.shard.part else {
        return None;
    };
    let service = row.shard.service.clone();
    let into = ShardId::range(service, key.range_of(input.ranges));
    let range = *input.placed.get(&into)?;
    let to = Placement {
        shard: row.shard.clone(),
        ..range.clone()
    };
    if to == *row {
        let shard = row.shard.clone();
        return Some(Step::Merge { shard, into });
    }
    Some(Step::Move(Move {
        from: row.clone(),
        to,
        reason: Reason::HotKey,
        urgent: false,
        worth: CostBenefit::default(),
    }))
}
