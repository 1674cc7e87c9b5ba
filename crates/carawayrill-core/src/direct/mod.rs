//! Decisions of a router that sends requests directly to the servers.
//!
//! A *front* is such a router: it accepts requests from callers and forwards them without another
//! router in between. A request of an unkeyed service goes to the server with the lowest expected
//! response time. A request of a keyed service goes to the server that holds the key's span, a
//! contiguous range of keys. One front, the *granter*, holds a lease and decides which server holds
//! which span. Nothing in this module does I/O or reads a clock.

pub mod admission;
pub mod budget;
pub mod cold;
pub mod decline;
pub mod demand;
pub mod egress;
pub mod evacuation;
pub mod fronts;
pub mod granter;
pub mod homes;
pub mod incarnation;
pub mod keys;
pub mod knowledge;
pub mod lease;
pub mod limit;
pub mod load;
pub mod manifest;
pub mod pace;
pub mod priority;
pub mod quarantine;
pub mod reach;
pub mod rebalance;
pub mod request_share;
pub mod routes;
pub mod servers;
pub mod service_load;
pub mod shutdown;
pub mod spans;
