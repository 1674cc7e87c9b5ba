//! Which servers are cold, and how their capacity grows back.
//!
//! It is designed for up to 300 servers, of which a whole data centre may return cold at once while
//! the others carry its load. A server may become cold at any time, and what is said of it arrives
//! late and out of order: the latest end of the cold time counts. Afterwards the capacity grows
//! steadily, so that the granter hands keys back over some seconds instead of all at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::incarnation::Born;
use crate::direct::incarnation::IncarnationOrder;
use crate::id::ServerId;
use crate::time::Time;

/// The longest time for which a server counts as cold after one statement; longer ones are clamped.
pub(super) const MAX_COLD: Duration = Duration::from_mins(1);
/// The time in which the capacity of a server that is warm again grows back.
const GROWTH_TIME: Duration = Duration::from_secs(2);

/// How much later than the known end a relayed one must be to count. Fronts and the granter relay
/// what they know to each other, each time a little late; without this slack the end would move on
/// with each message.
const RELAY_SLACK: Duration = Duration::from_millis(300);

/// How a process learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// From the server itself, by its entry or a response.
    Server,
    /// From a front or the granter.
    Relayed,
}

impl Origin {
    /// Returns the end of the cold time if `known` is known and `stated` is stated.
    pub(super) fn later_end(self, known: Time, stated: Time) -> Time {
        let slack = match self {
            Self::Server => Duration::ZERO,
            Self::Relayed => RELAY_SLACK,
        };
        if stated > known + slack {
            stated
        } else {
            known
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ColdServer {
    born: Born,
    until: Time,
}

/// The servers that are cold, or were until recently.
#[derive(Debug, Default)]
pub struct ColdServers {
    rows: BTreeMap<ServerId, ColdServer>,
}

impl ColdServers {
    /// Records that an incarnation of a server is cold for `cold_for` from `now` on. Returns the time
    /// for which it is known to be cold, or zero if a later incarnation is known.
    pub fn record(
        &mut self,
        id: &ServerId,
        born: Born,
        cold_for: Duration,
        origin: Origin,
        now: Time,
    ) -> Duration {
        let known = self.rows.get(id).copied();
        let relation = known.map(|known| born.relative_to(known.born));
        if relation == Some(IncarnationOrder::Earlier) {
            return Duration::ZERO;
        }
        let same = known.filter(|_| relation == Some(IncarnationOrder::Same));
        if same.is_none() && cold_for.is_zero() {
            self.rows.remove(id);
            return Duration::ZERO;
        }
        let stated = now + cold_for.min(MAX_COLD);
        let until = same.map_or(stated, |known| origin.later_end(known.until, stated));
        self.rows.insert(id.clone(), ColdServer { born, until });
        until.since(now)
    }

    /// Returns the time until an incarnation of a server is warm; zero if it is.
    #[must_use]
    pub fn left(&self, id: &ServerId, born: Born, now: Time) -> Duration {
        let row = self.rows.get(id).filter(|row| row.born == born);
        row.map_or(Duration::ZERO, |row| row.until.since(now))
    }

    /// Returns the capacity of a server whose capacity is `full` when it is warm: `cold` while it is
    /// cold, and more with each moment after that.
    #[must_use]
    pub fn capacity(&self, id: &ServerId, born: Born, full: f64, cold: f64, now: Time) -> f64 {
        let Some(row) = self.rows.get(id).filter(|row| row.born == born) else {
            return full;
        };
        let least = cold.min(full);
        let grown = now.since(row.until).as_secs_f64() / GROWTH_TIME.as_secs_f64();
        least + (full - least) * grown.min(1.0)
    }

    /// Iterates over the servers that are cold, with the time until each is warm.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (&ServerId, Born, Duration)> {
        let cold = self.rows.iter().filter(move |(_, row)| now < row.until);
        cold.map(move |(id, row)| (id, row.born, row.until.since(now)))
    }

    /// Forgets the servers whose capacity has grown back.
    pub fn expire(&mut self, now: Time) {
        self.rows.retain(|_, row| now < row.until + GROWTH_TIME);
    }
}
