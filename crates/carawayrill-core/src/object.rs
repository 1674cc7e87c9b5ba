//! Objects that the system keeps in the store: their names and the types of small values.
//!
//! Assignments are in the module [`assignment`](crate::assignment).

use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::assignment::BlockId;
use crate::data;
use crate::id::ControllerId;
use crate::id::DataCentreId;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::time::WallTime;

/// The name of the object that refers to the configuration in force.
pub const CONFIG_HEAD: &str = "config/head";
/// The name prefix of the configuration's immutable parts.
pub const CONFIG_PARTS: &str = "config/part/";
/// The name prefix of the blocks of assignments.
pub const ASSIGNMENTS: &str = "assignments/";
/// The name prefix of the [`Member`] objects, one for each router.
pub const MEMBERS: &str = "members/";
/// The name prefix of the controllers' leases.
pub const LEASES: &str = "leases/controller/";
/// The name prefix of operators' drain orders.
pub const DRAINS: &str = "drains/";

/// The name of the object whose version increases after each write of an intent, before the writer
/// of the intent starts any waiting time or requests any evidence.
///
/// Its version stands for the versions of all blocks: while it is unchanged, there is no new intent
/// that a home or server has to read. One read of it therefore serves a whole data centre,
/// independent of the number of blocks.
pub const AUTHORITY_CHANGES: &str = "authority/changes";

/// Returns the name of the object that holds a block of assignments.
#[must_use]
pub fn block_name(id: &BlockId) -> CompactString {
    format_compact!("{ASSIGNMENTS}{id}")
}

/// Returns the name of a router's [`Member`] object.
#[must_use]
pub fn member_name(router: &RouterId) -> CompactString {
    format_compact!("{MEMBERS}{router}")
}

data! {
    /// The current incarnation of a router. The router writes this object at each start and deletes
    /// it at its planned stop. A controller deletes it once the router is lost and is the home of
    /// no shard.
    pub struct Member {
        /// The id of the router.
        pub router: RouterId,
        /// The current incarnation.
        pub incarnation: Incarnation,
        /// The data centre in which the router runs.
        pub data_centre: DataCentreId,
        /// The address for calls from other processes of the system.
        pub peer: SocketAddr,
        /// The address for requests from callers.
        pub http: SocketAddr,
        /// Whether the router is draining and must not become the home of any shard.
        pub draining: bool,
    }

    /// The lease of a controller over one block of control work. The holder renews it before it
    /// expires. Another controller may claim it after its version has not changed for the length of
    /// the lease on that controller's own clock.
    pub struct ControllerLease {
        /// The controller that holds the lease.
        pub holder: ControllerId,
        /// The incarnation of the holder.
        pub incarnation: Incarnation,
        /// The holder's address for calls from other processes of the system.
        pub peer: SocketAddr,
        /// The number of renewals, so that each renewal changes the value.
        pub renewal: u64,
    }

    /// An operator's order to drain a server or a router.
    pub struct DrainOrder {
        /// The id of the server or router.
        pub name: CompactString,
        /// The reason, as the operator wrote it.
        pub reason: CompactString,
        /// The time at which the order was given.
        pub since: WallTime,
    }
}
