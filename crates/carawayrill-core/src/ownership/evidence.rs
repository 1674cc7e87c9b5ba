//! What routers say to others about the authority they have or had.

use crate::data;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::token::Token;

data! {
    /// A question about one shard: the shard and the token of the stored assignment it is about.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct AssignmentRef {
        /// The shard.
        pub shard: ShardId,
        /// The token of the assignment, as stored.
        pub token: Token,
    }

    /// What a home answers when it is asked to give up a shard.
    pub struct ReleaseStatus {
        /// The shard and the token of the stored assignment that ends.
        pub claimed: AssignmentRef,
        /// True if the router has stopped sending for good under this assignment, and no request
        /// of it runs. A router that is not the home and never was in its present run says false.
        pub stopped: bool,
        /// True if it goes on, but will keep the owner as it is under this assignment.
        pub pledged: bool,
        /// The highest token that it has used.
        pub highest: Token,
        /// The server that owns the shard by its knowledge.
        pub server: Option<ServerId>,
        /// Whether that server acknowledged the revocation.
        pub revoked: bool,
        /// Time until the last possible grant has ended, in milliseconds; 0 if it has.
        pub grant_left: u64,
    }

    /// What a standby home says of its reserved term.
    pub struct StandbyStatus {
        /// The shard and the token of the stored assignment.
        pub claimed: AssignmentRef,
        /// True if it has acted under the reserved term, or may have.
        pub acted: bool,
        /// True if it has promised not to act under the reserved term from now on.
        pub promised: bool,
    }

    /// One run of one router.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RouterIncarnation {
        /// The router.
        pub router: RouterId,
        /// Its run.
        pub incarnation: Incarnation,
    }
}
