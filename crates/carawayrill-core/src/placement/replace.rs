//! Replacement of lost and draining servers and routers, with the fewest possible moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::config::BalanceConfig;
use super::demand::Demand;
use super::homes::Homes;
use super::initial::OwnerSelector;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::Placement;
use super::rows::ServerRow;
use super::standby::StandbySelector;
use super::step::CostBenefit;
use super::step::Move;
use crate::assignment::Reason;
use crate::id::ServerId;
use crate::id::ShardId;

/// Shards whose home or standby home has restarted since it was assigned, so that the assigned
/// incarnation no longer exists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndedIncarnations {
    /// Shards whose home has restarted.
    pub homes: BTreeSet<ShardId>,
    /// Shards whose standby home has restarted.
    pub standby_homes: BTreeSet<ShardId>,
}

/// Lists the moves that replace lost and draining servers and routers in the placements of
/// `current`. Shards that use none of them stay as they are.
///
/// Wherever possible, the standby server of a shard becomes its owner, and the standby home of a
/// server becomes its home: both are assigned beforehand and may already serve. The list begins
/// with urgent moves; [`limit_moves`] limits the others. After a takeover, the home may be in the
/// data centre of its server. It stays there until the shard needs no other change, and a planned
/// move then replaces it.
#[must_use]
pub fn plan_replacements(
    fleet: &Fleet,
    current: &[Placement],
    ended: &EndedIncarnations,
) -> Vec<Move> {
    let fleet = &fleet.sorted();
    let homes = Homes::assign_excluding(fleet, current, ended);
    let separated = homes.separated(fleet);
    let mut owners = OwnerSelector::new(fleet, &homes, current);
    let mut standbys = StandbySelector::new(fleet);
    count_kept_standbys(fleet, current, &mut standbys);
    let mut moves: Vec<Move> = current
        .iter()
        .filter_map(|row| {
            let replacement =
                plan_replacement(fleet, &homes, &mut owners, &mut standbys, ended, row);
            replacement.or_else(|| {
                plan_replacement(fleet, &separated, &mut owners, &mut standbys, ended, row)
            })
        })
        .collect();
    moves.sort_by_key(|step| !step.urgent);
    moves
}

/// Limits a list of moves: at most `max_moves` moves that are not urgent and change the owner or
/// the home are kept. All shards of a server that change their home together count as one move,
/// so that a server has two homes only as long as necessary. Moves that only change a standby
/// server or a standby home are always kept.
#[must_use]
pub fn limit_moves(moves: Vec<Move>, max_moves: usize) -> Vec<Move> {
    let mut rehomed: BTreeSet<ServerId> = BTreeSet::new();
    let mut counted_moves = 0;
    let mut is_kept = |step: &Move| {
        if step.urgent || !(step.changes_owner() || step.changes_home()) {
            return true;
        }
        if !step.changes_owner() && rehomed.contains(&step.to.owner) {
            return true;
        }
        if counted_moves == max_moves {
            return false;
        }
        counted_moves += 1;
        if !step.changes_owner() {
            rehomed.insert(step.to.owner.clone());
        }
        true
    };
    moves.into_iter().filter(|step| is_kept(step)).collect()
}

/// Sets the costs and benefits of moves made by [`plan_replacements`]. The gain is the load that
/// would be unserved or would delay a drain. The cost is that of the keys that change owner and of
/// the requests held during the move.
pub fn set_cost_benefit(moves: &mut [Move], config: &BalanceConfig, demand: &[Demand]) {
    let loads: BTreeMap<&ShardId, u64> = demand.iter().map(|row| (&row.shard, row.load)).collect();
    let total: u64 = loads.values().sum();
    let mean = total / u64::try_from(loads.len().max(1)).unwrap_or(1);
    for step in moves {
        let load = loads.get(&step.from.shard).copied().unwrap_or(0);
        let churn_cost = if step.changes_owner() {
            config.churn_cost.times(mean)
        } else {
            0
        };
        step.worth = CostBenefit {
            gain: load,
            cost: churn_cost + config.hold_cost.times(load),
        };
    }
}

/// Counts the shards of the standby servers that are live, as these servers are kept.
fn count_kept_standbys(fleet: &Fleet, current: &[Placement], standbys: &mut StandbySelector<'_>) {
    for row in current {
        if let Some(standby) = row.standby.as_ref().filter(|id| is_live(fleet, id)) {
            standbys.count(standby);
        }
    }
}

fn is_live(fleet: &Fleet, id: &ServerId) -> bool {
    server_state(fleet, id) == NodeState::Live
}

/// Returns the state of a server. A server that is no longer declared counts as draining.
fn server_state(fleet: &Fleet, id: &ServerId) -> NodeState {
    fleet
        .find_server(id)
        .map_or(NodeState::Draining, |row| row.state)
}

/// Returns the move of one shard, if it needs one.
fn plan_replacement(
    fleet: &Fleet,
    homes: &Homes,
    owners: &mut OwnerSelector<'_>,
    standbys: &mut StandbySelector<'_>,
    ended: &EndedIncarnations,
    row: &Placement,
) -> Option<Move> {
    let owner = next_owner(fleet, homes, owners, row)?;
    let pair = homes.pair(&owner.id)?;
    let standby = standbys.keep_or_choose(owner, pair, row.standby.as_ref());
    let to = Placement {
        shard: row.shard.clone(),
        owner: owner.id.clone(),
        standby,
        home: pair.home.clone(),
        standby_home: pair.standby_home.clone(),
    };
    let incarnation_ended =
        ended.homes.contains(&row.shard) || ended.standby_homes.contains(&row.shard);
    if to == *row && !incarnation_ended {
        return None;
    }
    let (reason, urgent) = move_reason(fleet, ended, row);
    Some(Move {
        from: row.clone(),
        to,
        reason,
        urgent,
        worth: CostBenefit::default(),
    })
}

/// Returns the next owner of a shard: the current one if it is live, else its standby server, else
/// the least loaded server.
fn next_owner<'a>(
    fleet: &'a Fleet,
    homes: &Homes,
    owners: &mut OwnerSelector<'_>,
    row: &Placement,
) -> Option<&'a ServerRow> {
    if is_live(fleet, &row.owner) {
        return fleet.find_server(&row.owner);
    }
    let standby = row
        .standby
        .as_ref()
        .filter(|id| is_live(fleet, id) && homes.pair(id).is_some());
    let next = match standby {
        Some(standby) => standby.clone(),
        None => owners.choose(&row.shard.service)?,
    };
    fleet.find_server(&next)
}

/// Returns the reason of a move, and whether the move is urgent.
fn move_reason(fleet: &Fleet, ended: &EndedIncarnations, row: &Placement) -> (Reason, bool) {
    let router_state = |id| {
        fleet
            .find_router(id)
            .map_or(NodeState::Lost, |row| row.state)
    };
    let owner = server_state(fleet, &row.owner);
    let home = router_state(&row.home);
    let standby_home = row
        .standby_home
        .as_ref()
        .map_or(NodeState::Lost, router_state);
    if owner == NodeState::Lost {
        return (Reason::ServerLost, true);
    }
    if home == NodeState::Lost || ended.homes.contains(&row.shard) {
        return (Reason::HomeLost, true);
    }
    let standby_home_lost =
        standby_home == NodeState::Lost || ended.standby_homes.contains(&row.shard);
    let is_draining = [owner, home].contains(&NodeState::Draining);
    match (is_draining, standby_home_lost) {
        (true, _) => (Reason::Drain, false),
        (false, true) => (Reason::HomeLost, true),
        (false, false) => (Reason::Balance, false),
    }
}
