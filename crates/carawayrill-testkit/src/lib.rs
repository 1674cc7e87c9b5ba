//! Stand-ins for the external systems, a load generator, and experiments on whole deployments.
//!
//! A stand-in is a small server that implements a protocol of `docs/PROTOCOLS.md`. Requests under
//! `/control/` inject faults. Tests can run a stand-in in their own process on a free port:
//!
//! ```
//! use carawayrill_store::http_store::HttpStore;
//! use carawayrill_store::memory::MemoryStore;
//! use carawayrill_store::port::ObjectStore;
//! use carawayrill_testkit::store;
//! use tokio::net::TcpListener;
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(async {
//! let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
//! let running = store::start(listener, MemoryStore::new()).expect("a store");
//! let client = HttpStore::new(running.address).expect("a client");
//! assert!(client.get("config/head").await.expect("a response").is_none());
//! # });
//! ```

pub mod bench;
pub mod connections;
pub mod demo;
mod error;
pub mod fleet;
pub mod load;
pub mod process;
pub mod serve;
pub mod server;
pub mod store;
pub mod vms;

pub use crate::error::Error;
