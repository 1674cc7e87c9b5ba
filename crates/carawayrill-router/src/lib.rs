//! The router daemon, which accepts requests of callers and forwards them to servers.
//!
//! Every router has two roles. As **entry** it accepts a caller's request, looks up the shard of its
//! key and forwards it to the shard's home ([`entry`]). As **home** it is the only router that sends
//! to a server: it holds the server's grants, counts its occupied slots and keeps its idempotency
//! claims ([`home`]). One router of each data centre is also the **relay** between the data centre's
//! routers and the store ([`relay`]).
//!
//! The decisions are made by state machines in `carawayrill-core`; this crate does their I/O.

pub mod cache;
pub mod clock;
pub mod context;
pub mod entry;
mod error;
pub mod feed;
pub mod headers;
pub mod home;
pub mod members;
pub mod membership;
pub mod message;
pub mod peer;
pub mod relay;
pub mod run;
pub mod status;
pub mod versions;

pub use crate::error::Error;
