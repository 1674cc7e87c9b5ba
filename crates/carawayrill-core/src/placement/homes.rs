//! One home and one standby home a server.
//!
//! All shards of a server share its home, so that the home counts the server's slots exactly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::Placed;
use super::rows::RouterRow;
use super::rows::ServerRow;
use crate::data;
use crate::id::RouterId;
use crate::id::ServerId;

data! {
    /// The two routers that stand for one server.
    pub struct HomePair {
        /// The one router that sends to the server.
        pub home: RouterId,
        /// The router that may take over.
        pub standby_home: Option<RouterId>,
    }
}

/// The homes of all servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    pairs: BTreeMap<ServerId, HomePair>,
    /// Servers a router is the home of.
    served: BTreeMap<RouterId, u32>,
    /// Servers a router is the standby home of.
    backed: BTreeMap<RouterId, u32>,
}

impl Homes {
    /// Takes the homes out of placements in force, and gives one to each server that has none or
    /// whose home may take no work. A home that may stay, stays.
    #[must_use]
    pub fn assign(fleet: &Fleet, current: &[Placed]) -> Self {
        let fleet = fleet.sorted();
        let mut homes = Self::default();
        let mut open = Vec::new();
        let found = pairs_of(current);
        for server in &fleet.servers {
            match found.get(&server.id).and_then(|pair| keep(&fleet, pair)) {
                Some(pair) => homes.set(server.id.clone(), pair),
                None if server.state == NodeState::Lost => {}
                None => open.push(server),
            }
        }
        for server in open {
            let old = found.get(&server.id);
            if let Some(pair) = homes.choose(&fleet, server, old) {
                homes.set(server.id.clone(), pair);
            }
        }
        homes.complete(&fleet);
        homes
    }

    /// Returns the homes of a server.
    #[must_use]
    pub fn pair(&self, server: &ServerId) -> Option<&HomePair> {
        self.pairs.get(server)
    }

    /// Returns how many servers a router is the home of.
    #[must_use]
    pub fn count(&self, router: &RouterId) -> u32 {
        self.served.get(router).copied().unwrap_or(0)
    }

    /// Notes the homes of a server and counts them.
    fn set(&mut self, server: ServerId, pair: HomePair) {
        *self.served.entry(pair.home.clone()).or_default() += 1;
        if let Some(standby) = &pair.standby_home {
            *self.backed.entry(standby.clone()).or_default() += 1;
        }
        self.pairs.insert(server, pair);
    }

    /// Chooses the homes of one server. The former standby home goes first where rule 1 allows
    /// it: it holds the server's mirrored claims and may serve already.
    fn choose(
        &self,
        fleet: &Fleet,
        server: &ServerRow,
        old: Option<&HomePair>,
    ) -> Option<HomePair> {
        let former = old.and_then(|pair| pair.standby_home.as_ref());
        let home = live(fleet).min_by_key(|router| {
            let shares = router.data_centre == server.data_centre;
            let outside = router.region != server.region;
            let other = former != Some(&router.id);
            (shares, outside, other, self.count(&router.id), &router.id)
        })?;
        Some(HomePair {
            home: home.id.clone(),
            standby_home: self.choose_standby(fleet, server, home),
        })
    }

    /// Chooses the standby home beside a given home: in another data centre than that; in the
    /// server's region; best also in another data centre than the server.
    fn choose_standby(
        &self,
        fleet: &Fleet,
        server: &ServerRow,
        home: &RouterRow,
    ) -> Option<RouterId> {
        live(fleet)
            .filter(|router| router.id != home.id)
            .min_by_key(|router| {
                let shares = router.data_centre == home.data_centre;
                let outside = router.region != server.region;
                let beside = router.data_centre == server.data_centre;
                let count = self.backed.get(&router.id).copied().unwrap_or(0);
                (shares, outside, beside, count, &router.id)
            })
            .map(|router| router.id.clone())
    }

    /// Gives a standby home to each server whose former one may take no work.
    fn complete(&mut self, fleet: &Fleet) {
        let open: Vec<ServerId> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.standby_home.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            let Some(standby) = self.missing_standby(fleet, &id) else {
                continue;
            };
            *self.backed.entry(standby.clone()).or_default() += 1;
            if let Some(pair) = self.pairs.get_mut(&id) {
                pair.standby_home = Some(standby);
            }
        }
    }

    /// Chooses the standby home that one server lacks.
    fn missing_standby(&self, fleet: &Fleet, id: &ServerId) -> Option<RouterId> {
        let server = fleet.find_server(id)?;
        let home = fleet.find_router(&self.pairs.get(id)?.home)?;
        self.choose_standby(fleet, server, home)
    }
}

/// Lists the routers that may take work.
fn live(fleet: &Fleet) -> impl Iterator<Item = &RouterRow> {
    fleet
        .routers
        .iter()
        .filter(|router| router.state == NodeState::Live)
}

/// Collects the homes of servers out of placements in force. Where shards of one server disagree
/// (after a change was recorded for a part of them), the home of most shards counts.
fn pairs_of(current: &[Placed]) -> BTreeMap<ServerId, HomePair> {
    let mut votes: BTreeMap<(&ServerId, &RouterId, Option<&RouterId>), u32> = BTreeMap::new();
    for row in current {
        let key = (&row.owner, &row.home, row.standby_home.as_ref());
        *votes.entry(key).or_default() += 1;
    }
    let mut ranked: Vec<_> = votes.into_iter().collect();
    ranked.sort_by_key(|&(key, count)| (key.0, Reverse(count), key));
    let mut pairs = BTreeMap::new();
    for ((server, home, standby), _) in ranked {
        pairs.entry(server.clone()).or_insert_with(|| HomePair {
            home: home.clone(),
            standby_home: standby.cloned(),
        });
    }
    pairs
}

/// Keeps the homes of a server as far as they may take work.
fn keep(fleet: &Fleet, pair: &HomePair) -> Option<HomePair> {
    let is_live = |id: &RouterId| {
        fleet
            .find_router(id)
            .is_some_and(|router| router.state == NodeState::Live)
    };
    is_live(&pair.home).then(|| HomePair {
        home: pair.home.clone(),
        standby_home: pair.standby_home.clone().filter(is_live),
    })
}
