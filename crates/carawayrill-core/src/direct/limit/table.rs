//! What one front knows of the limits of servers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FrontShare;
use super::LimitStatement;
use super::Permits;
use super::RequestRate;
use crate::direct::keys::Born;
use crate::id::ServerId;
use crate::time::Time;

/// The retry-after time if a server takes no requests for an unknown time.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// How long the share that the granter has assigned counts.
const SHARE_TTL: Duration = Duration::from_secs(2);

/// What a front reports of a server's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitReport {
    /// The latest statement that the front knows of.
    pub statement: LimitStatement,
    /// The number of requests that this front sent or would have sent since its last report.
    pub wanted: u32,
}

#[derive(Debug)]
struct NamedLimit {
    born: Born,
    limit: Option<RequestRate>,
    /// When a response said so.
    named_at: Time,
    /// The share that the granter has assigned, and when.
    share: Option<(RequestRate, Time)>,
    permits: Permits,
    wanted: u32,
}

impl NamedLimit {
    fn new(statement: &LimitStatement, named_at: Time, fronts: u32, phase: f64) -> Self {
        let mut named = Self {
            born: statement.born,
            limit: statement.limit,
            named_at,
            share: None,
            permits: Permits::new(phase, named_at),
            wanted: 0,
        };
        named.refresh(fronts, named_at);
        named
    }

    /// Brings the rate of the permits up to date: to the share that the granter has assigned, or to
    /// an equal share.
    fn refresh(&mut self, fronts: u32, now: Time) {
        let limit = self.limit.unwrap_or_default().kept();
        let share = self.share.filter(|(_, at)| now.since(*at) < SHARE_TTL);
        let rate = match share {
            Some((share, _)) => share.per_second(),
            None => limit / f64::from(fronts.max(1)),
        };
        self.permits.set_rate(rate, limit, now);
    }
}

/// The limits of servers, and this front's permits.
#[derive(Debug, Default)]
pub struct ServerLimits {
    named: BTreeMap<ServerId, NamedLimit>,
}

impl ServerLimits {
    /// Records what a response said at `now` or before. `phase`, between 0 and 1, differs from front to
    /// front. Returns whether the limit has changed.
    pub fn record(
        &mut self,
        statement: &LimitStatement,
        fronts: u32,
        phase: f64,
        now: Time,
    ) -> bool {
        let named_at = now - statement.age;
        let known = self.named.get_mut(&statement.server);
        let Some(known) = known.filter(|known| known.born == statement.born) else {
            if statement.limit.is_some() {
                let named = NamedLimit::new(statement, named_at, fronts, phase);
                self.named.insert(statement.server.clone(), named);
            }
            return statement.limit.is_some();
        };
        if named_at < known.named_at {
            return false;
        }
        known.named_at = named_at;
        let has_changed = known.limit != statement.limit;
        known.limit = statement.limit;
        if has_changed {
            known.share = None;
            known.refresh(fronts, now);
        }
        has_changed
    }

    /// Returns whether a response has named a limit of the server.
    #[must_use]
    pub fn contains(&self, server: &ServerId) -> bool {
        self.named.contains_key(server)
    }

    /// Returns the limit of a server.
    #[must_use]
    pub fn get(&self, server: &ServerId) -> Option<RequestRate> {
        self.named.get(server)?.limit
    }

    /// Returns whether a request may be sent to a server as far as its limit is concerned.
    #[must_use]
    pub fn allows(&self, server: &ServerId, now: Time) -> bool {
        self.limited(server)
            .is_none_or(|named| named.permits.is_available(now))
    }

    /// Returns the time until a request may be sent to a server; zero if it may be sent now.
    #[must_use]
    pub fn wait(&self, server: &ServerId, now: Time) -> Duration {
        self.limited(server).map_or(Duration::ZERO, |named| {
            named.permits.wait(now).unwrap_or(LONGEST_WAIT)
        })
    }

    fn limited(&self, server: &ServerId) -> Option<&NamedLimit> {
        let named = self.named.get(server)?;
        named.limit.is_some().then_some(named)
    }

    /// Counts a request that is sent to a server.
    pub fn record_sent(&mut self, server: &ServerId, now: Time) {
        if let Some(named) = self.named.get_mut(server) {
            named.wanted += 1;
            named.permits.take(now);
        }
    }

    /// Counts a request that was refused because of a server's limit.
    pub fn record_refused(&mut self, server: &ServerId) {
        if let Some(named) = self.named.get_mut(server) {
            named.wanted += 1;
        }
    }

    /// Applies the share that the granter has assigned to this front. Returns whether the limit has
    /// changed.
    pub fn apply_share(&mut self, share: &FrontShare, fronts: u32, phase: f64, now: Time) -> bool {
        let statement = &share.statement;
        let has_changed = self.record(statement, fronts, phase, now);
        if let Some(named) = self.named.get_mut(&statement.server)
            && named.born == statement.born
            && named.limit == statement.limit
        {
            named.share = Some((share.share, now));
        }
        has_changed
    }

    /// Brings this front's shares up to date. A limit counts until the server names none: a front
    /// that has not sent to it for long has had no permit.
    pub fn refresh(&mut self, fronts: u32, now: Time) {
        for named in self.named.values_mut() {
            named.refresh(fronts, now);
        }
    }

    /// Forgets what was said of a server, because it has restarted.
    pub fn remove(&mut self, server: &ServerId) {
        self.named.remove(server);
    }

    /// Forgets what was said of the servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.named.retain(|server, _| keep(server));
    }

    /// Takes what this front reports to the granter.
    pub fn take_reports(&mut self, now: Time) -> Vec<LimitReport> {
        let reports = self.named.iter_mut().map(|(server, named)| LimitReport {
            statement: LimitStatement {
                server: server.clone(),
                born: named.born,
                limit: named.limit,
                age: now.since(named.named_at),
            },
            wanted: std::mem::take(&mut named.wanted),
        });
        reports.collect()
    }
}
