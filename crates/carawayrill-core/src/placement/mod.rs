//! Placement: which server owns a shard, who stands by, and which routers are their homes.
//!
//! Inputs are plain rows ([`Fleet`], shards and assignments in force), outputs are plain rows
//! with the reason for each. Nothing here depends on how operators declare a service, and the
//! same input always gives the same output.
//!
//! # Examples
//!
//! ```
//! use carawayrill_core::placement::Fleet;
//! use carawayrill_core::placement::initial;
//!
//! // Without servers nothing is placed, and the plan says so by leaving the shards open.
//! let plan = initial(&Fleet::default(), &["forms/0".parse()?], &[]);
//! assert!(plan.placed.is_empty());
//! assert_eq!(plan.open.len(), 1);
//! # Ok::<(), carawayrill_core::Error>(())
//! ```

mod homes;
mod initial;
mod rows;
mod standby;

pub use self::homes::HomePair;
pub use self::homes::Homes;
pub use self::initial::Plan;
pub use self::initial::initial;
pub use self::rows::Degraded;
pub use self::rows::Fleet;
pub use self::rows::NodeState;
pub use self::rows::Placed;
pub use self::rows::RouterRow;
pub use self::rows::ServerRow;
pub use self::rows::Shortfall;
pub use self::rows::shortfalls;
