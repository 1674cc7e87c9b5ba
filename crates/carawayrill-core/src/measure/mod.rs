//! What the users measure: imbalance, churn and unavailable time.
//!
//! Tests, benchmarks and daemons all compute these three here, so that their figures mean the
//! same. Units: imbalance is a [`Ratio`] (maximum to mean load); churn is a [`Ratio`] (share of
//! the keys that changed owner in one event) beside the least possible share; unavailable time is
//! in milliseconds a shard.
//!
//! # Examples
//!
//! ```
//! use carawayrill_core::measure::ServerLoad;
//! use carawayrill_core::measure::imbalance;
//!
//! let loads = [ServerLoad::new(300, 1), ServerLoad::new(100, 1)];
//! assert_eq!(imbalance(&loads).to_string(), "1.500");
//! ```

mod churn;
mod imbalance;
mod ratio;
mod unavailable;

pub use self::churn::Churn;
pub use self::churn::OwnedItem;
pub use self::imbalance::ServerLoad;
pub use self::imbalance::imbalance;
pub use self::ratio::Ratio;
pub use self::unavailable::Outage;
pub use self::unavailable::UnavailableTable;
