//! The rows that placement reads and writes.

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
    /// Whether a server or a router may be given work.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum NodeState {
        /// It takes work.
        Live,
        /// It leaves by plan: it keeps what it has until that is moved, and gets nothing new.
        Draining,
        /// It is held to be lost.
        Lost,
    }

    /// One server.
    pub struct ServerRow {
        /// Its name.
        pub id: ServerId,
        /// The service whose shards it may own.
        pub service: ServiceId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// The region of its data centre.
        pub region: RegionId,
        /// Its share of the load in relation to other servers of the service; at least 1.
        pub weight: u32,
        /// Whether it may be given work.
        pub state: NodeState,
    }

    /// One router.
    pub struct RouterRow {
        /// Its name.
        pub id: RouterId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// The region of its data centre.
        pub region: RegionId,
        /// Whether it may be given work.
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

    /// Where one shard shall be.
    pub struct Placement {
        /// The shard.
        pub shard: ShardId,
        /// The server that shall own it.
        pub owner: ServerId,
        /// The server that stands by.
        pub standby: Option<ServerId>,
        /// The home of the owner.
        pub home: RouterId,
        /// The router that stands by for the home.
        pub standby_home: Option<RouterId>,
    }

    /// A wish of rule 1 that could not be met with the servers and routers at hand.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Shortfall {
        /// No other server could stand by.
        NoStandbyServer,
        /// Owner and standby server share a data centre: its loss needs the store.
        StandbySharesDataCentre,
        /// The home shares a data centre with the owner: its loss leaves neither to acknowledge.
        HomeSharesDataCentreWithOwner,
        /// The home shares a data centre with the standby server.
        HomeSharesDataCentreWithStandby,
        /// The home is outside the owner's region: requests cross a slow link twice.
        HomeOutsideRegion,
        /// No other router could stand by.
        NoStandbyHome,
        /// Both homes share a data centre.
        HomesShareDataCentre,
    }

    /// A shortfall of one shard's placement.
    #[derive(PartialOrd, Ord)]
    pub struct ShardShortfall {
        /// The shard.
        pub shard: ShardId,
        /// What falls short.
        pub shortfall: Shortfall,
    }
}

impl Shortfall {
    /// Tells whether rule 1 of ownership itself is broken, and not only a preference.
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
            Self::NoStandbyServer => "no other server can stand by",
            Self::StandbySharesDataCentre => "owner and standby share a data centre",
            Self::HomeSharesDataCentreWithOwner => "home and owner share a data centre",
            Self::HomeSharesDataCentreWithStandby => "home and standby server share a data centre",
            Self::HomeOutsideRegion => "the home is outside the owner's region",
            Self::NoStandbyHome => "no other router can stand by",
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

    /// Puts both tables in the order of their ids, which the lookups of this module rely on.
    #[must_use]
    pub(crate) fn sorted(&self) -> Self {
        let mut sorted = self.clone();
        sorted.servers.sort_by(|a, b| a.id.cmp(&b.id));
        sorted.routers.sort_by(|a, b| a.id.cmp(&b.id));
        sorted
    }

    /// Finds a server by bisection. Only for tables made by [`sorted`](Self::sorted).
    pub(crate) fn find_server(&self, id: &ServerId) -> Option<&ServerRow> {
        let at = self.servers.binary_search_by(|row| row.id.cmp(id)).ok()?;
        self.servers.get(at)
    }

    /// Finds a router by bisection. Only for tables made by [`sorted`](Self::sorted).
    pub(crate) fn find_router(&self, id: &RouterId) -> Option<&RouterRow> {
        let at = self.routers.binary_search_by(|row| row.id.cmp(id)).ok()?;
        self.routers.get(at)
    }
}

/// Lists what falls short of rule 1 and of the preferences beside it for one placement.
///
/// A server or router that is not in `fleet` counts as standing nowhere: nothing is said of it.
#[must_use]
pub fn shortfalls(fleet: &Fleet, placed: &Placement) -> Vec<Shortfall> {
    let owner = fleet.server(&placed.owner);
    let standby = placed.standby.as_ref().and_then(|id| fleet.server(id));
    let home = fleet.router(&placed.home);
    let standby_home = placed.standby_home.as_ref().and_then(|id| fleet.router(id));
    list_shortfalls(placed, owner, standby, home, standby_home)
}

/// Does the work of [`shortfalls`] on rows that are at hand.
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
