//! The choice of standby servers.

use std::collections::BTreeMap;

use super::homes::HomePair;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::ServerRow;
use crate::id::DataCentreId;
use crate::id::ServerId;
use crate::id::ServiceId;

/// Chooses standby servers and counts them, so that the shards of one lost server spread over
/// many others.
#[derive(Debug)]
pub(crate) struct Standbys<'a> {
    fleet: &'a Fleet,
    by_service: BTreeMap<&'a ServiceId, Vec<&'a ServerRow>>,
    /// Shards of an owner that a server stands by for.
    pairs: BTreeMap<(ServerId, ServerId), u32>,
    /// Shards that a server stands by for.
    totals: BTreeMap<ServerId, u32>,
}

impl<'a> Standbys<'a> {
    /// Makes the table for a sorted fleet.
    pub(crate) fn new(fleet: &'a Fleet) -> Self {
        let mut by_service: BTreeMap<&ServiceId, Vec<&ServerRow>> = BTreeMap::new();
        for server in &fleet.servers {
            if server.state == NodeState::Live {
                by_service.entry(&server.service).or_default().push(server);
            }
        }
        Self {
            fleet,
            by_service,
            pairs: BTreeMap::new(),
            totals: BTreeMap::new(),
        }
    }

    /// Counts a standby server in force.
    pub(crate) fn count(&mut self, owner: &ServerId, standby: &ServerId) {
        let pair = (owner.clone(), standby.clone());
        *self.pairs.entry(pair).or_default() += 1;
        *self.totals.entry(standby.clone()).or_default() += 1;
    }

    /// Chooses the standby server for a shard of `owner` and counts it.
    ///
    /// The home's data centre goes first, for it breaks rule 1; then the owner's, then the
    /// region. Among equals, the server that stands by for the fewest shards of this owner, then
    /// for the fewest of all in relation to its weight.
    pub(crate) fn choose(&mut self, owner: &ServerRow, pair: &HomePair) -> Option<ServerId> {
        let home_dc = self.home_data_centre(pair);
        let chosen = self
            .by_service
            .get(&owner.service)?
            .iter()
            .filter(|server| server.id != owner.id)
            .min_by_key(|server| {
                let beside_home = Some(&server.data_centre) == home_dc;
                let beside_owner = server.data_centre == owner.data_centre;
                let outside = server.region != owner.region;
                let key = (owner.id.clone(), server.id.clone());
                let of_owner = self.pairs.get(&key).copied().unwrap_or(0);
                let total = self.totals.get(&server.id).copied().unwrap_or(0);
                let scaled = u64::from(total) * WEIGHT_SCALE / u64::from(server.weight.max(1));
                (
                    beside_home,
                    beside_owner,
                    outside,
                    of_owner,
                    scaled,
                    &server.id,
                )
            })?
            .id
            .clone();
        self.count(&owner.id, &chosen);
        Some(chosen)
    }

    /// Tells whether a standby server in force may stay: it is live, and no other would mend rule 1.
    pub(crate) fn may_stay(&self, owner: &ServerRow, pair: &HomePair, old: &ServerId) -> bool {
        let Some(old) = self.fleet.find_server(old) else {
            return false;
        };
        if old.state != NodeState::Live || old.id == owner.id || old.service != owner.service {
            return false;
        }
        let home_dc = self.home_data_centre(pair);
        if Some(&old.data_centre) != home_dc {
            return true;
        }
        let others = self.by_service.get(&owner.service);
        !others.is_some_and(|servers| {
            servers
                .iter()
                .any(|other| other.id != owner.id && Some(&other.data_centre) != home_dc)
        })
    }

    /// Returns the data centre of a server's home.
    fn home_data_centre(&self, pair: &HomePair) -> Option<&'a DataCentreId> {
        self.fleet
            .find_router(&pair.home)
            .map(|router| &router.data_centre)
    }
}

/// Keeps fractions of a shard when counts are divided by weights.
pub(crate) const WEIGHT_SCALE: u64 = 1 << 16;
