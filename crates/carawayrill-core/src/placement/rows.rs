//! Input and output types of placement.

use std::fmt;

use compact_str::CompactString;

use crate::assignment::Assignment;
use crate::data;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;

data! {
    /// Whether new shards may be placed on a server or a router.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum NodeState {
        /// Accepts new shards.
        Live,
        /// Planned removal: keeps its shards until they are moved, and gets no new ones.
        Draining,
        /// Considered to have failed.
        Lost,
    }

    /// One server.
    pub struct ServerRow {
        /// The name of the server.
        pub id: ServerId,
        /// The service whose shards it may own.
        pub service: ServiceId,
        /// The data centre of the server.
        pub data_centre: DataCentreId,
        /// The region of its data centre.
        pub region: RegionId,
        /// Its share of the load relative to the other servers of the service; at least 1.
        pub weight: u32,
        /// Whether new shards may be placed on it.
        pub state: NodeState,
    }

    /// One router.
    pub struct RouterRow {
        /// The name of the router.
        pub id: RouterId,
        /// The data centre of the router.
        pub data_centre: DataCentreId,
        /// The region of its data centre.
        pub region: RegionId,
        /// Whether new shards may be placed on it.
        pub state: NodeState,
    }

    /// All servers and routers that placement may use.
    #[derive(Default)]
    pub struct Fleet {
        /// Servers, in any order.
        pub servers: Vec<ServerRow>,
        /// Routers, in any order.
        pub routers: Vec<RouterRow>,
    }

    /// The servers and routers that one shard is placed on.
    pub struct Placement {
        /// The shard.
        pub shard: ShardId,
        /// The server that owns the shard.
        pub owner: ServerId,
        /// The server that takes over if the owner fails.
        pub standby: Option<ServerId>,
        /// The router that is the home of the owner.
        pub home: RouterId,
        /// The router that takes over if the home fails.
        pub standby_home: Option<RouterId>,
    }

    /// A placement constraint that the available servers and routers can't satisfy.
    ///
    /// The constraints are rule 1 of the ownership design, that the home shares no data centre with
    /// the owner, the standby server or the standby home, and preferences next to that rule.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Shortfall {
        /// No other server is available as the standby server.
        NoStandbyServer,
        /// Owner and standby server share a data centre: recovery from its loss needs the store.
        StandbySharesDataCentre,
        /// The home shares a data centre with the owner: after its loss, neither of them can
        /// send an acknowledgement.
        HomeSharesDataCentreWithOwner,
        /// The home shares a data centre with the standby server.
        HomeSharesDataCentreWithStandby,
        /// The home is outside the region of the owner: requests cross a slow link twice.
        HomeOutsideRegion,
        /// No other router is available as the standby home.
        NoStandbyHome,
        /// Home and standby home share a data centre.
        HomesShareDataCentre,
    }

    /// A placement constraint that the placement of one shard doesn't satisfy.
    #[derive(PartialOrd, Ord)]
    pub struct ShardShortfall {
        /// The shard.
        pub shard: ShardId,
        /// The unsatisfied constraint.
        pub shortfall: Shortfall,
    }
}

impl Shortfall {
    /// Returns whether this breaks rule 1 of the ownership design, and not only a preference.
    #[must_use]
    pub const fn breaks_separation_rule(self) -> bool {
        matches!(
            self,
            Self::HomeSharesDataCentreWithOwner
                | Self::HomeSharesDataCentreWithStandby
                | Self::HomesShareDataCentre
        )
    }
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoStandbyServer => "no other server is available as standby",
            Self::StandbySharesDataCentre => "owner and standby share a data centre",
            Self::HomeSharesDataCentreWithOwner => "home and owner share a data centre",
            Self::HomeSharesDataCentreWithStandby => "home and standby server share a data centre",
            Self::HomeOutsideRegion => "the home is outside the owner's region",
            Self::NoStandbyHome => "no other router is available as standby home",
            Self::HomesShareDataCentre => "home and standby home share a data centre",
        })
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |text: Option<&str>| CompactString::from(text.unwrap_or("-"));
        write!(
            f,
            "{} owner {} standby {} home {} standby-home {}",
            self.shard,
            self.owner,
            name(self.standby.as_ref().map(ServerId::as_str)),
            self.home,
            name(self.standby_home.as_ref().map(RouterId::as_str)),
        )
    }
}

