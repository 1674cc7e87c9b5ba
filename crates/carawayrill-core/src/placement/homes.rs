//! Assignment of one home and one standby home to each server.
//!
//! All shards of a server share its home, so that the home counts the used slots of the server
//! exactly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::replace::EndedIncarnations;
use super::rows::Fleet;
use super::rows::NodeState;
use super::rows::Placement;
use super::rows::RouterRow;
use super::rows::ServerRow;
use crate::data;
use crate::id::DataCentreId;
use crate::id::RouterId;
use crate::id::ServerId;

data! {
    /// The home and the standby home of one server.
    pub struct HomePair {
        /// The only router that sends requests to the server.
        pub home: RouterId,
        /// The router that takes over if the home fails.
        pub standby_home: Option<RouterId>,
    }
}

/// The homes of all servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    pairs: BTreeMap<ServerId, HomePair>,
    /// Number of servers that each router is the home of.
    home_counts: BTreeMap<RouterId, u32>,
    /// Number of servers that each router is the standby home of.
    standby_counts: BTreeMap<RouterId, u32>,
}

impl Homes {
    /// Keeps the live homes of the placements in force, and assigns a home to each server that has
    /// none or whose home is not live.
    #[must_use]
    pub fn assign(fleet: &Fleet, current: &[Placement]) -> Self {
        Self::assign_excluding(fleet, current, &EndedIncarnations::default())
    }

    /// Assigns homes as [`assign`](Self::assign) does, and ignores homes and standby homes whose
    /// incarnation has ended.
    #[must_use]
    pub fn assign_excluding(
        fleet: &Fleet,
        current: &[Placement],
        ended: &EndedIncarnations,
    ) -> Self {
        let fleet = fleet.sorted();
        let mut homes = Self::default();
        let mut without_home = Vec::new();
        let in_force = homes_in_force(&fleet, current, ended);
        for server in &fleet.servers {
            let kept = in_force
                .get(&server.id)
                .and_then(|pair| pair.usable_pair(&fleet));
            match kept {
                Some(pair) => homes.set(server.id.clone(), pair),
                None if server.state == NodeState::Lost => {}
                None => without_home.push(server),
            }
        }
        for server in without_home {
            let successor = in_force
                .get(&server.id)
                .and_then(|pair| pair.successor(&fleet));
            if let Some(pair) = homes.choose(&fleet, server, successor) {
                homes.set(server.id.clone(), pair);
            }
        }
        homes.assign_missing_standby_homes(&fleet);
        homes
    }

    /// Moves homes out of the data centres of their servers, as rule 1 of the ownership design
    /// requires, where a router in another data centre of the same region can take over. A home in
    /// another region would cost more than the separation gains.
    pub(crate) fn separated(&self, fleet: &Fleet) -> Self {
        let mut separated = self.clone();
        for (id, pair) in &self.pairs {
            let server = fleet.find_server(id);
            let home = fleet.find_router(&pair.home);
            let Some((server, home)) = server.zip(home) else {
                continue;
            };
            let can_separate = |router: &RouterRow| {
                router.region == server.region && router.data_centre != server.data_centre
            };
            if home.data_centre != server.data_centre || !live(fleet).any(can_separate) {
                continue;
            }
            let successor = pair.standby_home.as_ref().map(|router| Successor {
                router,
                is_urgent: false,
            });
            if let Some(pair) = separated.choose(fleet, server, successor) {
                separated.set(id.clone(), pair);
            }
        }
        separated
    }

    /// Returns the home and the standby home of a server.
    #[must_use]
    pub fn pair(&self, server: &ServerId) -> Option<&HomePair> {
        self.pairs.get(server)
    }

    /// Returns the number of servers that a router is the home of.
    #[must_use]
    pub fn count(&self, router: &RouterId) -> u32 {
        self.home_counts.get(router).copied().unwrap_or(0)
    }

    /// Stores the homes of a server and counts them.
    fn set(&mut self, server: ServerId, pair: HomePair) {
        *self.home_counts.entry(pair.home.clone()).or_default() += 1;
        if let Some(standby) = &pair.standby_home {
            *self.standby_counts.entry(standby.clone()).or_default() += 1;
        }
        self.pairs.insert(server, pair);
    }

    /// Chooses the homes of one server. The former standby home is preferred to equally ranked
    /// routers, since it has the mirrored claims of the server. If the home is lost, the standby
    /// home is preferred to all routers, since it may already serve.
    fn choose(
        &self,
        fleet: &Fleet,
        server: &ServerRow,
        successor: Option<Successor<'_>>,
    ) -> Option<HomePair> {
        let home = live(fleet).min_by_key(|router| {
            let is_successor = successor.is_some_and(|found| *found.router == router.id);
            let is_urgent = successor.is_some_and(|found| found.is_urgent);
            let same_data_centre = router.data_centre == server.data_centre;
            let other_region = router.region != server.region;
            let ranks_after_successor = is_urgent && !is_successor;
            let count = self.count(&router.id);
            (
                ranks_after_successor,
                same_data_centre,
                other_region,
                !is_successor,
                count,
                &router.id,
            )
        })?;
        Some(HomePair {
            home: home.id.clone(),
            standby_home: self.choose_standby(fleet, server, home),
        })
    }

