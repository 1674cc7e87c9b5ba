//! What enters and leaves a [`TakeoverTable`](super::TakeoverTable).

use crate::assignment::Block;
use crate::assignment::BlockId;
use crate::assignment::Reason;
use crate::data;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::Version;
use crate::order::Order;
use crate::order::OrderReply;
use crate::ownership::evidence::AssignmentRef;
use crate::ownership::evidence::ReleaseStatus;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::evidence::StandbyStatus;
use crate::ownership::limits::Limits;
use crate::ownership::limits::Policy;
use crate::time::Time;
use crate::time::WallTime;
use crate::token::Token;

data! {
    /// A change of one shard's assignment that placement or recovery wants.
    pub struct Change {
        /// The block that holds the shard's assignment.
        pub block: BlockId,
        /// The shard.
        pub shard: ShardId,
        /// The token of the assignment that it replaces, as stored; none for a first assignment.
        pub from: Option<Token>,
        /// The server that shall own the shard. While the home goes on under a pledge, the owner
        /// that it states goes before this one.
        pub owner: ServerId,
        /// The server that shall stand by.
        pub standby: Option<ServerId>,
        /// The router that shall be home, with its run.
        pub home: RouterIncarnation,
        /// The router that shall stand by for the home, with its run.
        pub standby_home: Option<RouterIncarnation>,
        /// Why.
        pub reason: Reason,
    }

    /// One input. Inputs are recorded as events of kind `input` with table `takeover`.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum Input {
        /// New time limits came into force. Grants that were given keep the ends that they have.
        Limits {
            /// The limits.
            limits: Limits,
        },
        /// A service's policy came into force.
        Policy {
            /// The service.
            service: ServiceId,
            /// Its policy.
            policy: Policy,
        },
        /// This controller holds the lease from now on, or does not hold it any more.
        Leading {
            /// Whether it holds the lease.
            leading: bool,
        },
        /// Placement or recovery wants a change. A later one for the same shard replaces it.
        Wanted {
            /// The change.
            change: Change,
            /// The wall clock, to be recorded in the store for people.
            wall: WallTime,
        },
        /// A linearizable read of a block succeeded.
        Block {
            /// Its version; 0 if there is no such object.
            version: Version,
            /// Its content.
            block: Block,
        },
        /// A write of a block took effect.
        Written {
            /// The block.
            block: BlockId,
            /// Its new version.
            version: Version,
        },
        /// A write of a block was refused, or its fate is unknown. Either is settled by reading.
        WriteFailed {
            /// The block.
            block: BlockId,
        },
        /// A server answered.
        OrderReply {
            /// When the orders were sent, on our clock.
            sent: Time,
            /// The orders.
            orders: Vec<Order>,
            /// The answer.
            reply: OrderReply,
        },
        /// A home answered `AskRelease`.
        ReleaseReply {
            /// Who answered.
            router: RouterId,
            /// Its present run.
            incarnation: Incarnation,
            /// Its answers.
            rows: Vec<ReleaseStatus>,
        },
        /// A standby home answered `AskPromise`.
        StandbyReply {
            /// Who answered.
            router: RouterId,
            /// Its present run.
            incarnation: Incarnation,
            /// Its answers.
            rows: Vec<StandbyStatus>,
        },
    }

    /// One action that the daemon has to take.
    #[serde(tag = "action", rename_all = "snake_case")]
    pub enum Action {
        /// Read a block, linearizably. Answered with `Block`, or with nothing.
        ReadBlock {
            /// The block.
            block: BlockId,
        },
        /// Write a block if its version is still `expected`. Answered with `Written` or
        /// `WriteFailed`.
        WriteBlock {
            /// The expected version.
            expected: Version,
            /// The new content.
            block: Block,
        },
        /// Send orders to a server. Answered with `OrderReply`, or with nothing.
        Order {
            /// The server.
            server: ServerId,
            /// The orders.
            orders: Vec<Order>,
        },
        /// Ask a home to give up shards, or to pledge their owner. Answered with `ReleaseReply`.
        AskRelease {
            /// The home.
            router: RouterId,
            /// The shards.
            rows: Vec<AssignmentRef>,
        },
        /// Ask a standby home for its promise. Answered with `StandbyReply`.
        AskPromise {
            /// The standby home.
            router: RouterId,
            /// The shards.
            rows: Vec<AssignmentRef>,
        },
        /// Write an event.
        Emit {
            /// The event.
            kind: EventKind,
        },
    }
}
