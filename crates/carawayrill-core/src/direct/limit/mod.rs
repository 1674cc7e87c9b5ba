//! Limits on the requests a second that a server takes from all fronts together.
//!
//! It is designed for a server in need that most requests must be kept from, with between two and a
//! thousand fronts that send to it and know nothing of each other's requests. A front learns of the
//! limit from a response or from the granter. The granter divides the limit among the fronts by what
//! they want to send; without its word each front takes an equal part, or nothing if it was never told
//! how many fronts there are. A front spends its share in permits that expire soon, so that many
//! fronts that were idle can't send all at once.
//!
//! A cold server is limited too, by the rate that its service declares. It crashes above that rate, so
//! up to a thousand fronts together must stay near it in every second, while the granter is lost and
//! while fronts join. Therefore fewer permits are saved up.

mod cold;
mod division;
mod permits;
mod table;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

pub use self::division::FrontShare;
pub use self::division::LimitDivision;
pub use self::permits::Permits;
pub use self::table::LimitReport;
pub use self::table::ServerLimits;
use crate::Error;
use crate::direct::incarnation::Born;
use crate::id::ServerId;
use crate::number;
use crate::time::Time;
use crate::time::floor_to_u64;

/// The least limit that is kept, in requests a second. With less, no front would learn that a server
/// takes more again.
const MIN_LIMIT: f64 = 0.1;
/// The highest rate that is distinguished from an unlimited one, in requests a second.
const MAX_RATE: f64 = 1e9;

number! {
    /// A rate in thousandths of a request a second.
    RequestRate;
}

/// What a response of a server said of the server's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitStatement {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub born: Born,
    /// The limit; `None` if the server named one before and no longer does.
    pub limit: Option<RequestRate>,
    /// The time since the response; [`Duration::MAX`] if there was none.
    pub age: Duration,
    /// What is known of the time for which the server is cold; `None` if it is warm.
    pub cold: Option<ColdStatement>,
}

/// The limit of a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStatement {
    /// The requests a second that the server takes until it is warm.
    pub rate: RequestRate,
    /// The time until it is warm.
    pub left: Duration,
}

impl LimitStatement {
    /// Returns the lower of the limit that the server names and that of a cold server.
    #[must_use]
    pub fn effective(&self) -> Option<RequestRate> {
        let cold = self.cold.map(|cold| cold.rate);
        lower(self.limit, cold)
    }
}

/// Returns the age of what a response said of a limit. It is endless if none said anything, so that
/// no process takes it for a later statement.
fn age_of(named_at: Time, now: Time) -> Duration {
    if named_at == Time::default() {
        return Duration::MAX;
    }
    now.since(named_at)
}

/// Returns the lower of two limits.
fn lower(one: Option<RequestRate>, other: Option<RequestRate>) -> Option<RequestRate> {
    one.into_iter().chain(other).min()
}

impl RequestRate {
    /// Returns the rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the limit that is kept for this one, in requests a second.
    fn kept(self) -> f64 {
        self.per_second().max(MIN_LIMIT)
    }

    /// Returns the rate that is nearest to a number of requests a second; zero if it is not a
    /// positive number.
    #[must_use]
    pub fn from_per_second(rate: f64) -> Self {
        Self(floor_to_u64(rate.clamp(0.0, MAX_RATE) * 1_000.0 + 0.5))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse()
            .ok()
            .filter(|rate| (0.0..=MAX_RATE).contains(rate))
            .map(Self::from_per_second)
            .ok_or_else(|| Error::syntax("RequestRate", text, "a number of requests a second"))
    }
}
