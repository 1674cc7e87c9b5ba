//! The gRPC protocols between the system's own processes.
//!
//! The modules are generated from the files in `proto/` and committed; `cargo run -p
//! carawayrill-protogen` regenerates them. Daemons convert wire types to the types of
//! `carawayrill-core` at their interfaces, and use only those internally.

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_docs,
    clippy::allow_attributes_without_reason,
    reason = "generated code"
)]
#[path = "generated/carawayrill.peer.v1.rs"]
pub mod wire;

/// The protocol between fronts and the granter, generated from `proto/granter.proto`.
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_docs,
    clippy::allow_attributes_without_reason,
    reason = "generated code"
)]
#[path = "generated/carawayrill.granter.v1.rs"]
pub mod granter;
