//! The load tool: an open loop of requests on a fixed schedule, and the check of all answers
//! against the servers' own records.
//!
//! Latency counts from the moment at which a request was due, not from the moment at which it was
//! sent: a system that stalls the caller doesn't hide the requests that the stall kept back.

pub mod caller;
pub mod check;
pub mod drive;
pub mod keys;
pub mod plan;
pub mod settings;
pub mod summary;

pub use crate::load::drive::drive;
pub use crate::load::settings::Settings;
