//! Decides where shards go: the owner and the standby server of each shard, and their homes.
//!
//! The functions of this module do no I/O. Inputs are plain rows ([`Fleet`], shards and the
//! assignments in force), outputs are plain rows with a reason for each change. Nothing here
//! depends on how operators declare a service, and the same input always gives the same output.
//!
//! # Examples
//!
//! ```
//! use carawayrill_core::placement::Fleet;
//! use carawayrill_core::placement::plan_initial;
//!
//! // Without servers no shard can be placed; the plan lists the shards in `open`.
//! let plan = plan_initial(&Fleet::default(), &["forms/0".parse()?], &[]);
//! assert!(plan.placed.is_empty());
//! assert_eq!(plan.open.len(), 1);
//! # Ok::<(), carawayrill_core::Error>(())
//! ```

mod balance;
pub mod baseline;
mod config;
mod demand;
mod homes;
mod hot_key;
mod initial;
mod replace;
mod rows;
mod standby;
mod step;

pub use self::balance::Balancer;
pub use self::config::BalanceConfig;
pub use self::demand::Demand;
pub use self::demand::HotDemand;
pub use self::demand::RegionBytes;
pub use self::homes::HomePair;
pub use self::homes::Homes;
pub use self::initial::Plan;
pub use self::initial::plan_initial;
pub use self::replace::EndedIncarnations;
pub use self::replace::limit_moves;
pub use self::replace::plan_replacements;
pub use self::replace::set_cost_benefit;
pub use self::rows::Fleet;
pub use self::rows::NodeState;
pub use self::rows::Placement;
pub use self::rows::RouterRow;
pub use self::rows::ServerRow;
pub use self::rows::ShardShortfall;
pub use self::rows::Shortfall;
pub use self::rows::shortfalls;
pub use self::step::CostBenefit;
pub use self::step::Move;
pub use self::step::Step;
