//! How the granter divides the limits of servers among the fronts.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::LimitReport;
use super::LimitStatement;
use super::RequestRate;
use crate::direct::keys::Born;
use crate::id::ServerId;
use crate::time::Time;

/// How long a limit counts after the last response that named it.
const LIMIT_TTL: Duration = Duration::from_secs(10);
/// The part of a limit that is divided equally, for fronts that begin to send.
const EQUAL_PART: f64 = 0.2;
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
    wanted: BTreeMap<CompactString, Wanted>,
}

/// The limits of all servers, and what each front wants to send.
#[derive(Debug, Default)]
pub struct LimitDivision {
    servers: BTreeMap<ServerId, DividedLimit>,
}

impl LimitDivision {
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
                wanted: BTreeMap::new(),
            });
        if named_at > divided.named_at {
            divided.born = statement.born;
            divided.limit = statement.limit;
            divided.named_at = named_at;
        }
        let before = divided.wanted.get(front).copied();
        let requests =
            before.map_or(0.0, |wanted| wanted.requests_at(now)) + f64::from(report.wanted);
        let wanted = Wanted { requests, at: now };
        divided.wanted.insert(front.clone(), wanted);
    }

    /// Forgets limits that were not named for long, and fronts that send nothing.
    pub fn expire(&mut self, now: Time) {
        self.servers
            .retain(|_, divided| now.since(divided.named_at) < LIMIT_TTL);
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
        let shares = self.servers.iter().map(|(server, divided)| FrontShare {
            statement: LimitStatement {
                server: server.clone(),
                born: divided.born,
                limit: divided.limit,
                age: now.since(divided.named_at),
            },
            share: divided.share_of(front, fronts, now),
        });
        shares.collect()
    }
}

impl DividedLimit {
    fn share_of(&self, front: &str, fronts: u32, now: Time) -> RequestRate {
        let limit = self.limit.map_or(0.0, RequestRate::kept);
        let equal = 1.0 / f64::from(fronts.max(1));
        let total: f64 = self
            .wanted
            .values()
            .map(|wanted| wanted.requests_at(now))
            .sum();
        let own = self.wanted.get(front);
        let own = own.map_or(0.0, |wanted| wanted.requests_at(now));
        let part = if total < MIN_WANTED {
            equal
        } else {
            EQUAL_PART * equal + (1.0 - EQUAL_PART) * own / total
        };
        RequestRate::from_per_second(limit * part)
    }
}
