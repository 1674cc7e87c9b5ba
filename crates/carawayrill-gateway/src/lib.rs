//! A router process that forwards each request directly to the server that handles it.
//!
//! [`run::run`] serves callers until the process receives a stop signal. External systems are
//! reached through the traits of [`port`]. The decision logic is in [`carawayrill_core::direct`]
//! and does no I/O; this crate does the I/O:
//!
//! - [`front`]: accepts requests from callers and responds to them,
//! - [`forward`]: forwards one request, with retries and hedging,
//! - [`homes`]: what the homes of routes mean for the known servers,
//! - [`upstream`]: connections to servers and to other fronts,
//! - [`tcp_connector`]: opens TCP connections to servers,
//! - [`metered_stream`]: limits what is read from such a connection,
//! - `waiting`: the requests that wait for a server of a service that routes of different priority
//!   share,
//! - `quarantine`: records which requests crash servers,
//! - [`egress`]: how many requests leave the region of this front,
//! - [`reach`]: finds out when a front that was cut off reaches the servers again,
//! - [`knowledge`] and [`watcher`]: what is known of the manifest, the servers and the evacuations,
//!   and reading it from the store,
//! - `server_changes`: what a change of the servers means for connections and load estimates,
//! - `contact`: whether this front hears from the granter,
//! - [`lease_manager`] and [`granter_runtime`]: the granter's lease, and the execution of its
//!   decisions,
//! - [`granter_stream`]: the stream between fronts and the granter,
//! - [`ready`]: the readiness and metrics endpoints.

mod access_log;
mod body;
pub mod buffer_limit;
mod caller_connections;
mod classes;
pub mod clock;
mod cold;
pub mod config;
mod connections;
mod contact;
mod counting_store;
mod delivery;
pub mod egress;
mod error;
mod evacuation;
pub mod forward;
pub mod front;
pub mod granter_runtime;
pub mod granter_stream;
mod head;
pub mod held_data;
pub mod homes;
mod in_flight;
pub mod knowledge;
pub mod lease_manager;
pub mod metered_stream;
pub mod metrics;
mod peer_keys;
pub mod port;
mod quarantine;
pub mod reach;
pub mod ready;
pub mod run;
mod server_changes;
mod shared_stream;
pub mod shutdown;
pub mod spans;
pub mod state;
pub mod tcp_connector;
pub mod upstream;
mod waiting;
pub mod watcher;

pub use crate::error::Error;
