//! Imbalance: the ratio of the highest server load to the mean.

use super::ratio::Ratio;
use crate::small_data;

small_data! {
    /// The load of one server.
    pub struct ServerLoad {
        /// Its load, in any unit that all compared servers share.
        pub load: u64,
        /// Its share of the load relative to the other servers; at least 1.
        pub weight: u32,
    }
}

impl ServerLoad {
    /// Creates the load of one server.
    #[must_use]
    pub const fn new(load: u64, weight: u32) -> Self {
        Self { load, weight }
    }
}

/// Returns the ratio of the highest load to the mean load over `servers`, each relative to its
/// weight. Without servers or without load it is 1.000.
#[must_use]
pub fn imbalance(servers: &[ServerLoad]) -> Ratio {
    let load: u128 = servers.iter().map(|row| u128::from(row.load)).sum();
    let weight: u128 = servers.iter().map(|row| weight_of(*row)).sum();
    let ratios = servers
        .iter()
        .map(|row| Ratio::of_wide(u128::from(row.load) * weight, load * weight_of(*row)));
    ratios.max().unwrap_or(Ratio::ONE)
}

/// Returns the weight of a server, at least 1.
fn weight_of(row: ServerLoad) -> u128 {
    row.weight.max(1).into()
}
