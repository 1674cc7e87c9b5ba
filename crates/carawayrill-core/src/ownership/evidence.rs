//! Statements of routers about the authority that they have or had.

use crate::data;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::token::Token;

data! {
    /// A reference to the stored assignment of one shard.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct AssignmentRef {
        /// The shard.
        pub shard: ShardId,
        /// The token of the stored assignment.
        pub token: Token,
    }

    /// A home's answer to a request to release a shard.
    pub struct ReleaseStatus {
        /// The stored assignment that ends.
        pub claimed: AssignmentRef,
        /// Whether the router has permanently stopped sending under this assignment and has no request
        /// of the shard in flight. False if the router neither is nor was the home in its current
        /// incarnation.
        pub stopped: bool,
        /// Whether the router continues as home and has pledged not to change the owner under this
        /// assignment.
        pub pledged: bool,
        /// The highest token that the router has used.
        pub highest: Token,
        /// The server that the router regards as the shard's owner.
        pub server: Option<ServerId>,
        /// Whether that server acknowledged the revocation.
        pub revoked: bool,
        /// Time until the last grant that may still be valid has ended, in milliseconds; 0 if none
        /// is valid.
        pub grant_left: u64,
    }

    /// A standby home's answer about its reserved term.
    pub struct StandbyStatus {
        /// The stored assignment that the answer is about.
        pub claimed: AssignmentRef,
        /// Whether the router has acted as home under the reserved term, or may have.
        pub acted: bool,
        /// Whether the router has promised never to act under the reserved term.
        pub promised: bool,
    }

    /// One incarnation of a router: the router and its start count.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RouterIncarnation {
        /// The router.
        pub router: RouterId,
        /// The incarnation, which changes with each start of the process.
        pub incarnation: Incarnation,
    }
}
