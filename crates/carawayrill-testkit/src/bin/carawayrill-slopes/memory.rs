//! Memory per shard, router, server and counter, measured as growth of the resident set.

use carawayrill_controller::view::StoreView;
use carawayrill_core::hot::Sketch;
use carawayrill_core::id::Era;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::object::member_name;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home::HomeTable;
use carawayrill_core::ownership::home::Input;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::route::RouteTable;
use carawayrill_core::time::Time;
use carawayrill_router::cache::ObjectCache;
use carawayrill_router::members::MemberTable;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;

use crate::fleet;
use crate::meter::memory_of;

/// Converts blocks to stored objects.
pub fn objects(blocks: &[carawayrill_core::assignment::Block]) -> Vec<Object> {
    let object = |block: &carawayrill_core::assignment::Block| Object {
        name: block_name(&block.id),
        version: Version(7),
        value: serde_json::to_vec(block).unwrap_or_default().into(),
    };
    blocks.iter().map(object).collect()
}

/// Returns the memory of a routing table for `shards` shards, in bytes.
pub fn route_table(shards: usize) -> f64 {
    let blocks = fleet::blocks(&fleet::placed(shards).1);
    memory_of(|| {
        let mut table = RouteTable::default();
        for block in &blocks {
            table.apply(Version(7), block.clone());
        }
        table
    })
}

/// Returns the memory of a router's cache of the stored blocks, in bytes.
pub fn block_cache(shards: usize) -> f64 {
    let blocks = fleet::blocks(&fleet::placed(shards).1);
    memory_of(|| {
        let cache = ObjectCache::new("assignments/");
        cache.apply(Changes {
            era: Era::default(),
            revision: Revision(9),
            objects: objects(&blocks),
        });
        cache
    })
}

/// Returns the memory of the home table of one router, in bytes.
///
/// The table holds hints for all blocks and the stored state of the blocks in which the router is a
/// home.
pub fn home_table(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let blocks = fleet::blocks(&placed);
    let this_router = fleet.routers[0].id.clone();
    memory_of(|| {
        let incarnation = RouterIncarnation {
            router: this_router.clone(),
            incarnation: fleet::member(&fleet.routers[0]).incarnation,
        };
        let mut table = HomeTable::new(incarnation, Limits::default());
        for block in &blocks {
            let (version, block) = (Version(7), block.clone());
            let is_home = block.rows.iter().any(|row| row.home == this_router);
            table.input(
                Time(1),
                Input::Hint {
                    version,
                    block: block.clone(),
                },
            );
            if is_home {
                let started = Time(1);
                table.input(
                    Time(2),
                    Input::Block {
                        started,
                        version,
                        block,
                    },
                );
            }
        }
        table
    })
}

/// Returns the memory of a controller's view of `shards` shards, in bytes.
pub fn controller_view(shards: usize) -> f64 {
    let blocks = fleet::blocks(&fleet::placed(shards).1);
    memory_of(|| {
        let mut view = StoreView::default();
        for block in &blocks {
            view.set_block(Version(7), block.clone());
        }
        view
    })
}

/// Generates the membership entries of `count` routers.
fn members(count: usize) -> Vec<carawayrill_core::object::Member> {
    let centres = fleet::data_centres();
    let row = |index: usize| {
        let (data_centre, region) = centres[index % centres.len()].clone();
        fleet::member(&carawayrill_core::placement::RouterRow {
            id: fleet::id(&format!("router-{index:05}")),
            data_centre,
            region,
            state: carawayrill_core::placement::NodeState::Live,
        })
    };
    (0..count).map(row).collect()
}

/// Returns the memory of a router's member table and cache for `routers` routers, in bytes.
pub fn router_members(routers: usize) -> f64 {
    let members = members(routers);
    memory_of(|| {
        let table = MemberTable::default();
        let cache = ObjectCache::new("members/");
        let objects = members.iter().map(|member| Object {
            name: member_name(&member.router),
            version: Version(7),
            value: serde_json::to_vec(member).unwrap_or_default().into(),
        });
        cache.apply(Changes {
            era: Era::default(),
            revision: Revision(9),
            objects: objects.collect(),
        });
        for member in &members {
            table.put(member.clone());
        }
        (table, cache)
    })
}

/// Returns the memory of the declarations of `servers` servers in each process, in bytes.
pub fn declared_servers(servers: usize) -> f64 {
    use carawayrill_config::deployment::Server;
    let centres = fleet::data_centres();
    memory_of(|| {
        let row = |index: usize| Server {
            id: fleet::id(&format!("server-{index:05}")),
            service: fleet::service(index),
            data_centre: centres[index % centres.len()].0.clone(),
            address: ([127, 0, 0, 1], 9_000).into(),
        };
        (0..servers).map(row).collect::<Vec<Server>>()
    })
}

/// Returns the memory of a sketch with `counters` counters, in bytes.
pub fn sketch(counters: usize) -> f64 {
    memory_of(|| {
        let mut sketch = Sketch::new(counters);
        for key in 0..counters as u64 * 2 {
            sketch.add(KeyHash(key));
        }
        sketch
    })
}
