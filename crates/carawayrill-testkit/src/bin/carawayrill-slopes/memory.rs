//! Memory a shard, a router, a server and a counter, by the growth of the resident set.

use carawayrill_controller::view::StoreView;
use carawayrill_core::hot::Sketch;
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

/// Turns blocks into objects of the store.
pub fn objects(blocks: &[carawayrill_core::assignment::Block]) -> Vec<Object> {
    let object = |block: &carawayrill_core::assignment::Block| Object {
        name: block_name(&block.id),
        version: Version(7),
        value: serde_json::to_vec(block).unwrap_or_default().into(),
    };
    blocks.iter().map(object).collect()
}

/// Bytes of a routing table for so many shards.
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

/// Bytes of a router's copy of the stored blocks.
pub fn block_cache(shards: usize) -> f64 {
    let blocks = fleet::blocks(&fleet::placed(shards).1);
    memory_of(|| {
        let cache = ObjectCache::new("assignments/");
        cache.apply(Changes {
            revision: Revision(9),
            objects: objects(&blocks),
        });
        cache
    })
}

/// Bytes of the table of ownership of a router that hears of so many shards and is the home of
/// its share: the hints of all blocks, and the reads of its own.
pub fn home_table(shards: usize) -> f64 {
    let (fleet, placed) = fleet::placed(shards);
    let blocks = fleet::blocks(&placed);
    let me = fleet.routers[0].id.clone();
    memory_of(|| {
        let run = RouterIncarnation {
            router: me.clone(),
            incarnation: fleet::member(&fleet.routers[0]).incarnation,
        };
        let mut table = HomeTable::new(run, Limits::default());
        for block in &blocks {
            let (version, block) = (Version(7), block.clone());
            let is_mine = block.rows.iter().any(|row| row.home == me);
            table.input(
                Time(1),
                Input::Hint {
                    version,
                    block: block.clone(),
                },
            );
            if is_mine {
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

/// Bytes of a controller's view of so many shards.
pub fn view_shards(shards: usize) -> f64 {
    let blocks = fleet::blocks(&fleet::placed(shards).1);
    memory_of(|| {
        let mut view = StoreView::default();
        for block in &blocks {
            view.set_block(Version(7), block.clone());
        }
        view
    })
}

/// Makes so many entries of routers.
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

/// Bytes of a router's table and copy of so many routers.
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
            revision: Revision(9),
            objects: objects.collect(),
        });
        for member in &members {
            table.put(member.clone());
        }
        (table, cache)
    })
}

/// Bytes of the declarations of so many servers, as each daemon holds them.
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

/// Bytes of a sketch with so many counters.
pub fn sketch(counters: usize) -> f64 {
    memory_of(|| {
        let mut sketch = Sketch::new(counters);
        for key in 0..counters as u64 * 2 {
            sketch.add(KeyHash(key));
        }
        sketch
    })
}
