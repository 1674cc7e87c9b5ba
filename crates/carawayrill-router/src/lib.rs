//! The router daemon: what callers reach, and the home of servers.
//!
//! Every router has two roles. As **entry** it takes a caller's request, finds the shard of its key
//! and passes it to the shard's home ([`entry`]). As **home** it is the one router that sends to a
//! server: it holds the server's grants, counts its slots and keeps its idempotency claims
//! ([`home`]). One router of each data centre is also its **relay** towards the store ([`relay`]).
//!
//! The decisions are in `carawayrill-core`; this crate is the I/O around them.

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
