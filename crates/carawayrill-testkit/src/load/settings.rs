//! The settings of a load run.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use carawayrill_core::id::ServiceId;
use compact_str::CompactString;

use crate::Error;
use crate::load::keys::KeyPattern;

/// The maximum number of requests of one run.
pub const MAX_REQUESTS: u64 = 5_000_000;
/// The maximum duration of a run.
pub const MAX_TIME: Duration = Duration::from_mins(10);

/// A service to send requests to, with the header that carries the key. Parsed from text such as
/// `forms=x-form`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The id of the service.
    pub service: ServiceId,
    /// The name of the header that carries the key.
    pub header: CompactString,
    /// Whether each request carries an idempotency key.
    pub idempotency_key: bool,
}

impl FromStr for Target {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::settings(format!("expected `service=header`, found `{text}`"));
        let (service, header) = text.split_once('=').ok_or_else(bad)?;
        Ok(Self {
            service: service.parse().map_err(|_err| bad())?,
            header: header.into(),
            idempotency_key: false,
        })
    }
}

/// The settings of a load run. They are only valid if [`Settings::check`] succeeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The addresses of routers, or of servers in direct mode. Requests go to them in turn.
    pub addresses: Vec<SocketAddr>,
    /// Whether the addresses are those of servers, so that requests bypass the routers.
    pub direct: bool,
    /// The services. Requests go to them in turn.
    pub services: Vec<Target>,
    /// The share of requests with an idempotency key, from 0 to 1, for services that don't always
    /// send one.
    pub idempotency_key_share: f64,
    /// The number of requests per second.
    pub rate: f64,
    /// The time during which requests are sent.
    pub time: Duration,
    /// The time at the start whose requests are left out of the latencies.
    pub warm_up: Duration,
    /// The distribution of requests over keys.
    pub keys: KeyPattern,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of attempts per request, each at the next address.
    pub attempts: u32,
    /// The deadline of each attempt, counted from when it is sent.
    pub deadline: Duration,
    /// The maximum number of requests in flight. Further requests count as not sent.
    pub in_flight: usize,
}

impl Settings {
    /// Returns settings with 100 requests per second for 5 s over 1,000 uniformly distributed keys.
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

    /// Returns the number of requests in the schedule.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rate and time are checked to be positive and bounded"
    )]
    pub fn requests(&self) -> u64 {
        (self.rate * self.time.as_secs_f64()) as u64
    }

    /// Checks that the load is bounded and goes to loopback addresses only.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        let rules = [
            (!self.addresses.is_empty(), "at least one address is needed"),
            (
                self.addresses.iter().all(|addr| addr.ip().is_loopback()),
                "all addresses must be loopback addresses",
            ),
            (!self.services.is_empty(), "at least one service is needed"),
            (
                (0.0..=1.0).contains(&self.idempotency_key_share),
                "the share of requests with an idempotency key must be from 0 to 1",
            ),
            (self.rate > 0.0, "the rate must be greater than 0"),
            (self.time <= MAX_TIME, "a run may last up to 10 min"),
            (
                self.requests() <= MAX_REQUESTS,
                "a run may have up to 5,000,000 requests",
            ),
            (self.attempts > 0, "at least one attempt is needed"),
            (!self.keys.is_empty(), "at least one key is needed"),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, expected)) => Err(Error::settings(*expected)),
            None => Ok(()),
        }
    }
}
