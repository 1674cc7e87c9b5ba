//! The entry role: accepts requests of callers.
//!
//! The entry validates a request, looks up the shard of its key and the shard's home, and forwards
//! the request to that home.

pub mod callers;
pub mod check;
pub mod forward;
pub mod http;
pub mod retries;
pub mod unavailable;
