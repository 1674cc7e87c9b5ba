//! Configuration of load balancing.

use std::time::Duration;

use crate::measure::Ratio;

/// Limits, thresholds and costs that a [`Balancer`](super::Balancer) works with.
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
    /// Maximum number of planned moves of all kinds in progress at a time. Default 4.
    pub max_moves: usize,
    /// Imbalance of a service at or above which balancing starts. Default 1.200.
    pub start_threshold: Ratio,
    /// Imbalance below which balancing stops. The gap to `start_threshold` is the hysteresis.
    /// Default 1.100.
    pub stop_threshold: Ratio,
    /// Cost of moving the keys of a range, as a share of the mean load of a range. Default 0.250.
    pub churn_cost: Ratio,
    /// Cost of holding requests during a move, as a share of the moved load. Default 0.020.
    pub hold_cost: Ratio,
    /// Cost of one KiB of cross-region traffic, in requests. Default 0.010.
    pub byte_cost: Ratio,
    /// Time after a move in which the same shard is not moved again. Default 60 s.
    pub cooldown: Duration,
    /// Load of a key, as a share of the mean load of a server, at or above which the key is split
    /// out into its own shard. Default 0.200.
    pub split_threshold: Ratio,
    /// Load, as a share of the mean load of a server, below which a split-out key is merged back
    /// into its range. Default 0.050.
    pub merge_threshold: Ratio,
    /// Maximum number of keys of a service that have their own shard. Default 24: twice the number
    /// of keys that are hot at a time, since merging the formerly hot keys takes time.
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
    /// Sets the maximum number of planned moves in progress at a time.
    #[must_use]
    pub fn max_moves(mut self, max: usize) -> Self {
        self.max_moves = max;
        self
    }

    /// Sets the imbalance at which balancing of a service starts and the one below which it stops.
    /// The second is capped to the first.
    #[must_use]
    pub fn imbalance(mut self, start_threshold: Ratio, stop_threshold: Ratio) -> Self {
        self.start_threshold = start_threshold;
        self.stop_threshold = stop_threshold.min(start_threshold);
        self
    }

    /// Sets the cost of moving the keys of a range, as a share of the mean load of a range.
    #[must_use]
    pub fn churn_cost(mut self, cost: Ratio) -> Self {
        self.churn_cost = cost;
        self
    }

    /// Sets the time after a move in which the same shard is not moved again.
    #[must_use]
    pub fn cooldown(mut self, cooldown: Duration) -> Self {
        self.cooldown = cooldown;
        self
    }

    /// Sets the shares of the mean load of a server at which a key is split out and merged back.
    /// The second is capped to the first.
    #[must_use]
    pub fn hot_key(mut self, split_threshold: Ratio, merge_threshold: Ratio) -> Self {
        self.split_threshold = split_threshold;
        self.merge_threshold = merge_threshold.min(split_threshold);
        self
    }
}
