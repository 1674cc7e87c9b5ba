//! Fleets and shards for the placement tests.

use carawayrill_core::id::ShardId;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::RouterRow;
use carawayrill_core::placement::ServerRow;

/// Creates a fleet of `regions` regions with `centres` data centres each, with `servers` servers
/// and `routers` routers per data centre.
pub fn fleet(regions: u32, centres: u32, servers: u32, routers: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for (region, centre) in (0..regions).flat_map(|r| (0..centres).map(move |c| (r, c))) {
        let region_id = format!("r{region}").as_str().try_into().unwrap();
        let dc = format!("r{region}-{centre}").as_str().try_into().unwrap();
        for index in 0..servers {
            fleet.servers.push(ServerRow {
                id: format!("s-{region}{centre}{index}").parse().unwrap(),
                service: "forms".parse().unwrap(),
                data_centre: Clone::clone(&dc),
                region: Clone::clone(&region_id),
                weight: 1,
                state: NodeState::Live,
            });
        }
        for index in 0..routers {
            fleet.routers.push(RouterRow {
                id: format!("g-{region}{centre}{index}").parse().unwrap(),
                data_centre: Clone::clone(&dc),
                region: Clone::clone(&region_id),
                state: NodeState::Live,
            });
        }
    }
    fleet
}

/// Returns the first `count` ranges of the service `forms`.
pub fn shards(count: u32) -> Vec<ShardId> {
    (0..count)
        .map(|index| ShardId::range("forms".parse().unwrap(), index))
        .collect()
}
