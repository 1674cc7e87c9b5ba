//! Inputs and actions of a [`TakeoverTable`](super::TakeoverTable).

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
    /// A change of one shard's assignment, requested by placement or recovery.
    pub struct Change {
        /// The block that contains the shard's assignment.
        pub block: BlockId,
        /// The shard.
        pub shard: ShardId,
        /// The token of the stored assignment to replace, or `None` for a first assignment.
        pub from: Option<Token>,
        /// The new owner. If the home continues under a pledge, the owner that the home reports
        /// takes precedence.
        pub owner: ServerId,
        /// The new standby server.
        pub standby: Option<ServerId>,
        /// The incarnation of the router that becomes home.
        pub home: RouterIncarnation,
        /// The incarnation of the router that becomes standby home.
        pub standby_home: Option<RouterIncarnation>,
        /// The reason for the change.
        pub reason: Reason,
    }

    /// An input. Inputs are recorded as events of kind `input` with table `takeover`.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum Input {
        /// New time limits are in force. They don't change the ends of existing grants.
        Limits {
            /// The limits.
            limits: Limits,
        },
        /// A new policy of a service is in force.
        Policy {
            /// The service.
            service: ServiceId,
            /// The policy.
            policy: Policy,
        },
        /// This controller acquired or lost the lease.
        Leading {
            /// Whether this controller holds the lease.
            leading: bool,
        },
        /// Placement or recovery requests a change. A later request for the same shard replaces it.
        Wanted {
            /// The change.
            change: Change,
            /// Time on the wall clock, recorded in the store for operators.
            wall: WallTime,
        },
        /// A linearizable read of a block succeeded.
        Block {
            /// The block's version; 0 if the object does not exist.
            version: Version,
            /// The block's content.
            block: Block,
        },
        /// A write of a block took effect.
        Written {
            /// The block.
            block: BlockId,
            /// The block's new version.
            version: Version,
        },
        /// A write of a block was rejected, or its outcome is unknown. In both cases the table
        /// reads the block back.
        WriteFailed {
            /// The block.
            block: BlockId,
        },
        /// A server replied to orders.
        OrderReply {
            /// Time on the local clock when the orders were sent.
            sent: Time,
            /// The orders.
            orders: Vec<Order>,
            /// The reply.
            reply: OrderReply,
        },
        /// A home answered `AskRelease`.
        ReleaseReply {
            /// The router that answered.
            router: RouterId,
            /// Its current incarnation.
            incarnation: Incarnation,
            /// One answer for each shard.
            rows: Vec<ReleaseStatus>,
        },
        /// A standby home answered `AskPromise`.
        StandbyReply {
            /// The router that answered.
            router: RouterId,
            /// Its current incarnation.
            incarnation: Incarnation,
            /// One answer for each shard.
            rows: Vec<StandbyStatus>,
        },
    }

    /// An action for the daemon to perform.
    #[serde(tag = "action", rename_all = "snake_case")]
    pub enum Action {
        /// Read a block linearizably. Answered with `Block` on success and not at all on failure.
        ReadBlock {
            /// The block.
            block: BlockId,
        },
        /// Write a block if its version is still `expected`. Answered with `Written` or
        /// `WriteFailed`.
        WriteBlock {
            /// The expected version.
            expected: Version,
            /// The block's new content.
            block: Block,
        },
        /// Send orders to a server. Answered with `OrderReply` on success and not at all on
        /// failure.
        Order {
            /// The server.
            server: ServerId,
            /// The orders.
            orders: Vec<Order>,
        },
        /// Ask a home to release shards, or to pledge that it keeps their owners. Answered with
        /// `ReleaseReply`.
        AskRelease {
            /// The home.
            router: RouterId,
            /// The assignments of the shards.
            rows: Vec<AssignmentRef>,
        },
        /// Ask a standby home to promise that it does not act. Answered with `StandbyReply`.
        AskPromise {
            /// The standby home.
            router: RouterId,
            /// The assignments of the shards.
            rows: Vec<AssignmentRef>,
        },
        /// Write an event.
        Emit {
            /// The event.
            kind: EventKind,
        },
    }
}
