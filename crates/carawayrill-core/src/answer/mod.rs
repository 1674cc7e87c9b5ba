//! Processing of requests at a home: claims, queues, limits, retries, requests in flight and final
//! answers.
//!
//! The home of a shard is the router that sends the shard's requests to the owning server; its
//! standby home takes over if the home is lost. An answer is the complete response of a server, a
//! refusal is a final answer that the router generates itself, and a reply is either of them.
//!
//! Each module holds one table or value and its decisions. [`serving::ServingState`] combines them
//! for the home role of a router. The code does no I/O and reads no clock.

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
