//! Ownership: which server owns a shard, which router may send to the owner, and who may change
//! that.
//!
//! Three state machines without I/O implement the rules of `docs/design/ownership.md`, one for each
//! kind of process:
//!
//! - [`server::FenceTable`] checks requests at a server.
//! - [`home::HomeTable`] decides for a router as home and as standby home.
//! - [`takeover::TakeoverTable`] decides for a controller while it replaces a home or a server.

pub mod evidence;
pub mod home;
pub mod limits;
pub mod server;
pub mod takeover;
