//! A router process that sends requests straight to the servers.
//!
//! [`run::run`] serves callers until it is told to stop. The outside systems stand behind the
//! traits of [`port`]; the decisions are those of [`carawayrill_core::direct`]. What this crate
//! has of its own is I/O:
//!
//! - [`front`]: takes requests from callers and answers them,
//! - [`forward`]: the way of one request over one or more servers,
//! - [`upstream`]: connections to servers,
//! - [`watcher`]: manifest and servers, read from the store by watch,
//! - [`lease_manager`] and [`granter_runtime`]: the granter's lease, and the execution of what it decides,
//! - [`granter_stream`]: the stream between fronts and the granter,
//! - [`ready`]: readiness and metrics.

pub mod clock;
pub mod config;
mod counting_store;
mod error;
pub mod forward;
pub mod front;
pub mod granter_runtime;
pub mod granter_stream;
pub mod lease_manager;
pub mod metrics;
pub mod port;
pub mod ready;
pub mod run;
pub mod spans;
pub mod state;
pub mod upstream;
pub mod watcher;

pub use crate::error::Error;