impl From<&Assignment> for Placement {
    fn from(row: &Assignment) -> Self {
        Self {
            shard: row.shard.clone(),
            owner: row.owner.clone(),
            standby: row.standby.clone(),
            home: row.home.clone(),
            standby_home: row.standby_home.clone(),
        }
    }
}

impl Fleet {
    /// Returns the row of a server.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&ServerRow> {
        self.servers.iter().find(|row| row.id == *id)
    }

    /// Returns the row of a router.
    #[must_use]
    pub fn router(&self, id: &RouterId) -> Option<&RouterRow> {
        self.routers.iter().find(|row| row.id == *id)
    }

    /// Returns a copy with both tables sorted by id, as the binary searches of this module need.
    #[must_use]
    pub(crate) fn sorted(&self) -> Self {
        let mut sorted = self.clone();
        sorted.servers.sort_by(|a, b| a.id.cmp(&b.id));
        sorted.routers.sort_by(|a, b| a.id.cmp(&b.id));
        sorted
    }

    /// Finds a server by binary search. The fleet has to be [`sorted`](Self::sorted).
    pub(crate) fn find_server(&self, id: &ServerId) -> Option<&ServerRow> {
        let at = self.servers.binary_search_by(|row| row.id.cmp(id)).ok()?;
        self.servers.get(at)
    }

    /// Finds a router by binary search. The fleet has to be [`sorted`](Self::sorted).
    pub(crate) fn find_router(&self, id: &RouterId) -> Option<&RouterRow> {
        let at = self.routers.binary_search_by(|row| row.id.cmp(id)).ok()?;
        self.routers.get(at)
    }
}

/// Lists the placement constraints that one placement doesn't satisfy.
///
/// The data centre and region of a server or router that is not in `fleet` are unknown;
/// constraints that need them are not reported.
#[must_use]
pub fn shortfalls(fleet: &Fleet, placed: &Placement) -> Vec<Shortfall> {
    let owner = fleet.server(&placed.owner);
    let standby = placed.standby.as_ref().and_then(|id| fleet.server(id));
    let home = fleet.router(&placed.home);
    let standby_home = placed.standby_home.as_ref().and_then(|id| fleet.router(id));
    list_shortfalls(placed, owner, standby, home, standby_home)
}

/// Lists shortfalls as [`shortfalls`] does, for rows that were looked up before.
pub(crate) fn list_shortfalls(
    placed: &Placement,
    owner: Option<&ServerRow>,
    standby: Option<&ServerRow>,
    home: Option<&RouterRow>,
    standby_home: Option<&RouterRow>,
) -> Vec<Shortfall> {
    let server_dc = |row: Option<&ServerRow>| row.map(|row| row.data_centre.clone());
    let router_dc = |row: Option<&RouterRow>| row.map(|row| row.data_centre.clone());
    let same = |a: &Option<DataCentreId>, b: &Option<DataCentreId>| a.is_some() && a == b;
    let owner_dc = server_dc(owner);
    let standby_dc = server_dc(standby);
    let home_dc = router_dc(home);
    let other_region = owner
        .zip(home)
        .is_some_and(|(owner, home)| owner.region != home.region);
    let checks = [
        (placed.standby.is_none(), Shortfall::NoStandbyServer),
        (
            same(&owner_dc, &standby_dc),
            Shortfall::StandbySharesDataCentre,
        ),
        (
            same(&home_dc, &owner_dc),
            Shortfall::HomeSharesDataCentreWithOwner,
        ),
        (
            same(&home_dc, &standby_dc),
            Shortfall::HomeSharesDataCentreWithStandby,
        ),
        (other_region, Shortfall::HomeOutsideRegion),
        (placed.standby_home.is_none(), Shortfall::NoStandbyHome),
        (
            same(&home_dc, &router_dc(standby_home)),
            Shortfall::HomesShareDataCentre,
        ),
    ];
    checks
        .into_iter()
        .filter_map(|(applies, shortfall)| applies.then_some(shortfall))
        .collect()
}
