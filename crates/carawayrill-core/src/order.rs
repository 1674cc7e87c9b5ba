//! Orders of routers to servers, and their acknowledgements.
//!
//! A server executes the orders of one message in sequence and replies with one acknowledgement for
//! each. Each reply also contains the server's clock and incarnation.

use crate::data;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::time::ServerTime;
use crate::token::Term;
use crate::token::Token;

data! {
    /// One order to a server.
    #[serde(tag = "order", rename_all = "snake_case")]
    pub enum Order {
        /// Makes the server the owner of the shard under `token` until its clock reads `until`, or
        /// renews that grant. The server refuses it if it has seen a higher token or is another
        /// incarnation.
        Grant {
            /// The shard to own.
            shard: ShardId,
            /// The fencing token of the grant.
            token: Token,
            /// The end of the grant on the server's own clock.
            until: ServerTime,
            /// The router that sends the grant.
            home: RouterId,
            /// The incarnation of the server that the grant is for.
            incarnation: Incarnation,
        },
        /// Ends the server's ownership of the shard. The server refuses lower or equal tokens from
        /// then on. The acknowledgement contains the number of requests that are still running.
        Revoke {
            /// The shard to release.
            shard: ShardId,
            /// The token of the grant to end.
            token: Token,
        },
        /// Makes the server refuse all tokens of lower terms, without granting the shard.
        Fence {
            /// The shard to fence.
            shard: ShardId,
            /// The lowest term to accept from now on.
            term: Term,
        },
    }

    /// The grant that a server holds.
    #[derive(Copy)]
    pub struct HeldGrant {
        /// The fencing token of the grant.
        pub token: Token,
        /// The end of the grant on the server's clock.
        pub until: ServerTime,
    }

    /// A server's answer to one order.
    pub struct OrderAck {
        /// The shard of the order.
        pub shard: ShardId,
        /// Whether the server executed the order.
        pub accepted: bool,
        /// The highest token that the server has seen for the shard.
        pub highest: Token,
        /// The last grant of the server for the shard, expired or not.
        pub held: Option<HeldGrant>,
        /// The number of running requests for the shard.
        pub running: u32,
    }

    /// A server's answer to one message of orders.
    pub struct OrderReply {
        /// The server that replies.
        pub server: ServerId,
        /// The incarnation of the server.
        pub incarnation: Incarnation,
        /// The server's clock at the time of the reply.
        pub clock: ServerTime,
        /// The server's own load report, which may be outdated or wrong.
        pub load: LoadReport,
        /// One acknowledgement for each order, in the same sequence.
        pub acks: Vec<OrderAck>,
    }

    /// A server's own report of its load.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// The number of running requests.
        pub running: u32,
        /// The number of queued requests.
        pub queued: u32,
        /// Whether the server asks for no new requests.
        pub draining: bool,
    }
}

impl Order {
    /// Returns the shard of the order.
    #[must_use]
    pub fn shard(&self) -> &ShardId {
        match self {
            Self::Grant { shard, .. } | Self::Revoke { shard, .. } | Self::Fence { shard, .. } => {
                shard
            }
        }
    }
}
