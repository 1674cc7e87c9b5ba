//! How the granter divides the limits of servers among the fronts.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::LimitReport;
use super::LimitStatement;
use super::RequestRate;
use super::age_of;
use super::cold::ColdPeriod;
use super::lower;
use crate::direct::cold::Origin;
use crate::direct::incarnation::Born;
use crate::direct::incarnation::IncarnationOrder;
use crate::id::ServerId;
use crate::time::Time;

/// How long a limit counts after the last response that named it.
const LIMIT_TTL: Duration = Duration::from_secs(10);
/// The part of a limit that is divided equally, for fronts that begin to send.
const EQUAL_PART: f64 = 0.2;
/// How long a new granter divides the limits of cold servers only equally. Until then fronts use the
/// shares that the former granter assigned, and the new one knows what few of them want to send.
const TAKEOVER_TIME: Duration = Duration::from_millis(2_500);
/// The half-life of the requests that a front wanted to send.
const WANTED_HALF_LIFE: Duration = Duration::from_secs(1);
/// The number of requests, after decay, below which a front no longer counts.
const MIN_WANTED: f64 = 0.01;

/// The share of one front in the limit of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontShare {
    /// The latest statement that the granter knows of.
    pub statement: LimitStatement,
    /// The share of the front.
    pub share: RequestRate,
}

/// The requests that a front wanted to send, with decay.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    requests: f64,
    at: Time,
}

impl Wanted {
    fn requests_at(self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / WANTED_HALF_LIFE.as_secs_f64();
        self.requests * (-half_lives).exp2()
    }
}

#[derive(Debug)]
struct DividedLimit {
    born: Born,
    limit: Option<RequestRate>,
    named_at: Time,
    cold: Option<ColdPeriod>,
    wanted: BTreeMap<CompactString, Wanted>,
}

/// The limits of all servers, and what each front wants to send.
#[derive(Debug, Default)]
pub struct LimitDivision {
    /// When the granter began.
    started: Time,
    /// The number of fronts that it knew of then. Not all of them report to it at once.
    known_fronts: u32,
    servers: BTreeMap<ServerId, DividedLimit>,
}

impl LimitDivision {
    /// Creates the division of a granter that began at `now`, when it knew of `known_fronts` fronts.
    #[must_use]
    pub fn new(known_fronts: u32, now: Time) -> Self {
        Self {
            known_fronts,
            started: now,
            servers: BTreeMap::new(),
        }
    }

    /// Adds what a front reports of a limit.
    pub fn add_report(&mut self, front: &CompactString, report: &LimitReport, now: Time) {
        let statement = &report.statement;
        let named_at = now - statement.age;
        let divided = self
            .servers
            .entry(statement.server.clone())
            .or_insert_with(|| DividedLimit {
                born: statement.born,
                limit: statement.limit,
                named_at,
                cold: None,
                wanted: BTreeMap::new(),
            });
        match statement.born.relative_to(divided.born) {
            IncarnationOrder::Earlier => return,
            IncarnationOrder::Same => {}
            IncarnationOrder::Later => {
                divided.born = statement.born;
                divided.limit = statement.limit;
                divided.named_at = named_at;
                divided.cold = None;
            }
        }
        if named_at > divided.named_at {
            divided.limit = statement.limit;
            divided.named_at = named_at;
        }
        let cold = statement.cold.map(|cold| ColdPeriod::new(cold, now));
        divided.cold = ColdPeriod::merge(divided.cold, cold, Origin::Relayed);
        let before = divided.wanted.get(front).copied();
        let requests =
            before.map_or(0.0, |wanted| wanted.requests_at(now)) + f64::from(report.wanted);
        let wanted = Wanted { requests, at: now };
        divided.wanted.insert(front.clone(), wanted);
    }

    /// Forgets limits that were not named for long, those of cold servers that are warm, and fronts that send nothing.
    pub fn expire(&mut self, now: Time) {
        self.servers.retain(|_, divided| {
            let is_named = divided.named_at > Time::default();
            let is_recent = is_named && now.since(divided.named_at) < LIMIT_TTL;
            is_recent || divided.is_cold(now)
        });
        for divided in self.servers.values_mut() {
            divided
                .wanted
                .retain(|_, wanted| wanted.requests_at(now) >= MIN_WANTED);
        }
    }

    /// Returns the shares of one of `fronts` fronts. All shares in a server's limit together are
    /// the limit.
    #[must_use]
    pub fn shares_of(&self, front: &str, fronts: u32, now: Time) -> Vec<FrontShare> {
        let is_taking_over = now.since(self.started) < TAKEOVER_TIME;
        let takeover_fronts = is_taking_over.then_some(self.known_fronts.max(fronts));
        let shares = self.servers.iter().map(|(server, divided)| FrontShare {
            statement: LimitStatement {
                server: server.clone(),
                born: divided.born,
                limit: divided.limit,
                age: age_of(divided.named_at, now),
                cold: divided.cold.and_then(|cold| cold.statement(now)),
            },
            share: divided.share_of(front, fronts, takeover_fronts, now),
        });
        shares.collect()
    }
}

impl DividedLimit {
    fn is_cold(&self, now: Time) -> bool {
        self.cold.is_some_and(|cold| cold.rate_at(now).is_some())
    }

    fn share_of(
        &self,
        front: &str,
        fronts: u32,
        takeover_fronts: Option<u32>,
        now: Time,
    ) -> RequestRate {
        let cold = self.cold.and_then(|cold| cold.rate_at(now));
        let limit = lower(self.limit, cold).map_or(0.0, RequestRate::kept);
        let takeover_fronts = takeover_fronts.filter(|_| cold.is_some());
        let fronts = takeover_fronts.unwrap_or(fronts);
        let equal = 1.0 / f64::from(fronts.max(1));
        let total: f64 = self
            .wanted
            .values()
            .map(|wanted| wanted.requests_at(now))
            .sum();
        let own = self.wanted.get(front);
        let own = own.map_or(0.0, |wanted| wanted.requests_at(now));
        let part = if total < MIN_WANTED || takeover_fronts.is_some() {
            equal
        } else {
            EQUAL_PART * equal + (1.0 - EQUAL_PART) * own / total
        };
        RequestRate::from_per_second(limit * part)
    }
}
