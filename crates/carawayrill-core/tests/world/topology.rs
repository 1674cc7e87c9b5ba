//! The nodes of the model and their locations: six data centres in three regions.

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;

use super::message::NodeIndex;

pub const REGIONS: usize = 3;
pub const DATA_CENTRES: usize = 6;
pub const SHARDS: u32 = 2;

pub const SERVERS: std::ops::Range<NodeIndex> = 0..3;
pub const ROUTERS: std::ops::Range<NodeIndex> = 3..7;
pub const CONTROLLERS: std::ops::Range<NodeIndex> = 7..9;
pub const STORE: NodeIndex = 9;

/// Names and data centres of the nodes, by node index.
pub const NODES: [(&str, usize); 10] = [
    ("s0", 0),
    ("s1", 2),
    ("s2", 4),
    ("r0", 1),
    ("r1", 3),
    ("r2", 5),
    ("r3", 0),
    ("c0", 1),
    ("c1", 3),
    ("store", 0),
];

pub fn region(data_centre: usize) -> usize {
    data_centre / 2
}

pub fn processes() -> Vec<NodeIndex> {
    (0..STORE).collect()
}

pub fn node_ix(name: &str) -> NodeIndex {
    NODES
        .iter()
        .position(|(id, _)| *id == name)
        .expect("known node name")
}

pub fn service() -> ServiceId {
    ServiceId::try_from("f").expect("valid service ID")
}

pub fn shard(index: u32) -> ShardId {
    ShardId::range(service(), index)
}

pub fn block_id() -> BlockId {
    BlockId {
        service: service(),
        index: 0,
    }
}

fn row(index: u32, names: [&str; 4]) -> Assignment {
    let [owner, standby, home, standby_home] = names;
    Assignment {
        shard: shard(index),
        owner: owner.parse().expect("valid server ID"),
        standby: Some(standby.parse().expect("valid server ID")),
        home: home.parse().expect("valid router ID"),
        home_run: Incarnation(1),
        standby_home: Some(standby_home.parse().expect("valid router ID")),
        standby_home_run: Incarnation(1),
        token: Token::new(2, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    }
}

/// Returns the initial assignments, in the layout required by rule 1 of the ownership design.
pub fn first_block() -> Block {
    let mut block = Block::empty(block_id());
    block.set(row(0, ["s0", "s1", "r0", "r2"]));
    block.set(row(1, ["s1", "s2", "r1", "r0"]));
    block
}
