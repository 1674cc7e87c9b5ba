//! The home role: the one router that sends to a server.

pub mod in_flight;
pub mod ownership;
pub mod perform;
pub mod serve;

pub use crate::home::serve::Home;
