//! What a caller is told, and when: outcomes, claims, limits, retries and requests in flight.
//!
//! Each module holds one table or value and the decisions over it. [`serving::ServingState`] joins
//! them for the home role of a router. Nothing here does I/O or reads a clock.

pub mod claims;
pub mod estimate;
pub mod fair;
pub mod inflight;
pub mod mirror;
pub mod queue;
pub mod ramp;
pub mod refusal;
pub mod reply;
pub mod retry;
pub mod serving;
pub mod traffic;
