//! The controller daemon: it decides where shards live and writes that to the store.
//!
//! Any VM can take the role. Of all controllers, the one that holds the [`lease`] acts; the others
//! wait. A controller keeps nothing: [`view`] is read from the store and [`heartbeats`] from the
//! routers' heartbeats, after each start and each change of the holder.
//!
//! Decisions are functions over these tables ([`fleet`], [`planner`]); the daemon around them reads,
//! writes and listens.

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
