//! What a caller is told, and when: outcomes, claims, limits, retries and requests in flight.
//!
//! Each module holds one table or value and the decisions over it. The home role of a router
//! drives them; nothing here does I/O or reads a clock.

pub mod refusal;
