//! Traits and HTTP clients for the external systems: the platform's object store, its list of VMs,
//! and the control interface of servers.
//!
//! Decision code and daemons depend only on the traits in [`port`], so that tests can substitute
//! fakes.

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
