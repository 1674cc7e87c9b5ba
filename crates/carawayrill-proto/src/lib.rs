//! The protocol between the system's own processes.
//!
//! [`wire`] is generated from `proto/peer.proto` and committed; `cargo run -p
//! carawayrill-protogen` makes it anew. Daemons turn wire types into the types of
//! `carawayrill-core` at their border and use those inside.

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
