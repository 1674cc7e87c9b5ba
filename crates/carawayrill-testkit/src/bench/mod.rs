//! Experiments on the real processes, for failure tests and for measurements.
//!
//! A [`Bench`] is a deployment of a stated [`Shape`](shape::Shape) as separate processes. The same
//! experiments serve tests, which look only at verdicts that don't depend on timing, and the
//! command `carawayrill-experiment`, which prints the figures.

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
