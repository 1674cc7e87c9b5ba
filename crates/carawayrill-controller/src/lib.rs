//! The controller daemon, which assigns shards to servers and writes the assignments to the store.
//!
//! Any VM can run a controller. The controller that holds the [`lease`] is the leader; the others
//! wait. A controller has no persistent state of its own: after each start and each change of the
//! leader it rebuilds [`view`] from the store and [`heartbeats`] from the routers' heartbeats.
//!
//! Decisions are computed from these tables without I/O ([`fleet`], [`planner`]). The tasks of the
//! daemon ([`leader`], [`takeover`], [`service`]) read, write and respond to calls.

pub mod announce;
pub mod blocks;
pub mod config;
pub mod demand;
mod error;
pub mod first_placement;
pub mod fleet;
pub mod heartbeats;
pub mod hold;
pub mod leader;
pub mod lease;
pub mod metrics;
pub mod planner;
mod probe;
pub mod router_control;
pub mod run;
pub mod servers;
pub mod service;
pub mod state;
pub mod takeover;
pub mod view;

pub use crate::error::Error;
