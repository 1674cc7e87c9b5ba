//! What load is made, checked.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use carawayrill_core::id::ServiceId;
use compact_str::CompactString;

use crate::Error;
use crate::load::keys::KeyPattern;

/// The most requests of one run.
pub const MAX_REQUESTS: u64 = 5_000_000;
/// The longest run.
pub const MAX_TIME: Duration = Duration::from_mins(10);

/// A service to load and the header that carries its key, written `forms=x-form`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The header of its key.
    pub header: CompactString,
    /// Whether each request carries an idempotency key.
    pub idempotency_key: bool,
}

impl FromStr for Target {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::settings(format!("`{text}`: expected `service=header`"));
        let (service, header) = text.split_once('=').ok_or_else(bad)?;
        Ok(Self {
            service: service.parse().map_err(|_err| bad())?,
            header: header.into(),
            idempotency_key: false,
        })
    }
}

/// What load is made. [`Settings::check`] has to pass before it is used.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Routers, or servers in direct mode; each request goes to the next of them.
    pub addresses: Vec<SocketAddr>,
    /// Whether the addresses are servers.
    pub direct: bool,
    /// The services to load, in turn.
    pub services: Vec<Target>,
    /// Share of requests that carry an idempotency key, for services without a rule of their own.
    pub idempotency_key_share: f64,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub time: Duration,
    /// How long latencies are left out at the start.
    pub warm_up: Duration,
    /// Which keys requests are for.
    pub keys: KeyPattern,
    /// The seed of all choices.
    pub seed: u64,
    /// How often a request may be sent, each time to the next address.
    pub attempts: u32,
    /// The time limit that each attempt names.
    pub deadline: Duration,
    /// Requests that may be in flight; those beyond count as not sent.
    pub in_flight: usize,
}

impl Settings {
    /// Returns settings for `addresses`: 100 requests a second for 5 s over 1,000 uniform keys.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, services: Vec<Target>) -> Self {
        Self {
            addresses,
            direct: false,
            services,
            idempotency_key_share: 0.2,
            rate: 100.0,
            time: Duration::from_secs(5),
            warm_up: Duration::ZERO,
            keys: KeyPattern::uniform(1_000),
            seed: 1,
            attempts: 1,
            deadline: Duration::from_secs(2),
            in_flight: 20_000,
        }
    }

    /// Returns how many requests are planned.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rate and time are checked to be positive and bounded"
    )]
    pub fn requests(&self) -> u64 {
        (self.rate * self.time.as_secs_f64()) as u64
    }

    /// Checks that the load is bounded and stays on this machine.
    ///
    /// # Errors
    ///
    /// Fails with the first setting that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        let rules = [
            (!self.addresses.is_empty(), "at least one address is needed"),
            (
                self.addresses.iter().all(|addr| addr.ip().is_loopback()),
                "load goes to loopback addresses only",
            ),
            (!self.services.is_empty(), "at least one service is needed"),
            (
                (0.0..=1.0).contains(&self.idempotency_key_share),
                "the share of requests with an idempotency key is 0 to 1",
            ),
            (self.rate > 0.0, "the rate is more than 0"),
            (self.time <= MAX_TIME, "a run lasts up to 10 min"),
            (
                self.requests() <= MAX_REQUESTS,
                "a run has up to 5,000,000 requests",
            ),
            (self.attempts > 0, "each request is sent at least once"),
            (!self.keys.is_empty(), "at least one key is needed"),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, expected)) => Err(Error::settings(*expected)),
            None => Ok(()),
        }
    }
}
