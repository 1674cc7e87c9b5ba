//! The home role: the one router that sends to a server.

pub mod control;
pub mod flights;
pub mod perform;
pub mod serve;

pub use crate::home::serve::Home;
