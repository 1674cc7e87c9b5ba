//! Messages between the nodes of the model.

use carawayrill_core::assignment::Block;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::evidence::StandbyStatus;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::time::Time;
use carawayrill_core::token::Token;

/// Index of a node in [`NODES`](super::topology::NODES).
pub type NodeIndex = usize;

#[derive(Debug, Clone)]
pub enum Message {
    Tick,
    Heartbeat {
        incarnation: Incarnation,
        lost: Vec<(ServerId, bool)>,
    },
    Orders {
        sent: Time,
        orders: Vec<Order>,
    },
    OrderReply {
        sent: Time,
        orders: Vec<Order>,
        reply: OrderReply,
    },
    Read {
        started: Time,
    },
    ReadReply {
        started: Time,
        version: Version,
        block: Block,
    },
    Check {
        started: Time,
    },
    CheckReply {
        started: Time,
        version: Version,
    },
    Write {
        expected: Version,
        block: Block,
    },
    Written {
        version: Version,
    },
    WriteFailed,
    Hint {
        version: Version,
        block: Block,
    },
    AskStandby {
        asked: Time,
        promise: bool,
        rows: Vec<AssignmentRef>,
    },
    StandbyReply {
        asked: Time,
        incarnation: Incarnation,
        rows: Vec<StandbyStatus>,
    },
    AskRelease {
        rows: Vec<AssignmentRef>,
    },
    ReleaseReply {
        incarnation: Incarnation,
        rows: Vec<ReleaseStatus>,
    },
    /// Sent to self: ends the interval between the permit and the check before the send.
    Confirm(Permit),
    /// Sent to self: ends the interval between the check before the send and the write to the
    /// socket.
    Send(Permit),
    Request {
        shard: ShardId,
        token: Token,
        to: NodeIndex,
    },
    Quiesced {
        shard: ShardId,
    },
    Finish {
        shard: ShardId,
    },
}
