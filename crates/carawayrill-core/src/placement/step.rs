//! Changes that placement decides on, each with its costs and benefits.

use std::fmt;

use super::rows::Placement;
use crate::assignment::Reason;
use crate::data;
use crate::id::ShardId;
use crate::small_data;

small_data! {
    /// Costs and benefits of a step, in requests of one demand window.
    #[derive(Default)]
    pub struct CostBenefit {
        /// Reduction of load above the mean, plus the cross-region traffic saved.
        pub gain: u64,
        /// Cost of the keys that change owner, plus the requests held during the move and the
        /// cross-region traffic added.
        pub cost: u64,
    }
}

data! {
    /// One change of a shard's placement.
    pub struct Move {
        /// The placement in force.
        pub from: Placement,
        /// The desired placement.
        pub to: Placement,
        /// The reason of the change.
        pub reason: Reason,
        /// Whether the shard is unserved, or is left with one home, until the move is done.
        pub urgent: bool,
        /// Costs and benefits of the move.
        pub worth: CostBenefit,
    }

    /// One change that placement decides on.
    #[serde(tag = "step", rename_all = "snake_case")]
    pub enum Step {
        /// Changes the placement of a shard.
        Move(Move),
        /// Splits a hot key out of its range. Owner and homes stay the same, so that no key moves
        /// yet.
        Split {
            /// The placement of the new shard, equal to that of its range.
            to: Placement,
            /// Costs and benefits: the gain is the load that can be moved afterwards.
            worth: CostBenefit,
        },
        /// Merges a key that is no longer hot into its range. Both have the same owner and homes.
        Merge {
            /// The shard of the key.
            shard: ShardId,
            /// The range that the key belongs to.
            into: ShardId,
        },
    }
}

impl Move {
    /// Returns whether the owner changes.
    #[must_use]
    pub fn changes_owner(&self) -> bool {
        self.from.owner != self.to.owner
    }

    /// Returns whether the home changes.
    #[must_use]
    pub fn changes_home(&self) -> bool {
        self.from.home != self.to.home
    }
}

impl fmt::Display for CostBenefit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "gain {} cost {}", self.gain, self.cost)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Move(step) => write!(
                f,
                "move {} {} -> {} home {} -> {} ({:?}, {})",
                step.from.shard,
                step.from.owner,
                step.to.owner,
                step.from.home,
                step.to.home,
                step.reason,
                step.worth,
            ),
            Self::Split { to, worth } => write!(f, "split {} at {} ({worth})", to.shard, to.owner),
            Self::Merge { shard, into } => write!(f, "merge {shard} into {into}"),
        }
    }
}