    /// Chooses the standby home for a given home. The criteria, in this order: a data centre other
    /// than that of the home, the region of the server, a data centre other than that of the
    /// server, and the fewest servers.
    fn choose_standby(
        &self,
        fleet: &Fleet,
        server: &ServerRow,
        home: &RouterRow,
    ) -> Option<RouterId> {
        live(fleet)
            .filter(|router| router.id != home.id)
            .min_by_key(|router| {
                let same_data_centre = router.data_centre == home.data_centre;
                let other_region = router.region != server.region;
                let in_server_data_centre = router.data_centre == server.data_centre;
                let count = self.standby_counts.get(&router.id).copied().unwrap_or(0);
                (
                    same_data_centre,
                    other_region,
                    in_server_data_centre,
                    count,
                    &router.id,
                )
            })
            .map(|router| router.id.clone())
    }

    /// Assigns a standby home to each server that has none.
    fn assign_missing_standby_homes(&mut self, fleet: &Fleet) {
        let without_standby: Vec<ServerId> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.standby_home.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in without_standby {
            let Some(standby) = self.choose_missing_standby_home(fleet, &id) else {
                continue;
            };
            *self.standby_counts.entry(standby.clone()).or_default() += 1;
            if let Some(pair) = self.pairs.get_mut(&id) {
                pair.standby_home = Some(standby);
            }
        }
    }

    /// Chooses the standby home of one server that has none.
    fn choose_missing_standby_home(&self, fleet: &Fleet, id: &ServerId) -> Option<RouterId> {
        let server = fleet.find_server(id)?;
        let home = fleet.find_router(&self.pairs.get(id)?.home)?;
        self.choose_standby(fleet, server, home)
    }
}

/// Iterates over the live routers.
fn live(fleet: &Fleet) -> impl Iterator<Item = &RouterRow> {
    fleet
        .routers
        .iter()
        .filter(|router| router.state == NodeState::Live)
}

/// A standby home that may become the home.
#[derive(Debug, Clone, Copy)]
struct Successor<'a> {
    router: &'a RouterId,
    /// Whether the home is lost, as opposed to draining.
    is_urgent: bool,
}

/// The homes of one server in the placements in force.
#[derive(Debug, Default)]
struct CurrentHomes {
    /// The home, unless it is lost or its incarnation has ended.
    home: Option<RouterId>,
    /// The standby home, unless its incarnation has ended.
    standby_home: Option<RouterId>,
}

/// Collects the homes of servers from the placements in force. Shards of one server have different
/// homes if a change was recorded for only some of them. The most frequent home is then used.
///
/// Lost homes are ignored, so that a standby home whose takeover is recorded for only some shards
/// becomes the home of the remaining shards too.
fn homes_in_force(
    fleet: &Fleet,
    current: &[Placement],
    ended: &EndedIncarnations,
) -> BTreeMap<ServerId, CurrentHomes> {
    let is_lost = |id: &RouterId| {
        let row = fleet.find_router(id);
        row.is_none_or(|router| router.state == NodeState::Lost)
    };
    let mut homes = BTreeMap::new();
    let mut standbys = BTreeMap::new();
    for row in current {
        if !ended.homes.contains(&row.shard) && !is_lost(&row.home) {
            *homes.entry((&row.owner, &row.home)).or_default() += 1;
        }
        if let Some(standby) = &row.standby_home
            && !ended.standby_homes.contains(&row.shard)
        {
            *standbys.entry((&row.owner, standby)).or_default() += 1;
        }
    }
    let mut found: BTreeMap<ServerId, CurrentHomes> = BTreeMap::new();
    for (server, home) in most_frequent(homes) {
        found.entry(server).or_default().home = Some(home);
    }
    for (server, standby) in most_frequent(standbys) {
        found.entry(server).or_default().standby_home = Some(standby);
    }
    found
}

/// Returns the router with the highest count for each server. Ties go to the lowest router id.
fn most_frequent(counts: BTreeMap<(&ServerId, &RouterId), u32>) -> BTreeMap<ServerId, RouterId> {
    let mut ranked: Vec<_> = counts.into_iter().collect();
    ranked.sort_by_key(|&(key, count)| (count, Reverse(key)));
    let chosen = ranked.into_iter();
    chosen
        .map(|((server, router), _)| (server.clone(), router.clone()))
        .collect()
}

impl CurrentHomes {
    /// Returns the standby home, if it is live and can become the home.
    fn successor(&self, fleet: &Fleet) -> Option<Successor<'_>> {
        let router = self.standby_home.as_ref()?;
        let is_live = fleet.find_router(router)?.state == NodeState::Live;
        is_live.then_some(Successor {
            router,
            is_urgent: self.home.is_none(),
        })
    }

    /// Returns the homes that can stay: a live home, and a live standby home, unless the standby
    /// home shares the data centre of the home and another data centre has a live router.
    fn usable_pair(&self, fleet: &Fleet) -> Option<HomePair> {
        let find = |id: &RouterId| {
            fleet
                .find_router(id)
                .filter(|router| router.state == NodeState::Live)
        };
        let has_other_data_centre =
            |dc: &DataCentreId| live(fleet).any(|router| router.data_centre != *dc);
        let home = self.home.as_ref().and_then(find)?;
        let standby = self.standby_home.as_ref().and_then(find).filter(|standby| {
            let same_data_centre = standby.data_centre == home.data_centre;
            standby.id != home.id && !(same_data_centre && has_other_data_centre(&home.data_centre))
        });
        Some(HomePair {
            home: home.id.clone(),
            standby_home: standby.map(|router| router.id.clone()),
        })
    }
}
