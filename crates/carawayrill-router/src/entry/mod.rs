//! The entry role: what callers reach.
//!
//! It checks a request, finds its shard and the shard's home, and passes it there.

pub mod callers;
pub mod check;
pub mod forward;
pub mod http;
pub mod retries;
pub mod unavailable;
