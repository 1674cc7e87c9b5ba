//! Size and processor time of heartbeats, deltas and version checks, and the time of a sketch.

use carawayrill_controller::heartbeats::Heartbeat;
use carawayrill_controller::heartbeats::HeartbeatTable;
use carawayrill_core::assignment::Block;
use carawayrill_core::hot::Sketch;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::route::RouteTable;
use carawayrill_core::time::Time;
use carawayrill_proto::wire;
use prost::Message;

use crate::fleet;
use crate::meter::cpu_time_of;

/// Number of timed repetitions of the handling of a message.
const REPEATS: usize = 2_000;
/// Number of servers whose home is one router. The target size has 5,200 servers and 1,100 routers.
const SERVERS_PER_ROUTER: usize = 5;

/// Builds the heartbeat of a router that reports the loads of `shards` shards.
fn heartbeat(shards: usize) -> wire::HeartbeatRequest {
    let servers = (0..SERVERS_PER_ROUTER).map(|index| wire::ServerSeen {
        server: format!("server-{index:05}"),
        incarnation: 1_796_335_200_000,
        lost: false,
        draining: false,
        in_flight: 3,
        queued: 1,
    });
    let loads = (0..shards).map(|index| wire::ShardLoad {
        shard: format!("service-1/{}", 10_000 + index),
        requests: 21,
        hot_key: if index % 16 == 0 { u64::MAX / 3 } else { 0 },
        hot_share: if index % 16 == 0 { 80 } else { 0 },
        cross_region_bytes: 4_000,
    });
    wire::HeartbeatRequest {
        stamp: Some(wire::Stamp {
            wall: 1_796_335_200_000,
            count: 1,
        }),
        router: "router-0001".to_owned(),
        incarnation: 1_796_335_200_000,
        data_centre: "region-0-1".to_owned(),
        generation: 812,
        draining: false,
        in_flight: 12,
        servers: servers.collect(),
        loads: loads.collect(),
    }
}

/// Returns the size of a heartbeat with the loads of `shards` shards, in bytes.
pub fn heartbeat_bytes(shards: usize) -> f64 {
    heartbeat(shards).encoded_len() as f64
}

/// Returns the processor time to encode, decode and apply a heartbeat, in microseconds.
pub fn heartbeat_time(shards: usize) -> f64 {
    let beat = heartbeat(shards);
    let relay = fleet::id("router-0000");
    let mut table = HeartbeatTable::default();
    cpu_time_of(REPEATS, || {
        let bytes = beat.encode_to_vec();
        let read = wire::HeartbeatRequest::decode(bytes.as_slice()).unwrap_or_default();
        if let Ok(read) = Heartbeat::try_from(read) {
            table.on_report(Time(1), &relay, vec![read]);
        }
    })
}

/// Builds a block of `rows` rows.
fn block(rows: usize) -> Block {
    let (_, placed) = fleet::placed(rows.max(64) * fleet::SERVICES);
    let mut block = fleet::blocks(&placed).swap_remove(0);
    block.rows = placed.iter().take(rows).map(fleet::assignment).collect();
    block
}

/// Returns the size of a stored block of `rows` rows, in bytes. A watch sends the whole block after
/// a change.
pub fn delta_bytes(rows: usize) -> f64 {
    serde_json::to_vec(&block(rows)).map_or(0, |value| value.len()) as f64
}

/// Returns the processor time to decode a block and apply it to the routing table, in microseconds.
pub fn delta_time(rows: usize) -> f64 {
    let value = serde_json::to_vec(&block(rows)).unwrap_or_default();
    let mut table = RouteTable::default();
    let mut version = 0;
    cpu_time_of(REPEATS / 4, || {
        version += 1;
        serde_json::from_slice(&value).is_ok_and(|block| table.apply(Version(version), block))
    })
}

/// Builds the request and reply of a version check of `names` blocks.
fn check(names: usize) -> (wire::CheckVersionsRequest, wire::CheckVersionsReply) {
    let block = |index: usize| {
        let mut block = block(1).id;
        block.index = u32::try_from(index).unwrap_or(u32::MAX);
        block_name(&block).to_string()
    };
    let names: Vec<String> = (0..names).map(block).collect();
    let versions = names.iter().map(|name| wire::ObjectVersion {
        name: name.clone(),
        version: 48_213_977,
    });
    let stamp = Some(wire::Stamp {
        wall: 1_796_335_200_000,
        count: 1,
    });
    let reply = wire::CheckVersionsReply {
        stamp,
        versions: versions.collect(),
        age_ms: 120,
    };
    let router = "router-0001".to_owned();
    (
        wire::CheckVersionsRequest {
            stamp,
            router,
            names,
        },
        reply,
    )
}

/// Returns the size of the request and reply of a version check of `names` blocks, in bytes.
pub fn check_bytes(names: usize) -> f64 {
    let (req, reply) = check(names);
    (req.encoded_len() + reply.encoded_len()) as f64
}

/// Returns the processor time to encode and decode the request and reply of a version check, in
/// microseconds.
pub fn check_time(names: usize) -> f64 {
    let (req, reply) = check(names);
    cpu_time_of(REPEATS, || {
        let decoded_request = wire::CheckVersionsRequest::decode(req.encode_to_vec().as_slice());
        let decoded_reply = wire::CheckVersionsReply::decode(reply.encode_to_vec().as_slice());
        (decoded_request, decoded_reply)
    })
}

/// Returns the processor time to count 1,000 requests, each of a new key, in a sketch with
/// `counters` counters, in microseconds.
pub fn sketch_time(counters: usize) -> f64 {
    let mut sketch = Sketch::new(counters);
    let mut key: u64 = 0;
    cpu_time_of(REPEATS / 4, || {
        for _ in 0..1_000 {
            key += 1;
            sketch.add(KeyHash(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        }
    })
}
