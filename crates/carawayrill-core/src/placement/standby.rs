//! Selection of standby servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::homes::HomePair;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::ServerRow;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::id::ServerId;
use crate::id::ServiceId;

/// Fixed-point scale of shard counts, so that division by a weight keeps fractions.
pub(crate) const WEIGHT_SCALE: u64 = 1 << 16;

/// The live servers of one service in one data centre, ranked by the shards that they are the
/// standby of.
#[derive(Debug)]
struct Pool<'a> {
    region: &'a RegionId,
    ranked: BTreeSet<(u64, &'a ServerId)>,
}

/// Chooses standby servers and counts the shards that each is the standby of, so that the shards
/// of a lost server are spread over many servers.
#[derive(Debug)]
pub(crate) struct StandbySelector<'a> {
    fleet: &'a Fleet,
    pools: BTreeMap<&'a ServiceId, BTreeMap<&'a DataCentreId, Pool<'a>>>,
    /// Shards that each server is the standby of, divided by its weight, in units of
    /// 1 / [`WEIGHT_SCALE`].
    standby_loads: BTreeMap<&'a ServerId, u64>,
}

impl<'a> StandbySelector<'a> {
    /// Creates a selector in which no shard is counted yet. `fleet` has to be sorted.
    pub(crate) fn new(fleet: &'a Fleet) -> Self {
        let mut pools: BTreeMap<_, BTreeMap<_, Pool<'a>>> = BTreeMap::new();
        let live = |row: &&ServerRow| row.state == NodeState::Live;
        for server in fleet.servers.iter().filter(live) {
            let of_service = pools.entry(&server.service).or_default();
            let pool = of_service
                .entry(&server.data_centre)
                .or_insert_with(|| Pool {
                    region: &server.region,
                    ranked: BTreeSet::new(),
                });
            pool.ranked.insert((0, &server.id));
        }
        Self {
            fleet,
            pools,
            standby_loads: BTreeMap::new(),
        }
    }

    /// Counts one shard for its standby server.
    pub(crate) fn count(&mut self, standby: &ServerId) {
        let Some(server) = self.fleet.find_server(standby) else {
            return;
        };
        let total = self.standby_loads.entry(&server.id).or_default();
        let previous = *total;
        *total += WEIGHT_SCALE / u64::from(server.weight.max(1));
        let of_service = self.pools.get_mut(&server.service);
        let pool = of_service.and_then(|pools| pools.get_mut(&server.data_centre));
        if let Some(pool) = pool
            && pool.ranked.remove(&(previous, &server.id))
        {
            pool.ranked.insert((*total, &server.id));
        }
    }

    /// Chooses the standby server for a shard of `owner` and counts it.
    ///
    /// The criteria, in this order: a data centre other than that of the home, as rule 1 of the
    /// ownership design requires, a data centre other than that of the owner, the region of the
    /// owner, and the fewest shards that the server is the standby of, relative to its weight.
    pub(crate) fn choose(&mut self, owner: &ServerRow, pair: &HomePair) -> Option<ServerId> {
        let home_dc = self.home_data_centre(pair);
        let pools = self.pools.get(&owner.service)?.iter();
        let best = pools
            .filter_map(|(dc, pool)| {
                let mut ranked = pool.ranked.iter();
                let (total, id) = ranked.find(|(_, id)| **id != owner.id)?;
                let in_home_data_centre = Some(*dc) == home_dc;
                let in_owner_data_centre = **dc == owner.data_centre;
                let other_region = *pool.region != owner.region;
                Some((
                    in_home_data_centre,
                    in_owner_data_centre,
                    other_region,
                    *total,
                    *id,
                ))
            })
            .min()?;
        let chosen = best.4.clone();
        self.count(&chosen);
        Some(chosen)
    }

    /// Returns whether the current standby server can stay: it is live, and it either satisfies
    /// rule 1 of the ownership design or no other server does.
    pub(crate) fn can_keep(&self, owner: &ServerRow, pair: &HomePair, current: &ServerId) -> bool {
        let Some(current) = self.fleet.find_server(current) else {
            return false;
        };
        if current.state != NodeState::Live
            || current.id == owner.id
            || current.service != owner.service
        {
            return false;
        }
        let home_dc = self.home_data_centre(pair);
        if Some(&current.data_centre) != home_dc {
            return true;
        }
        let is_better = |(dc, pool): (&&DataCentreId, &Pool<'_>)| {
            let mut ids = pool.ranked.iter().map(|(_, id)| *id);
            Some(*dc) != home_dc && ids.any(|id| *id != owner.id)
        };
        let pools = self.pools.get(&owner.service);
        !pools.is_some_and(|pools| pools.iter().any(is_better))
    }

    /// Returns the current standby server of a shard if it can stay, else chooses one.
    pub(crate) fn keep_or_choose(
        &mut self,
        owner: &ServerRow,
        pair: &HomePair,
        current: Option<&ServerId>,
    ) -> Option<ServerId> {
        match current {
            Some(current) if self.can_keep(owner, pair, current) => Some(current.clone()),
            _ => self.choose(owner, pair),
        }
    }

    /// Returns the data centre of the home.
    fn home_data_centre(&self, pair: &HomePair) -> Option<&'a DataCentreId> {
        self.fleet
            .find_router(&pair.home)
            .map(|router| &router.data_centre)
    }
}
