//! Orders to servers and their acknowledgements.
//!
//! A server processes the orders of one message in turn and answers with one acknowledgement an
//! order. Each answer also carries the server's clock and incarnation.

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
        /// Own the shard under `token` until the server's clock reads `until`. Also renews.
        /// Refused if the server has seen a higher token or runs as another incarnation.
        Grant {
            /// The shard to own.
            shard: ShardId,
            /// The fencing token of the grant.
            token: Token,
            /// The end of the grant on the server's own clock.
            until: ServerTime,
            /// The router that gives the grant.
            home: RouterId,
            /// The run of the server that the grant is for.
            incarnation: Incarnation,
        },
        /// Stop owning the shard. Refuses lower or equal tokens from then on. Requests that
        /// already run are reported in the acknowledgement.
        Revoke {
            /// The shard to give up.
            shard: ShardId,
            /// The token of the grant that ends.
            token: Token,
        },
        /// Refuse every token of a lower term, and grant nothing.
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
        /// Its fencing token.
        pub token: Token,
        /// Its end on the server's clock.
        pub until: ServerTime,
    }

    /// A server's answer to one order.
    pub struct OrderAck {
        /// The shard of the order.
        pub shard: ShardId,
        /// Whether the order was obeyed.
        pub accepted: bool,
        /// The highest token that the server has seen for the shard.
        pub highest: Token,
        /// The last grant that the server holds for the shard, ended or not.
        pub held: Option<HeldGrant>,
        /// Requests for the shard that run now.
        pub running: u32,
    }

    /// A server's answer to one message of orders.
    pub struct OrderReply {
        /// The server that answers.
        pub server: ServerId,
        /// Its present run.
        pub incarnation: Incarnation,
        /// Its clock when it answered.
        pub clock: ServerTime,
        /// Its own report of its load; it may lag or mislead.
        pub load: LoadReport,
        /// One acknowledgement an order, in the same order.
        pub acks: Vec<OrderAck>,
    }

    /// What a server says of its own load.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Requests that run now.
        pub running: u32,
        /// Requests that wait in the server.
        pub queued: u32,
        /// Whether the server asks for no new work.
        pub draining: bool,
    }
}

impl Order {
    /// Returns the shard that the order is about.
    #[must_use]
    pub fn shard(&self) -> &ShardId {
        match self {
            Self::Grant { shard, .. } | Self::Revoke { shard, .. } | Self::Fence { shard, .. } => {
                shard
            }
        }
    }
}
