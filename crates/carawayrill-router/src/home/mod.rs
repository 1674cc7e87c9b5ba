//! The home role: the only router that sends requests to a server.

pub mod in_flight;
pub mod ownership;
pub mod perform;
pub mod serve;

pub use crate::home::serve::Home;
