//! What enters and leaves a [`HomeTable`](super::HomeTable).

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
    /// One input. Inputs are recorded as events of kind `input` with table `home`.
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
        /// A watch or a peer told of a block's content. It may be old: it gives no authority, but
        /// says what to read.
        Hint {
            /// Its version.
            version: Version,
            /// Its content.
            block: Block,
        },
        /// A linearizable read of a block succeeded.
        Block {
            /// When the read started on our clock, less the age that a relay stated.
            started: Time,
            /// Its version; 0 if there is no such object.
            version: Version,
            /// Its content.
            block: Block,
        },
        /// A linearizable check of versions succeeded.
        Versions {
            /// When the check started on our clock, less the age that a relay stated.
            started: Time,
            /// The versions found.
            versions: Vec<BlockVersion>,
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
        /// A server did not answer in time. The orders count as possibly accepted.
        OrderFailed {
            /// The server.
            server: ServerId,
            /// When the orders were sent, on our clock.
            sent: Time,
        },
        /// The platform or an operator says for certain that the server's process has ended.
        ServerGone {
            /// The server.
            server: ServerId,
        },
        /// A server leaves by plan, or no longer does. It is not chosen for a failover meanwhile.
        ServerLeaving {
            /// The server.
            server: ServerId,
            /// Whether it leaves.
            leaving: bool,
        },
        /// The router that counts a server's slots, if it is another one.
        ServerHome {
            /// The server.
            server: ServerId,
            /// Its home.
            home: RouterId,
        },
        /// A router's heartbeat arrived.
        PeerSeen {
            /// The router.
            router: RouterId,
            /// Its present run.
            incarnation: Incarnation,
        },
        /// A controller asks for the release of shards. Answered with `AnswerRelease`.
        Release {
            /// Matches the answer to the question.
            ask: u64,
            /// The shards.
            rows: Vec<AssignmentRef>,
        },
        /// No request of a shard is in flight here any more, after `Quiesce`.
        Quiesced {
            /// The shard.
            shard: ShardId,
        },
        /// Another process asks what this router did as standby home. Answered with
        /// `AnswerStandby`.
        Standby {
            /// Matches the answer to the question.
            ask: u64,
            /// Whether the answer shall bind: a promise not to act under the reserved term.
            promise: bool,
            /// The shards.
            rows: Vec<AssignmentRef>,
        },
        /// A standby home answered `AskStandby`.
        StandbyReply {
            /// When the question was sent, on our clock.
            asked: Time,
            /// Who answered.
            router: RouterId,
            /// Its present run.
            incarnation: Incarnation,
            /// Its answers.
            rows: Vec<StandbyStatus>,
        },
    }

    /// A block and a version of it.
    pub struct BlockVersion {
        /// The block.
        pub block: BlockId,
        /// The version; 0 if there is no such object.
        pub version: Version,
    }

    /// One action that the daemon has to take.
    #[serde(tag = "action", rename_all = "snake_case")]
    pub enum Action {
        /// Send orders to a server; an empty list probes it. Answered with `OrderReply` or
        /// `OrderFailed`.
        Order {
            /// The server.
            server: ServerId,
            /// The orders.
            orders: Vec<Order>,
        },
        /// Read a block, linearizably. Answered with `Block`, or with nothing.
        ReadBlock {
            /// The block.
            block: BlockId,
        },
        /// Check the versions of blocks, linearizably. Answered with `Versions`, or with nothing.
        CheckVersions {
            /// The blocks.
            blocks: Vec<BlockId>,
        },
        /// Write a block if its version is still `expected`. Answered with `Written` or
        /// `WriteFailed`.
        WriteBlock {
            /// The expected version.
            expected: Version,
            /// The new content.
            block: Block,
        },
        /// Ask a standby home whether it has acted. Answered with `StandbyReply`, or with nothing.
        AskStandby {
            /// The standby home.
            router: RouterId,
            /// The shards.
            rows: Vec<AssignmentRef>,
        },
        /// Stop giving out requests of a shard. Answered with `Quiesced` once none is in flight.
        Quiesce {
            /// The shard.
            shard: ShardId,
        },
        /// The answer to `Release`.
        AnswerRelease {
            /// As in the question.
            ask: u64,
            /// One answer a shard, in the question's order.
            released: Vec<ReleaseStatus>,
        },
        /// The answer to `Standby`.
        AnswerStandby {
            /// As in the question.
            ask: u64,
            /// One answer a shard, in the question's order.
            standings: Vec<StandbyStatus>,
        },
        /// Write an event.
        Emit {
            /// The event.
            kind: EventKind,
        },
    }

    /// Where one request may be sent.
    pub struct Permit {
        /// The shard.
        pub shard: ShardId,
        /// The server.
        pub server: ServerId,
        /// The token to send.
        pub token: Token,
        /// The router that has to send, if it is another one: it counts the server's slots.
        pub via: Option<RouterId>,
        /// The request must be written before this time.
        pub latest: Time,
    }

    /// Why no request of a shard may be sent now.
    #[serde(tag = "denial", rename_all = "snake_case")]
    pub enum Denial {
        /// This router is not the home.
        NotHome {
            /// The home by the stored assignment, if one is known.
            home: Option<RouterId>,
        },
        /// The last good read of the store is too old.
        NoAuthority,
        /// The owner has not acknowledged a grant yet, or it has run out.
        NoGrant,
        /// The shard is being moved by plan. The request should wait for a short time.
        Moving,
        /// The permit is not the present one any more.
        Changed,
    }
}

impl Denial {
    /// Returns whether a request may wait here for the denial to pass.
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
