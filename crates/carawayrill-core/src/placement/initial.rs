//! Initial placement of shards that have no owner.

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
    /// The result of initial placement.
    #[derive(Default)]
    pub struct Plan {
        /// New placements, in the order of the requested shards.
        pub placed: Vec<Placement>,
        /// Placement constraints that the new placements don't satisfy.
        pub degraded: Vec<ShardShortfall>,
        /// Shards that can't be placed: their service has no live server, or there is no live
        /// router.
        pub open: Vec<ShardId>,
    }
}

/// Places the `shards` that have no placement in `current`.
///
/// Shards are spread over the servers of their service in proportion to the weights of the
/// servers, and homes over the routers. Placements in `current` stay as they are and count as
/// load.
///
/// Each server, and each data centre, gets shards that are adjacent in `shards`. The shards of one
/// stored block therefore have their homes in few data centres, and each data centre has to check
/// the versions of few blocks.
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

/// Chooses one owner for each of the `open` shards, the least loaded servers first, and sorts the
/// owners of each service by region, data centre and name.
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

/// Places one shard on a server. Returns `None` if the server has no home.
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
    /// Adds a placement and its shortfalls. `fleet` has to be sorted.
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
    /// Ranks the live servers that have a home by the shards that they own in `current`.
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

    /// Returns the least loaded server of a service and counts one more shard for it.
    pub(crate) fn choose(&mut self, service: &ServiceId) -> Option<ServerId> {
        let ranked = self.by_service.get_mut(service)?;
        let (load, server) = ranked.pop_first()?;
        let weight = self.weights.get(server).copied().unwrap_or(1);
        ranked.insert((load + WEIGHT_SCALE / u64::from(weight), server));
        Some(server.clone())
    }
}
