//! What one front knows of the limits of servers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ColdStatement;
use super::FrontShare;
use super::LimitStatement;
use super::Permits;
use super::RequestRate;
use super::age_of;
use super::cold::ColdPeriod;
use super::lower;
use crate::direct::cold::Origin;
use crate::direct::incarnation::Born;
use crate::direct::incarnation::IncarnationOrder;
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
    /// When a response said so; 0 if none did.
    named_at: Time,
    cold: Option<ColdPeriod>,
    /// The limit to which the permits were last brought up to date.
    applied: Option<RequestRate>,
    /// The share that the granter has assigned, and when.
    share: Option<(RequestRate, Time)>,
    permits: Permits,
    wanted: u32,
}

impl NamedLimit {
    fn new(born: Born, phase: f64, at: Time) -> Self {
        Self {
            born,
            limit: None,
            named_at: Time::default(),
            cold: None,
            applied: None,
            share: None,
            permits: Permits::new(phase, at),
            wanted: 0,
        }
    }

    /// Returns the limit at `now`.
    fn effective(&self, now: Time) -> Option<RequestRate> {
        lower(self.limit, self.cold_rate(now))
    }

    fn cold_rate(&self, now: Time) -> Option<RequestRate> {
        self.cold.and_then(|cold| cold.rate_at(now))
    }

    /// Brings the rate of the permits up to date: to the share that the granter has assigned, or to
    /// an equal share of `fronts` fronts. Without a number of fronts the server gets nothing.
    /// Returns whether the limit has changed.
    fn refresh(&mut self, fronts: u32, knows_fronts: bool, now: Time) -> bool {
        let effective = self.effective(now);
        let is_cold = self.cold_rate(now).is_some();
        let has_changed = effective != self.applied;
        if has_changed {
            self.share = None;
            if is_cold {
                self.permits.discard(now);
            }
        }
        self.applied = effective;
        let limit = effective.unwrap_or_default().kept();
        let share = self.share.filter(|(_, at)| now.since(*at) < SHARE_TTL);
        let rate = match share {
            Some((share, _)) => share.per_second(),
            None if !knows_fronts => 0.0,
            None => limit / f64::from(fronts.max(1)),
        };
        if is_cold {
            self.permits.set_cold_rate(rate, limit, now);
        } else {
            self.permits.set_rate(rate, limit, now);
        }
        has_changed
    }
}

/// The limits of servers, and this front's permits.
#[derive(Debug, Default)]
pub struct ServerLimits {
    named: BTreeMap<ServerId, NamedLimit>,
    /// Whether the granter has said how many fronts there are.
    knows_fronts: bool,
}

impl ServerLimits {
    /// Records that the granter has said how many fronts there are.
    pub fn confirm_fronts(&mut self) {
        self.knows_fronts = true;
    }

    /// Records what was said at `now` or before, by a response or by the granter. `phase`, between 0
    /// and 1, differs from front to front. Returns whether the limit has changed.
    pub fn record(
        &mut self,
        statement: &LimitStatement,
        fronts: u32,
        phase: f64,
        now: Time,
    ) -> bool {
        self.record_from(statement, Origin::Relayed, fronts, phase, now)
    }

    fn record_from(
        &mut self,
        statement: &LimitStatement,
        origin: Origin,
        fronts: u32,
        phase: f64,
        now: Time,
    ) -> bool {
        let named_at = now - statement.age;
        let known = self.named.get(&statement.server);
        let relation = known.map(|known| statement.born.relative_to(known.born));
        if relation != Some(IncarnationOrder::Same) {
            let is_former = relation == Some(IncarnationOrder::Earlier);
            if is_former || statement.effective().is_none() {
                return false;
            }
            let started = if statement.limit.is_some() {
                named_at
            } else {
                now
            };
            let named = NamedLimit::new(statement.born, phase, started);
            self.named.insert(statement.server.clone(), named);
        }
        let Some(known) = self.named.get_mut(&statement.server) else {
            return false;
        };
        if named_at >= known.named_at {
            known.named_at = named_at;
            known.limit = statement.limit;
        }
        let cold = statement.cold.map(|cold| ColdPeriod::new(cold, now));
        known.cold = ColdPeriod::merge(known.cold, cold, origin);
        let is_unchanged = known.applied == known.effective(now);
        !is_unchanged && known.refresh(fronts, self.knows_fronts, now)
    }

    /// Records that an incarnation of a server is cold from `now` on, as its entry or a response
    /// says. Returns whether the limit has changed.
    pub fn record_cold(
        &mut self,
        server: &ServerId,
        born: Born,
        cold: ColdStatement,
        fronts: u32,
        phase: f64,
        now: Time,
    ) -> bool {
        let known = self.named.get(server).filter(|known| known.born == born);
        let statement = LimitStatement {
            server: server.clone(),
            born,
            limit: known.and_then(|known| known.limit),
            age: known.map_or(Duration::MAX, |known| age_of(known.named_at, now)),
            cold: Some(cold),
        };
        self.record_from(&statement, Origin::Server, fronts, phase, now)
    }

    /// Returns whether a response has named a limit of the server.
    #[must_use]
    pub fn contains(&self, server: &ServerId) -> bool {
        self.named.contains_key(server)
    }

    /// Returns the limit of a server: the lower of the one it names and that of a cold server.
    #[must_use]
    pub fn get(&self, server: &ServerId, now: Time) -> Option<RequestRate> {
        self.named.get(server)?.effective(now)
    }

    /// Returns whether a request may be sent to a server as far as its limit is concerned.
    #[must_use]
    pub fn allows(&self, server: &ServerId, now: Time) -> bool {
        self.limited(server, now)
            .is_none_or(|named| named.permits.is_available(now))
    }

    /// Returns the time until a request may be sent to a server; zero if it may be sent now.
    #[must_use]
    pub fn wait(&self, server: &ServerId, now: Time) -> Duration {
        self.limited(server, now).map_or(Duration::ZERO, |named| {
            named.permits.wait(now).unwrap_or(LONGEST_WAIT)
        })
    }

    fn limited(&self, server: &ServerId, now: Time) -> Option<&NamedLimit> {
        let named = self.named.get(server)?;
        named.effective(now).map(|_| named)
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
            && named.effective(now) == statement.effective()
        {
            named.share = Some((share.share, now));
        }
        has_changed
    }

    /// Brings this front's shares up to date, and forgets the limits of servers that were cold and
    /// have named none. A named limit counts until the server names none: a front that has not sent
    /// to it for long has had no permit. Returns the servers that are no longer cold and what limits
    /// them from now on.
    pub fn refresh(&mut self, fronts: u32, now: Time) -> Vec<(ServerId, Option<RequestRate>)> {
        let mut changed = Vec::new();
        for (server, named) in &mut self.named {
            if named.refresh(fronts, self.knows_fronts, now) {
                changed.push((server.clone(), named.applied));
            }
        }
        self.named.retain(|_, named| {
            let is_named = named.limit.is_some() || named.named_at > Time::default();
            is_named || named.cold_rate(now).is_some()
        });
        changed
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
                age: age_of(named.named_at, now),
                cold: named.cold.and_then(|cold| cold.statement(now)),
            },
            wanted: std::mem::take(&mut named.wanted),
        });
        reports.collect()
    }
}
