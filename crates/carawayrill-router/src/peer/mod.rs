//! Calls between the system's own processes: client connections, the gRPC service and conversions.

pub mod authority;
pub mod convert;
pub mod pool;
pub mod service;
