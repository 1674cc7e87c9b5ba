//! Load balancing by few moves, each of which gains more than it costs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::config::BalanceConfig;
use super::demand::Demand;
use super::homes::Homes;
use super::hot_key;
use super::hot_key::HotKeyInput;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::Placement;
use super::rows::ServerRow;
use super::standby::StandbySelector;
use super::step::CostBenefit;
use super::step::Move;
use super::step::Step;
use crate::assignment::Reason;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::measure::ServerLoad;
use crate::measure::imbalance;
use crate::time::Time;

/// Number of most loaded servers that are considered as the source of a move.
const MAX_SOURCES: usize = 4;
/// Number of least loaded servers that are considered as the destination of a move.
const MAX_DESTINATIONS: usize = 16;

/// Decides on moves by load, and keeps the times of recent moves.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) config: BalanceConfig,
    /// Services whose imbalance has reached the start threshold and not yet fallen below the stop
    /// threshold.
    active: BTreeSet<ServiceId>,
    /// Time of the last move or split of each shard.
    last_moved: BTreeMap<ShardId, Time>,
}

/// The input of one balancing round.
#[derive(Debug)]
struct RoundInput<'a> {
    now: Time,
    fleet: &'a Fleet,
    homes: &'a Homes,
    current: &'a [Placement],
    /// Demand, by shard.
    demand: BTreeMap<&'a ShardId, &'a Demand>,
    /// Shards with a change in progress, which must not be changed again.
    pending: &'a BTreeSet<ShardId>,
}

/// The loads of the servers of one service, as they would be after the moves chosen so far.
#[derive(Debug)]
struct ServiceLoads<'a> {
    servers: Vec<LoadedServer<'a>>,
    /// Mean load of a server of weight 1.
    mean: u64,
    /// Mean load of a range.
    mean_range: u64,
    /// Number of hash ranges.
    ranges: u32,
}

/// One server with its load and its shards.
#[derive(Debug)]
struct LoadedServer<'a> {
    row: &'a ServerRow,
    load: u64,
    shards: Vec<&'a Placement>,
}

/// A possible move, as indexes into the servers of the service and the shards of the source.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    source: usize,
    shard: usize,
    destination: usize,
    worth: CostBenefit,
}

impl Balancer {
    /// Creates a balancer without recent moves.
    #[must_use]
    pub fn new(config: BalanceConfig) -> Self {
        Self {
            config,
            active: BTreeSet::new(),
            last_moved: BTreeMap::new(),
        }
    }

    /// Decides on the steps of one round.
    ///
    /// `demand` covers one window. `pending` are shards with a change in progress: they are not
    /// changed, and count against [`BalanceConfig::max_moves`].
    pub fn round(
        &mut self,
        now: Time,
        fleet: &Fleet,
        current: &[Placement],
        demand: &[Demand],
        pending: &BTreeSet<ShardId>,
    ) -> Vec<Step> {
        let fleet = &fleet.sorted();
        let homes = &Homes::assign(fleet, current);
        let cooldown = self.config.cooldown;
        self.last_moved.retain(|_, at| now.since(*at) < cooldown);
        let round = RoundInput {
            now,
            fleet,
            homes,
            current,
            demand: demand.iter().map(|row| (&row.shard, row)).collect(),
            pending,
        };
        let mut move_budget = self.config.max_moves.saturating_sub(pending.len());
        let services: BTreeSet<&ServiceId> = current.iter().map(|row| &row.shard.service).collect();
        let mut steps = Vec::new();
        for service in services {
            let service_steps = self.balance_service(&round, service, move_budget);
            move_budget -= service_steps
                .iter()
                .filter(|step| matches!(step, Step::Move(_)))
                .count();
            steps.extend(service_steps);
        }
        let moving = steps
            .iter()
            .filter(|step| !matches!(step, Step::Merge { .. }));
        for step in moving {
            self.last_moved.insert(step.shard().clone(), now);
        }
        steps
    }

