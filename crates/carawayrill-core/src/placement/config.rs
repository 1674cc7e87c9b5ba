//! The limits of balancing.

use std::time::Duration;

use crate::measure::Ratio;

/// The limits of balancing, with chained setters.
///
/// # Examples
///
/// ```
/// use carawayrill_core::placement::BalanceConfig;
///
/// let config = BalanceConfig::default().max_moves(2);
/// assert_eq!(config.max_moves, 2);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalanceConfig {
    /// Most moves under way at a time, planned ones of all kinds together. Default 4.
    pub max_moves: usize,
    /// Imbalance of a service from which it is balanced. Default 1.200.
    pub start_threshold: Ratio,
    /// Imbalance under which balancing ends. The gap to `start_threshold` is the hysteresis. Default 1.100.
    pub stop_threshold: Ratio,
    /// Cost of moving a range's keys, in parts of the mean load of a range. Default 0.250.
    pub churn_cost: Ratio,
    /// Cost of holding requests during a move, in parts of the moved load. Default 0.020.
    pub hold_cost: Ratio,
    /// Requests that one KiB across regions is worth. Default 0.010.
    pub byte_cost: Ratio,
    /// How long a shard stays where it was moved to. Default 60 s.
    pub cooldown: Duration,
    /// Load of a key, in parts of a server's mean load, from which it gets a shard of its own.
    /// Default 0.200.
    pub split_threshold: Ratio,
    /// Load under which the key is merged into its range again. Default 0.050.
    pub merge_threshold: Ratio,
    /// Most keys of a service that have a shard of their own. Default 24, twice the number of keys
    /// that are hot at a time, since the former ones take a while to be merged.
    pub max_hot_keys: usize,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            max_moves: 4,
            start_threshold: Ratio(1_200),
            stop_threshold: Ratio(1_100),
            churn_cost: Ratio(250),
            hold_cost: Ratio(20),
            byte_cost: Ratio(10),
            cooldown: Duration::from_mins(1),
            split_threshold: Ratio(200),
            merge_threshold: Ratio(50),
            max_hot_keys: 24,
        }
    }
}

impl BalanceConfig {
    /// Sets the most moves under way at a time.
    #[must_use]
    pub fn max_moves(mut self, max: usize) -> Self {
        self.max_moves = max;
        self
    }

    /// Sets the imbalance from which a service is balanced and the one under which that ends.
    #[must_use]
    pub fn imbalance(mut self, start_threshold: Ratio, stop_threshold: Ratio) -> Self {
        self.start_threshold = start_threshold;
        self.stop_threshold = stop_threshold.min(start_threshold);
        self
    }

    /// Sets the cost of moving a range's keys, in parts of the mean load of a range.
    #[must_use]
    pub fn churn_cost(mut self, cost: Ratio) -> Self {
        self.churn_cost = cost;
        self
    }

    /// Sets how long a shard stays where it was moved to.
    #[must_use]
    pub fn cooldown(mut self, cooldown: Duration) -> Self {
        self.cooldown = cooldown;
        self
    }

    /// Sets the parts of a server's mean load at which a key is split out and merged again.
    #[must_use]
    pub fn hot_key(mut self, split_threshold: Ratio, merge_threshold: Ratio) -> Self {
        self.split_threshold = split_threshold;
        self.merge_threshold = merge_threshold.min(split_threshold);
        self
    }
}
