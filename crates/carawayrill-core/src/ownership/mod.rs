//! Ownership: who may own a key, who may send to its owner, and who may change that.
//!
//! Three tables hold the rule of `docs/design/ownership.md`, one for each kind of process:
//! [`server::FenceTable`] is what a server checks, [`home::HomeTable`] is what a router knows as
//! home and as standby home, and [`takeover::TakeoverTable`] is what a controller knows while it
//! replaces a lost home or server.

pub mod evidence;
pub mod home;
pub mod limits;
pub mod server;
pub mod takeover;