    /// Records that a shard was moved or split out at `now`, also by the decision of another
    /// balancer.
    pub fn record_move(&mut self, now: Time, shard: &ShardId) {
        self.last_moved.insert(shard.clone(), now);
    }

    /// Returns whether a shard was moved too recently to be moved again.
    pub(crate) fn in_cooldown(&self, shard: &ShardId, now: Time) -> bool {
        self.last_moved
            .get(shard)
            .is_some_and(|at| now.since(*at) < self.config.cooldown)
    }

    /// Decides on the steps of one service, with at most `move_budget` moves.
    fn balance_service(
        &mut self,
        round: &RoundInput<'_>,
        service: &ServiceId,
        move_budget: usize,
    ) -> Vec<Step> {
        let mut loads = ServiceLoads::new(round, service);
        let mut steps = self.hot_key_steps(round, service, &loads);
        let mut moves: usize = steps
            .iter()
            .filter(|step| matches!(step, Step::Move(_)))
            .count();
        if moves > move_budget {
            steps.retain(|step| !matches!(step, Step::Move(_)));
            moves = 0;
        }
        if !self.is_active(service, &loads) {
            return steps;
        }
        let mut standbys = StandbySelector::new(round.fleet);
        for row in round.current {
            if let Some(standby) = &row.standby {
                standbys.count(standby);
            }
        }
        // The range of a hot key is not moved as long as its load includes that of the key.
        let mut excluded: BTreeSet<ShardId> = steps
            .iter()
            .flat_map(|step| [step.shard().clone(), loads.range_of(step.shard())])
            .collect();
        while moves < move_budget && loads.imbalance() >= self.config.stop_threshold {
            let Some(best) = self.best_move(round, &loads, &excluded) else {
                break;
            };
            let step = loads.apply(round, &mut standbys, best);
            excluded.insert(step.from.shard.clone());
            steps.push(Step::Move(step));
            moves += 1;
        }
        steps
    }

    /// Lists the split and merge steps for the hot keys of one service.
    fn hot_key_steps(
        &self,
        round: &RoundInput<'_>,
        service: &ServiceId,
        loads: &ServiceLoads<'_>,
    ) -> Vec<Step> {
        let of_service = |shard: &ShardId| shard.service == *service;
        let placed: BTreeMap<&ShardId, &Placement> = round
            .current
            .iter()
            .filter(|row| of_service(&row.shard))
            .map(|row| (&row.shard, row))
            .collect();
        let demand: Vec<&Demand> = round
            .demand
            .values()
            .filter(|row| of_service(&row.shard))
            .copied()
            .collect();
        let input = HotKeyInput {
            placed: &placed,
            demand: &demand,
            mean: loads.mean,
            ranges: loads.ranges,
        };
        let mut steps = hot_key::split_steps(self, &input);
        steps.extend(hot_key::merge_steps(self, round.now, &input));
        let is_pending = |shard: &ShardId| round.pending.contains(shard);
        steps
            .retain(|step| !is_pending(step.shard()) && !is_pending(&loads.range_of(step.shard())));
        steps
    }

    /// Returns whether a service is to be balanced. Hysteresis keeps balancing from starting and
    /// stopping with every small change of load.
    fn is_active(&mut self, service: &ServiceId, loads: &ServiceLoads<'_>) -> bool {
        let ratio = loads.imbalance();
        if ratio >= self.config.start_threshold {
            self.active.insert(service.clone());
        } else if ratio < self.config.stop_threshold {
            self.active.remove(service);
        }
        self.active.contains(service)
    }

