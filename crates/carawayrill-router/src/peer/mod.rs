//! Calls between the system's own processes.

pub mod authority;
pub mod convert;
pub mod pool;
pub mod service;
