//! The first placement of shards that have no owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::homes::Homes;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::Placement;
use super::rows::ServerRow;
use super::rows::ShardShortfall;
use super::rows::list_shortfalls;
use super::standby::StandbySelector;
use super::standby::WEIGHT_SCALE;
use crate::data;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;

data! {
    /// What placement decided.
    #[derive(Default)]
    pub struct Plan {
        /// New placements, in the order of the shards asked for.
        pub placed: Vec<Placement>,
        /// What falls short of rule 1 or of a preference beside it.
        pub degraded: Vec<ShardShortfall>,
        /// Shards that can't be placed: their service has no live server, or there is no live
        /// router.
        pub open: Vec<ShardId>,
    }
}

/// Places the `shards` that have no placement in `current`.
///
/// Shards are spread over the servers of their service in relation to the servers' weights, and
/// homes over the routers. What is in force stays as it is and counts.
///
/// Each server gets shards that follow each other in `shards`, and so do the servers of one data
/// centre. The shards of one stored block thus have their homes in few data centres, each of
/// which has to check the versions of few blocks.
#[must_use]
pub fn plan_initial(fleet: &Fleet, shards: &[ShardId], current: &[Placement]) -> Plan {
    let fleet = &fleet.sorted();
    let homes = Homes::assign(fleet, current);
    let mut standbys = StandbySelector::new(fleet);
    for row in current {
        if let Some(standby) = &row.standby {
            standbys.count(standby);
        }
    }
    let mut owners = OwnerSelector::new(fleet, &homes, current);
    let already_placed: BTreeSet<&ShardId> = current.iter().map(|row| &row.shard).collect();
    let open: Vec<&ShardId> = shards
        .iter()
        .filter(|shard| !already_placed.contains(shard))
        .collect();
    let mut owners_by_service = choose_owners(fleet, &mut owners, &open);
    let mut plan = Plan::default();
    for shard in open {
        let queue = owners_by_service.get_mut(&shard.service);
        let owner = queue.and_then(VecDeque::pop_front);
        match owner.and_then(|owner| place_shard(&homes, &mut standbys, owner, shard)) {
            Some(placed) => plan.push(fleet, placed),
            None => plan.open.push(shard.clone()),
        }
    }
    plan
}

/// Lists the owners of each service's open shards: as many shards a server as its load allows, and
/// the servers by region, data centre and name.
fn choose_owners<'a>(
    fleet: &'a Fleet,
    owners: &mut OwnerSelector<'_>,
    open: &[&'a ShardId],
) -> BTreeMap<&'a ServiceId, VecDeque<&'a ServerRow>> {
    let mut owners_by_service: BTreeMap<&ServiceId, Vec<&ServerRow>> = BTreeMap::new();
    for shard in open {
        let owner = owners.choose(&shard.service);
        let row = owner.and_then(|owner| fleet.find_server(&owner));
        owners_by_service
            .entry(&shard.service)
            .or_default()
            .extend(row);
    }
    let sorted = owners_by_service.into_iter().map(|(service, mut rows)| {
        rows.sort_by_key(|row| (&row.region, &row.data_centre, &row.id));
        (service, rows.into())
    });
    sorted.collect()
}

/// Places one shard on a server.
fn place_shard(
    homes: &Homes,
    standbys: &mut StandbySelector<'_>,
    owner: &ServerRow,
    shard: &ShardId,
) -> Option<Placement> {
    let pair = homes.pair(&owner.id)?;
    Some(Placement {
        shard: shard.clone(),
        owner: owner.id.clone(),
        standby: standbys.choose(owner, pair),
        home: pair.home.clone(),
        standby_home: pair.standby_home.clone(),
    })
}

impl Plan {
    /// Adds a placement and what falls short in it. `fleet` has to be sorted.
    pub(crate) fn push(&mut self, fleet: &Fleet, placed: Placement) {
        let shortfalls = list_shortfalls(
            &placed,
            fleet.find_server(&placed.owner),
            placed.standby.as_ref().and_then(|id| fleet.find_server(id)),
            fleet.find_router(&placed.home),
            placed
                .standby_home
                .as_ref()
                .and_then(|id| fleet.find_router(id)),
        );
        for shortfall in shortfalls {
            let shard = placed.shard.clone();
            self.degraded.push(ShardShortfall { shard, shortfall });
        }
        self.placed.push(placed);
    }
}

/// The live servers of each service, the least loaded first.
#[derive(Debug)]
pub(crate) struct OwnerSelector<'a> {
    by_service: BTreeMap<&'a ServiceId, BTreeSet<(u64, &'a ServerId)>>,
    weights: BTreeMap<&'a ServerId, u32>,
}

impl<'a> OwnerSelector<'a> {
    /// Ranks the servers that have a home by the shards they own now.
    pub(crate) fn new(fleet: &'a Fleet, homes: &Homes, current: &[Placement]) -> Self {
        let mut counts: BTreeMap<&ServerId, u32> = BTreeMap::new();
        for row in current {
            *counts.entry(&row.owner).or_default() += 1;
        }
        let mut owners = Self {
            by_service: BTreeMap::new(),
            weights: BTreeMap::new(),
        };
        let usable = |server: &&ServerRow| {
            server.state == NodeState::Live && homes.pair(&server.id).is_some()
        };
        for server in fleet.servers.iter().filter(usable) {
            let weight = server.weight.max(1);
            let count = counts.get(&server.id).copied().unwrap_or(0);
            let load = u64::from(count) * WEIGHT_SCALE / u64::from(weight);
            let ranked = owners.by_service.entry(&server.service).or_default();
            ranked.insert((load, &server.id));
            owners.weights.insert(&server.id, weight);
        }
        owners
    }

    /// Takes the least loaded server of a service and counts one more shard for it.
    pub(crate) fn choose(&mut self, service: &ServiceId) -> Option<ServerId> {
        let ranked = self.by_service.get_mut(service)?;
        let (load, server) = ranked.pop_first()?;
        let weight = self.weights.get(server).copied().unwrap_or(1);
        ranked.insert((load + WEIGHT_SCALE / u64::from(weight), server));
        Some(server.clone())
    }
}
