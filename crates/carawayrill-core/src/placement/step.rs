//! What placement wants to have done, with the worth of each step.

use std::fmt;

use super::rows::Placement;
use crate::assignment::Reason;
use crate::data;
use crate::id::ShardId;
use crate::small_data;

small_data! {
    /// What a step is worth, in requests of one demand window.
    #[derive(Default)]
    pub struct CostBenefit {
        /// Load above the mean that goes away, and cross-region bytes saved.
        pub gain: u64,
        /// Keys that change owner, requests that are held meanwhile, and cross-region bytes added.
        pub cost: u64,
    }
}

data! {
    /// One change of a shard's placement.
    pub struct Move {
        /// The placement in force.
        pub from: Placement,
        /// The placement wanted.
        pub to: Placement,
        /// Why.
        pub reason: Reason,
        /// Whether the shard is not served, or has lost one of its two homes, until this is done.
        pub urgent: bool,
        /// What it is worth.
        pub worth: CostBenefit,
    }

    /// One step.
    #[serde(tag = "step", rename_all = "snake_case")]
    pub enum Step {
        /// Change a shard's placement.
        Move(Move),
        /// Split a hot key out of its range. Owner and homes stay, so that nothing moves yet.
        Split {
            /// The new shard's placement: that of its range.
            to: Placement,
            /// What it is worth: the load that can be moved afterwards.
            worth: CostBenefit,
        },
        /// Merge a key that is cold again into its range, with which it shares owner and homes.
        Merge {
            /// The key's shard.
            shard: ShardId,
            /// The range.
            into: ShardId,
        },
    }
}

impl Move {
    /// Tells whether keys change owner.
    #[must_use]
    pub fn changes_owner(&self) -> bool {
        self.from.owner != self.to.owner
    }

    /// Tells whether the home changes.
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
