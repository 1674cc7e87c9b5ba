//! Decisions of a router that sends requests straight to the servers.
//!
//! A *front* takes requests from callers and sends them on by itself. Unkeyed services go to the
//! server that is expected to answer first; keyed services go to the holder of the key's span. One
//! front, the *granter*, decides which server holds which span. Nothing here does I/O or reads a
//! clock.

pub mod admission;
pub mod budget;
pub mod demand;
pub mod fronts;
pub mod granter;
pub mod keys;
pub mod lease;
pub mod load;
pub mod manifest;
pub mod rebalance;
pub mod routes;
pub mod servers;
pub mod spans;
