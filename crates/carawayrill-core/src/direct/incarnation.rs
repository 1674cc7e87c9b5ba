//! The incarnations of a server: a server may start again under the id that it had.
//!
//! The store may carry out a write seconds late, fronts relay what they know to each other, and a
//! granter may read a record that is ahead of its list of servers. So a statement about a server may
//! be of any of its incarnations, and that it is of *another* one than the known incarnation says
//! nothing by itself: only one of a *later* incarnation shows that the known one has ended.

use std::fmt;
use std::str::FromStr;

use crate::Error;

/// The start time of a server, in milliseconds of its own wall clock. It identifies one incarnation
/// among those with the same server id, and is compared with no other clock.
///
/// It has no order of its own, so that each comparison names what it means; see
/// [`relative_to`](Self::relative_to).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Born(pub u64);

/// How one incarnation of a server relates to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// It started before the other one, and had ended when that one started.
    Earlier,
    /// It is the other one.
    Same,
    /// It started after the other one, which has ended.
    Later,
}

impl Born {
    /// Returns how this incarnation relates to the `known` one of the same server.
    #[must_use]
    pub const fn relative_to(self, known: Self) -> IncarnationOrder {
        if self.0 < known.0 {
            IncarnationOrder::Earlier
        } else if self.0 == known.0 {
            IncarnationOrder::Same
        } else {
            IncarnationOrder::Later
        }
    }
}

impl fmt::Display for Born {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Born {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse::<u64>()
            .map(Self)
            .map_err(|_err| Error::syntax("Born", text, "a whole number"))
    }
}