    /// Finds the move with the highest net gain from the most loaded server that has a move whose
    /// gain exceeds its cost.
    fn best_move(
        &self,
        round: &RoundInput<'_>,
        loads: &ServiceLoads<'_>,
        excluded: &BTreeSet<ShardId>,
    ) -> Option<Candidate> {
        let by_load = loads.by_load();
        let destinations: Vec<usize> = by_load
            .iter()
            .rev()
            .copied()
            .filter(|&at| loads.servers[at].row.state == NodeState::Live)
            .filter(|&at| round.homes.pair(&loads.servers[at].row.id).is_some())
            .take(MAX_DESTINATIONS)
            .collect();
        let is_movable = |row: &Placement| {
            !round.pending.contains(&row.shard)
                && !excluded.contains(&row.shard)
                && !self.in_cooldown(&row.shard, round.now)
        };
        by_load.iter().take(MAX_SOURCES).find_map(|&source| {
            let shards = loads.servers[source].shards.iter().enumerate();
            shards
                .filter(|(_, row)| is_movable(row))
                .flat_map(|(shard, _)| {
                    destinations
                        .iter()
                        .map(move |&destination| (shard, destination))
                })
                .filter(|&(_, destination)| destination != source)
                .map(|(shard, destination)| self.evaluate(round, loads, source, shard, destination))
                .filter(|candidate| candidate.worth.gain > candidate.worth.cost)
                .max_by_key(|candidate| {
                    let net = candidate.worth.gain - candidate.worth.cost;
                    (
                        net,
                        std::cmp::Reverse((candidate.shard, candidate.destination)),
                    )
                })
        })
    }

    /// Computes the costs and benefits of one possible move.
    fn evaluate(
        &self,
        round: &RoundInput<'_>,
        loads: &ServiceLoads<'_>,
        source: usize,
        shard: usize,
        destination: usize,
    ) -> Candidate {
        let from = &loads.servers[source];
        let to = &loads.servers[destination];
        let row = from.shards[shard];
        let load = round.load(&row.shard);
        let churn_cost = match row.shard.part {
            ShardPart::Range(_) => self.config.churn_cost.times(loads.mean_range),
            ShardPart::Hot(_) => 0,
        };
        let (saved, added) = self.traffic_change(round, row, from.row, to.row);
        let worth = CostBenefit {
            gain: balance_gain(load, from, to, loads.mean) + saved,
            cost: churn_cost + self.config.hold_cost.times(load) + added,
        };
        Candidate {
            source,
            shard,
            destination,
            worth,
        }
    }

    /// Returns the cross-region traffic that a move saves and adds, in requests.
    fn traffic_change(
        &self,
        round: &RoundInput<'_>,
        row: &Placement,
        from: &ServerRow,
        to: &ServerRow,
    ) -> (u64, u64) {
        if from.region == to.region {
            return (0, 0);
        }
        let Some(demand) = round.demand.get(&row.shard) else {
            return (0, 0);
        };
        let to_requests = |bytes: u64| self.config.byte_cost.times(bytes / BYTES_PER_KIB);
        let local_before = to_requests(demand.local_bytes(&from.region));
        let local_after = to_requests(demand.local_bytes(&to.region));
        (
            local_after.saturating_sub(local_before),
            local_before.saturating_sub(local_after),
        )
    }
}

const BYTES_PER_KIB: u64 = 1 << 10;

/// Returns by how much a move of `load` reduces the imbalance of two servers: half the decrease of
/// the sum of their squared loads, each divided by its weight, relative to the mean load. A move
/// that makes the destination the new peak gains nothing.
fn balance_gain(load: u64, from: &LoadedServer<'_>, to: &LoadedServer<'_>, mean: u64) -> u64 {
    let weight = |row: &LoadedServer<'_>| i128::from(row.row.weight.max(1));
    let load = i128::from(load);
    let source = 2 * i128::from(from.load) - load;
    let destination = 2 * i128::from(to.load) + load;
    let decrease = load * (source * weight(to) - destination * weight(from));
    let unit = 2 * weight(from) * weight(to) * i128::from(mean.max(1));
    u64::try_from((decrease / unit).max(0)).unwrap_or(u64::MAX)
}

impl RoundInput<'_> {
    /// Returns the load of a shard; 0 if none was reported.
    fn load(&self, shard: &ShardId) -> u64 {
        self.demand.get(shard).map_or(0, |demand| demand.load)
    }
}

