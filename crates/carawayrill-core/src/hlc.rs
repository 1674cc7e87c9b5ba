//! A hybrid logical clock, which orders causally related events of different processes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::time::WallTime;

/// A timestamp of the hybrid logical clock, with the text form `wall.count`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Stamp {
    /// Milliseconds since 1970; never lower than in any timestamp that the process has seen.
    pub wall: u64,
    /// A counter that orders timestamps of the same millisecond.
    pub count: u32,
}

/// The hybrid logical clock of one process.
///
/// # Examples
///
/// ```
/// use carawayrill_core::hlc::HybridClock;
/// use carawayrill_core::time::WallTime;
///
/// let mut sender = HybridClock::default();
/// let mut receiver = HybridClock::default();
/// let sent = sender.tick(WallTime(1_000));
/// // The receiver's wall clock is behind, but its timestamp is later than the sender's.
/// let received = receiver.observe(sent, WallTime(900));
/// assert!(received > sent);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event or of a message that is about to be sent.
    pub fn tick(&mut self, now: WallTime) -> Stamp {
        self.last = if now.0 > self.last.wall {
            Stamp {
                wall: now.0,
                count: 0,
            }
        } else {
            Stamp {
                wall: self.last.wall,
                count: self.last.count + 1,
            }
        };
        self.last
    }

    /// Returns the timestamp of the receipt of a message that carries `remote`.
    pub fn observe(&mut self, remote: Stamp, now: WallTime) -> Stamp {
        self.last = self.last.max(remote);
        self.tick(now)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall, self.count)
    }
}

impl FromStr for Stamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::syntax("Stamp", text, "`milliseconds.count`");
        let (wall, count) = text.split_once('.').ok_or_else(bad)?;
        let wall = wall.parse().map_err(|_err| bad())?;
        let count = count.parse().map_err(|_err| bad())?;
        Ok(Self { wall, count })
    }
}

impl TryFrom<String> for Stamp {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Stamp> for String {
    fn from(stamp: Stamp) -> Self {
        stamp.to_string()
    }
}
