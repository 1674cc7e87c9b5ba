//! Objects of the system's own kinds in the store: their names and small values.
//!
//! Assignments have a module of their own, [`assignment`](crate::assignment).

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

/// The object that names the configuration in force.
pub const CONFIG_HEAD: &str = "config/head";
/// The prefix of the configuration's immutable parts.
pub const CONFIG_PARTS: &str = "config/part/";
/// The prefix of all blocks of assignments.
pub const ASSIGNMENTS: &str = "assignments/";
/// The prefix of the routers' runs.
pub const MEMBERS: &str = "members/";
/// The prefix of the controllers' leases.
pub const LEASES: &str = "leases/controller/";
/// The prefix of operators' drain orders.
pub const DRAINS: &str = "drains/";

/// The object whose version rises after each intent that was written, and before its writer counts
/// any time or asks for any evidence.
///
/// Its version stands for the versions of all blocks: while it does not change, no holder of
/// authority has an intent to learn of. So one read of it serves a whole data centre, however many
/// blocks there are.
pub const AUTHORITY_CHANGES: &str = "authority/changes";

/// Returns the name of the object that holds a block of assignments.
#[must_use]
pub fn block_name(id: &BlockId) -> CompactString {
    format_compact!("{ASSIGNMENTS}{id}")
}

/// Returns the name of the object that holds a router's run.
#[must_use]
pub fn member_name(router: &RouterId) -> CompactString {
    format_compact!("{MEMBERS}{router}")
}

data! {
    /// One run of a router. The router writes it at each start and deletes it at its planned stop;
    /// a controller deletes it once the router is lost and is nobody's home.
    pub struct Member {
        /// The router.
        pub router: RouterId,
        /// Its present run.
        pub incarnation: Incarnation,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// Where it takes calls of other processes.
        pub peer: SocketAddr,
        /// Where it takes requests of callers.
        pub http: SocketAddr,
        /// Whether it leaves by plan and wants to be the home of nothing.
        pub draining: bool,
    }

    /// The lease of a controller over one block of control work. The holder writes it anew in good
    /// time; another may take it once its version has not changed for the lease's whole length on
    /// the taker's own clock.
    pub struct ControllerLease {
        /// Who holds it.
        pub holder: ControllerId,
        /// The holder's run.
        pub incarnation: Incarnation,
        /// Where the holder takes calls of other processes.
        pub peer: SocketAddr,
        /// Counts renewals, so that each one changes the value.
        pub renewal: u64,
    }

    /// An operator's order that a server or a router shall leave.
    pub struct DrainOrder {
        /// The server or the router.
        pub name: CompactString,
        /// Why, in the operator's words.
        pub reason: CompactString,
        /// When it was given.
        pub since: WallTime,
    }
}
