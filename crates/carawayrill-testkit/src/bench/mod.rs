//! Experiments on the real processes, for failure tests and measurements.
//!
//! A [`Bench`] runs a deployment of a given [`Shape`](shape::Shape) as separate processes. Tests
//! run the experiments and check only results that don't depend on timing. The command
//! `carawayrill-experiment` runs the same experiments and prints the measured figures.

pub mod duplicates;
pub mod frozen;
pub mod goodput;
pub mod latency;
pub mod loaded;
pub mod loss;
pub mod probe;
pub mod rolling;
mod running;
pub mod shape;
pub mod skew;
pub mod state;

pub use crate::bench::running::Bench;
