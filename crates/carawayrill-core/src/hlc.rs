//! A hybrid logical clock: it orders the events of many processes by cause.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::time::WallTime;

/// A reading of the hybrid logical clock. Written `wall.count`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Stamp {
    /// Milliseconds since 1970, never behind any stamp that the process has seen.
    pub wall: u64,
    /// Orders stamps of the same millisecond.
    pub count: u32,
}

/// The clock of one process.
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
/// // The receiver's wall clock is behind; its stamp still follows the sender's.
/// let received = receiver.observe(sent, WallTime(900));
/// assert!(received > sent);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Stamps a local event or a message about to be sent.
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

    /// Stamps the receipt of a message that carries `remote`.
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
