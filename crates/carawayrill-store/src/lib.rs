//! The outside systems as traits, with their HTTP clients: the platform's object store, its list
//! of VMs, and the servers' orders.
//!
//! Decision code and daemons see only the traits in [`port`], so that tests put small fakes in
//! their place.

pub mod client;
mod error;
pub mod http_servers;
pub mod http_store;
pub mod http_vms;
pub mod memory;
pub mod port;

pub mod url;

pub use crate::error::CallOutcome;
pub use crate::error::Error;
