//! Service-level measures: imbalance, churn and unavailable time.
//!
//! Tests, benchmarks and daemons all use this module, so that their figures are comparable.
//! Imbalance is a [`Ratio`] (maximum to mean load). Churn is a [`Ratio`] (the share of the keys
//! that change owner in one event), reported with the lowest possible share. Unavailable time is
//! in milliseconds per shard.
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