impl<'a> ServiceLoads<'a> {
    /// Sums up the loads of the servers of a service. Lost servers are left out.
    fn new(round: &RoundInput<'a>, service: &ServiceId) -> Self {
        let rows = round.fleet.servers.iter();
        let mut servers: Vec<LoadedServer<'a>> = rows
            .filter(|row| row.service == *service && row.state != NodeState::Lost)
            .map(|row| LoadedServer {
                row,
                load: 0,
                shards: Vec::new(),
            })
            .collect();
        let index: BTreeMap<&ServerId, usize> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| (&server.row.id, at))
            .collect();
        let mut ranges = 0;
        for row in round
            .current
            .iter()
            .filter(|row| row.shard.service == *service)
        {
            ranges += u64::from(matches!(row.shard.part, ShardPart::Range(_)));
            if let Some(&at) = index.get(&row.owner) {
                servers[at].load += round.load(&row.shard);
                servers[at].shards.push(row);
            }
        }
        let live = || {
            servers
                .iter()
                .filter(|server| server.row.state == NodeState::Live)
        };
        let total: u64 = live().map(|server| server.load).sum();
        let weight: u64 = live()
            .map(|server| u64::from(server.row.weight.max(1)))
            .sum();
        Self {
            mean: total / weight.max(1),
            mean_range: total / ranges.max(1),
            ranges: u32::try_from(ranges).unwrap_or(u32::MAX),
            servers,
        }
    }

    /// Returns the range that the keys of a shard belong to: the shard itself, unless it is a hot
    /// key.
    fn range_of(&self, shard: &ShardId) -> ShardId {
        match shard.part {
            ShardPart::Range(_) => shard.clone(),
            ShardPart::Hot(key) => ShardId::range(shard.service.clone(), key.range_of(self.ranges)),
        }
    }

    /// Returns the imbalance over the live servers.
    fn imbalance(&self) -> crate::measure::Ratio {
        let live = self
            .servers
            .iter()
            .filter(|server| server.row.state == NodeState::Live);
        let loads: Vec<ServerLoad> = live
            .map(|server| ServerLoad::new(server.load, server.row.weight))
            .collect();
        imbalance(&loads)
    }

    /// Lists the servers by load relative to their weight, the highest first.
    fn by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.sort_by_key(|&at| {
            let server = &self.servers[at];
            let load = crate::measure::Ratio::of(server.load, u64::from(server.row.weight.max(1)));
            (std::cmp::Reverse(load), at)
        });
        order
    }

    /// Returns the move of a candidate and updates the loads accordingly.
    fn apply(
        &mut self,
        round: &RoundInput<'_>,
        standbys: &mut StandbySelector<'_>,
        chosen: Candidate,
    ) -> Move {
        let from = self.servers[chosen.source].shards.remove(chosen.shard);
        let load = round.load(&from.shard);
        self.servers[chosen.source].load -= load;
        self.servers[chosen.destination].load += load;
        self.servers[chosen.destination].shards.push(from);
        let owner = self.servers[chosen.destination].row;
        let pair = round.homes.pair(&owner.id);
        let to = Placement {
            shard: from.shard.clone(),
            owner: owner.id.clone(),
            standby: pair
                .and_then(|pair| standbys.keep_or_choose(owner, pair, from.standby.as_ref())),
            home: pair.map_or_else(|| from.home.clone(), |pair| pair.home.clone()),
            standby_home: pair.and_then(|pair| pair.standby_home.clone()),
        };
        Move {
            from: from.clone(),
            to,
            reason: Reason::Balance,
            urgent: false,
            worth: chosen.worth,
        }
    }
}

impl Step {
    /// Returns the shard that a step changes.
    #[must_use]
    pub fn shard(&self) -> &ShardId {
        match self {
            Self::Move(step) => &step.to.shard,
            Self::Split { to, .. } => &to.shard,
            Self::Merge { shard, .. } => shard,
        }
    }
}
