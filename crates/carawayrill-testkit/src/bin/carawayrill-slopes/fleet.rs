//! Generates fleets of any size with the proportions of the target size.

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::object::Member;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::RouterRow;
use carawayrill_core::placement::ServerRow;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::route::block_of;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;

/// Number of data centres in each region, 14 in all.
const REGIONS: [usize; 4] = [4, 4, 3, 3];
/// Number of services.
pub const SERVICES: usize = 4;
/// Number of shards of each server.
const SHARDS_PER_SERVER: usize = 16;
/// Number of routers per shard. The target size has 1,100 routers for 83,200 shards.
const ROUTERS_PER_SHARD: f64 = 1_100.0 / 83_200.0;
/// Number of shards in a stored block, the default of the configuration.
pub const SHARDS_PER_BLOCK: u32 = 64;

/// Parses an identifier.
///
/// # Panics
///
/// Panics if `text` is invalid.
pub fn id<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    let Ok(id) = T::try_from(text) else {
        panic!("`{text}` is not a valid identifier")
    };
    id
}

/// Returns the data centres with their regions.
pub fn data_centres() -> Vec<(DataCentreId, RegionId)> {
    let regions = REGIONS.iter().enumerate();
    let centres = regions.flat_map(|(region, centres)| (0..*centres).map(move |dc| (region, dc)));
    centres
        .map(|(region, dc)| {
            (
                id(&format!("region-{region}-{dc}")),
                id(&format!("region-{region}")),
            )
        })
        .collect()
}

/// Returns the name of the service for `index`, modulo the number of services.
pub fn service(index: usize) -> ServiceId {
    id(&format!("service-{}", index % SERVICES))
}

/// Generates the servers and routers for `shards` shards.
pub fn fleet(shards: usize) -> Fleet {
    let centres = data_centres();
    let at = |index: usize| centres[index % centres.len()].clone();
    let servers = (0..shards.div_ceil(SHARDS_PER_SERVER)).map(|index| {
        let (data_centre, region) = at(index / SERVICES);
        ServerRow {
            id: id(&format!("server-{index:05}")),
            service: service(index),
            data_centre,
            region,
            weight: 1,
            state: NodeState::Live,
        }
    });
    let routers = (shards as f64 * ROUTERS_PER_SHARD).ceil();
    let routers = (0..).take_while(|index| f64::from(*index) < routers.max(28.0));
    let routers = routers.map(|index: u16| {
        let (data_centre, region) = at(index.into());
        RouterRow {
            id: id(&format!("router-{index:04}")),
            data_centre,
            region,
            state: NodeState::Live,
        }
    });
    Fleet {
        servers: servers.collect(),
        routers: routers.collect(),
    }
}

/// Returns `count` shards, spread evenly over the services.
pub fn shards(count: usize) -> Vec<ShardId> {
    let each = u32::try_from(count / SERVICES).unwrap_or(u32::MAX);
    let services = (0..SERVICES).map(service);
    services
        .flat_map(|service| (0..each).map(move |index| ShardId::range(service.clone(), index)))
        .collect()
}

/// Generates a fleet for `count` shards and their initial placement on it.
pub fn placed(count: usize) -> (Fleet, Vec<Placement>) {
    let fleet = fleet(count);
    let placed = plan_initial(&fleet, &shards(count), &[]).placed;
    (fleet, placed)
}

/// Converts a placement to an assignment.
pub fn assignment(placed: &Placement) -> Assignment {
    Assignment {
        shard: placed.shard.clone(),
        owner: placed.owner.clone(),
        standby: placed.standby.clone(),
        home: placed.home.clone(),
        home_run: Incarnation(1_796_335_200_000),
        standby_home: placed.standby_home.clone(),
        standby_home_run: Incarnation(1_796_335_200_000),
        token: Token::new(2, 1),
        reason: Reason::Initial,
        since: WallTime(1_796_335_200_000),
    }
}

/// Groups placements into blocks.
pub fn blocks(placed: &[Placement]) -> Vec<Block> {
    let ranges = u32::try_from(placed.len() / SERVICES).unwrap_or(u32::MAX);
    let mut blocks: Vec<Block> = Vec::new();
    for row in placed {
        let block = block_of(&row.shard, ranges, SHARDS_PER_BLOCK);
        if blocks.last().is_none_or(|last| last.id != block) {
            blocks.push(Block::empty(block));
        }
        if let Some(last) = blocks.last_mut() {
            last.set(assignment(row));
        }
    }
    blocks
}

/// Returns the membership entry of a router.
pub fn member(router: &RouterRow) -> Member {
    Member {
        router: router.id.clone(),
        incarnation: Incarnation(1_796_335_200_000),
        data_centre: router.data_centre.clone(),
        peer: ([127, 0, 0, 1], 7_000).into(),
        http: ([127, 0, 0, 1], 7_001).into(),
        draining: false,
    }
}
