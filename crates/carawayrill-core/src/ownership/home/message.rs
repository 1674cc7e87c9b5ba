//! Inputs and actions of a [`HomeTable`](super::HomeTable), and its answers about requests.

use std::fmt;

use compact_str::CompactString;

use crate::assignment::Block;
use crate::assignment::BlockId;
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
use crate::ownership::evidence::StandbyStatus;
use crate::ownership::limits::Limits;
use crate::ownership::limits::Policy;
use crate::time::Time;
use crate::token::Token;

data! {
    /// An input. Inputs are recorded as events of kind `input` with table `home`.
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
        /// A watch or a peer reported a block. The content may be stale, so it gives no authority,
        /// but it can show that the block must be read.
        Hint {
            /// The block's version.
            version: Version,
            /// The block's content.
            block: Block,
        },
        /// A linearizable read of a block succeeded.
        Block {
            /// Start of the read on the local clock, minus the age that a relay reported.
            started: Time,
            /// The block's version; 0 if the object does not exist.
            version: Version,
            /// The block's content.
            block: Block,
        },
        /// A linearizable check of versions succeeded.
        Versions {
            /// Start of the check on the local clock, minus the age that a relay reported.
            started: Time,
            /// The versions found.
            versions: Vec<BlockVersion>,
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
        /// A server did not reply in time. It may have accepted the orders.
        OrderFailed {
            /// The server.
            server: ServerId,
            /// Time on the local clock when the orders were sent.
            sent: Time,
        },
        /// The platform or an operator confirms that the server's process has ended.
        ServerGone {
            /// The server.
            server: ServerId,
        },
        /// A planned removal of a server began or was cancelled. The server is not chosen for a
        /// failover in the meantime.
        ServerLeaving {
            /// The server.
            server: ServerId,
            /// Whether the server is being removed.
            leaving: bool,
        },
        /// Another router counts the server's used slots.
        ServerHome {
            /// The server.
            server: ServerId,
            /// The router that counts the slots.
            home: RouterId,
        },
        /// A router's heartbeat arrived.
        PeerSeen {
            /// The router.
            router: RouterId,
            /// The router's current incarnation.
            incarnation: Incarnation,
        },
        /// A controller asks for the release of shards. Answered with `AnswerRelease`.
        Release {
            /// Correlation ID of the question and its answer.
            ask: u64,
            /// The assignments of the shards.
            rows: Vec<AssignmentRef>,
        },
        /// The shard has no more requests in flight on this router, as requested by `Quiesce`.
        Quiesced {
            /// The shard.
            shard: ShardId,
        },
        /// Another process asks what this router did as standby home. Answered with
        /// `AnswerStandby`.
        Standby {
            /// Correlation ID of the question and its answer.
            ask: u64,
            /// Whether the router is asked to promise not to act under the reserved term.
            promise: bool,
            /// The assignments of the shards.
            rows: Vec<AssignmentRef>,
        },
        /// A standby home answered `AskStandby`.
        StandbyReply {
            /// Time on the local clock when the question was sent.
            asked: Time,
            /// The router that answered.
            router: RouterId,
            /// Its current incarnation.
            incarnation: Incarnation,
            /// One answer for each shard.
            rows: Vec<StandbyStatus>,
        },
    }

    /// The version of a block.
    pub struct BlockVersion {
        /// The block.
        pub block: BlockId,
        /// The version; 0 if the object does not exist.
        pub version: Version,
    }

    /// An action for the daemon to perform.
    #[serde(tag = "action", rename_all = "snake_case")]
    pub enum Action {
        /// Send orders to a server; an empty list is a probe. Answered with `OrderReply` or
        /// `OrderFailed`.
        Order {
            /// The server.
            server: ServerId,
            /// The orders.
            orders: Vec<Order>,
        },
        /// Read a block linearizably. Answered with `Block` on success and not at all on failure.
        ReadBlock {
            /// The block.
            block: BlockId,
        },
        /// Check the versions of blocks linearizably. Answered with `Versions` on success and not
        /// at all on failure.
        CheckVersions {
            /// The blocks.
            blocks: Vec<BlockId>,
        },
        /// Write a block if its version is still `expected`. Answered with `Written` or
        /// `WriteFailed`.
        WriteBlock {
            /// The expected version.
            expected: Version,
            /// The block's new content.
            block: Block,
        },
        /// Ask a standby home whether it has acted. Answered with `StandbyReply` on success and not
        /// at all on failure.
        AskStandby {
            /// The standby home.
            router: RouterId,
            /// The assignments of the shards.
            rows: Vec<AssignmentRef>,
        },
        /// Stop sending requests of a shard. Answered with `Quiesced` once none is in flight.
        Quiesce {
            /// The shard.
            shard: ShardId,
        },
        /// Answer `Release`.
        AnswerRelease {
            /// Correlation ID of the question.
            ask: u64,
            /// One answer for each shard, in the order of the question.
            released: Vec<ReleaseStatus>,
        },
        /// Answer `Standby`.
        AnswerStandby {
            /// Correlation ID of the question.
            ask: u64,
            /// One answer for each shard, in the order of the question.
            standings: Vec<StandbyStatus>,
        },
        /// Write an event.
        Emit {
            /// The event.
            kind: EventKind,
        },
    }

    /// The permission to send one request to a server.
    pub struct Permit {
        /// The shard.
        pub shard: ShardId,
        /// The server.
        pub server: ServerId,
        /// The token to send with the request.
        pub token: Token,
        /// The router that must send the request because it counts the server's used slots, if it
        /// is not this router.
        pub via: Option<RouterId>,
        /// The request must be written to the connection before this time.
        pub latest: Time,
    }

    /// The reason why no request of a shard may be sent now.
    #[serde(tag = "denial", rename_all = "snake_case")]
    pub enum Denial {
        /// This router is not the shard's home.
        NotHome {
            /// The home according to the stored assignment, if known.
            home: Option<RouterId>,
        },
        /// The last successful read of the store is too old.
        NoAuthority,
        /// The owner has not acknowledged a grant yet, or the grant has ended.
        NoGrant,
        /// A planned move of the shard is in progress. The request should wait for a short time.
        Moving,
        /// The server or the token has changed since the permit was given.
        Changed,
    }
}

impl Denial {
    /// Returns whether the denial is temporary, so that a request may wait on this router.
    #[must_use]
    pub const fn is_passing(&self) -> bool {
        !matches!(self, Self::NotHome { .. })
    }

    /// Returns a short name for logs and events.
    #[must_use]
    pub fn name(&self) -> CompactString {
        CompactString::const_new(match self {
            Self::NotHome { .. } => "not the home",
            Self::NoAuthority => "no authority",
            Self::NoGrant => "no grant",
            Self::Moving => "moving",
            Self::Changed => "changed",
        })
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name())
    }
}
