//! A router process that sends requests straight to the servers.
//!
//! [`run::run`] serves callers until it is told to stop. The outside systems stand behind the
//! traits of [`port`]; the decisions are those of [`carawayrill_core::direct`]. What this crate
//! has of its own is I/O:
//!
//! - [`front`]: takes requests from callers and answers them,
//! - [`forward`]: the way of one request over one or more servers,
//! - [`upstream`]: connections to servers,
//! - [`feed`]: manifest and servers, read from the store by watch,
//! - [`leasing`] and [`granting`]: the granter's lease, and the execution of what it decides,
//! - [`link`]: the stream between fronts and the granter,
//! - [`ready`]: readiness and metrics.

pub mod clock;
pub mod config;
mod counted;
mod error;
pub mod feed;
pub mod forward;
pub mod front;
pub mod granting;
pub mod leasing;
pub mod link;
pub mod metrics;
pub mod port;
pub mod ready;
pub mod run;
pub mod spans;
pub mod state;
pub mod upstream;

pub use crate::error::Error;
