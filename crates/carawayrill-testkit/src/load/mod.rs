//! An open-loop load generator with a fixed schedule, and a check of all responses against the
//! servers' records.
//!
//! Latency is measured from the time at which a request was due, not from the time at which it was
//! sent. A stall of the system thus counts for all requests that it delays (no coordinated
//! omission).

pub mod caller;
pub mod check;
pub mod drive;
pub mod keys;
pub mod plan;
pub mod settings;
pub mod summary;

pub use crate::load::drive::drive;
pub use crate::load::settings::Settings;
