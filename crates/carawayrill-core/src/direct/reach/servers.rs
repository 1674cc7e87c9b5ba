//! Whether a front opens connections to servers.
//!
//! All servers of one service may crash at once, for instance under one request that is repeated.
//! They then refuse connections at every front, the granter included. If these took themselves for
//! cut off, they would pass requests on to each other, and the granter would release its lease when
//! it is needed most. A front is therefore cut off only if it reaches servers of no other service
//! either. Its requests may not tell, since they may all go to one service or use connections that
//! are open, so it probes other services (see [`choose_probes`](super::choose_probes)). It does so from
//! the first failure on, since home regions may leave a single server for all of its requests.
//!
//! Load: while a service is down, a front opens at most [`PROBES`] connections a second, which makes
//! 900 a second from 300 fronts, or 9 for each of 100 other servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::ServerId;
use crate::id::ServiceId;
use crate::time::Time;

/// The number of servers to which no connection could be opened, one after the other, from which on
/// the front counts as cut off if there is only one service.
const MAX_UNREACHED: usize = 3;
/// The same if that service has fewer servers.
const MAX_UNREACHED_OF_SMALL_SERVICE: usize = 2;
/// The number of servers that a probe connects to. If none of them is reached, nor any that requests
/// were sent to, the front is cut off.
pub const PROBES: usize = MAX_UNREACHED;
/// How long a failure counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// The least interval between two probes. A cut may begin right after a probe, and has to be detected
/// and reported within 3 s.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A change of what a front believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The front is cut off; the number of servers that it did not reach.
    Lost(usize),
    /// The front reaches a server again, after this time.
    Regained(Duration),
}

/// The number of servers of each service that accept requests.
pub type ServiceSizes = BTreeMap<ServiceId, usize>;

/// A server that was not reached.
#[derive(Debug)]
struct Failure {
    at: Time,
    /// Its service, unless all servers are of one.
    service: Option<ServiceId>,
}

/// The results of a front's attempts to open connections to servers.
///
/// Only new connections count: those that are open may live on while new ones are refused.
#[derive(Debug, Default)]
pub struct ServerReach {
    /// The servers that were not reached since a connection was last opened to any.
    unreached: BTreeMap<ServerId, Failure>,
    cut_since: Option<Time>,
    /// The service whose servers are not reached, while it is not known whether others are.
    suspected: Option<ServiceId>,
    probed_at: Option<Time>,
}

impl ServerReach {
    /// Records that a connection to a server was opened.
    pub fn record_connected(&mut self, now: Time) -> Option<ReachChange> {
        self.unreached.clear();
        self.suspected = None;
        let since = self.cut_since.take()?;
        Some(ReachChange::Regained(now.since(since)))
    }

    /// Records that no connection to a server could be opened, in a deployment with one service that
    /// has `of_service` servers.
    pub fn record_failed(
        &mut self,
        server: &ServerId,
        of_service: usize,
        now: Time,
    ) -> Option<ReachChange> {
        self.insert(server, None, now);
        if !self.is_suspicious(of_service) {
            return None;
        }
        self.cut_off(now)
    }

    /// Records that no connection to a server of `service` could be opened. If `sizes` names no other
    /// service with servers, this is the same as [`ServerReach::record_failed`].
    pub fn record_failed_of(
        &mut self,
        server: &ServerId,
        service: &ServiceId,
        sizes: &ServiceSizes,
        now: Time,
    ) -> Option<ReachChange> {
        let of_service = sizes.get(service).copied().unwrap_or(0);
        if !sizes
            .iter()
            .any(|(other, size)| other != service && *size > 0)
        {
            return self.record_failed(server, of_service, now);
        }
        self.insert(server, Some(service.clone()), now);
        self.suspected = self.explaining_service(sizes);
        if self.suspected.is_some() {
            return None;
        }
        self.cut_off(now)
    }

    /// Returns the service of which no server is reached, if it has to be found out by a probe now
    /// whether servers of other services are. The caller begins the probe.
    pub fn begin_probe(&mut self, now: Time) -> Option<ServiceId> {
        let is_recent = |at: Time| now.since(at) < PROBE_INTERVAL;
        if self.is_cut_off() || self.probed_at.is_some_and(is_recent) {
            return None;
        }
        let suspected = self.suspected.take()?;
        self.probed_at = Some(now);
        Some(suspected)
    }

    /// Returns whether the front is cut off from the servers.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    fn insert(&mut self, server: &ServerId, service: Option<ServiceId>, now: Time) {
        self.unreached
            .retain(|_, failure| now.since(failure.at) < FAILURE_TTL);
        let failure = Failure { at: now, service };
        self.unreached.insert(server.clone(), failure);
    }

    /// Returns whether so many servers of the only service were not reached that the front is cut off.
    fn is_suspicious(&self, of_service: usize) -> bool {
        let limit = of_service.clamp(MAX_UNREACHED_OF_SMALL_SERVICE, MAX_UNREACHED);
        self.unreached.len() >= limit
    }

    /// Returns a service whose outage alone could explain what was observed, since too few servers
    /// elsewhere were not reached.
    fn explaining_service(&self, sizes: &ServiceSizes) -> Option<ServiceId> {
        let affected = |failure: &Failure| failure.service.clone();
        let affected: BTreeSet<_> = self.unreached.values().filter_map(affected).collect();
        affected.into_iter().find(|service| {
            let is_elsewhere = |failure: &&Failure| failure.service.as_ref() != Some(service);
            let unreached = self.unreached.values().filter(is_elsewhere).count();
            let others = sizes.iter().filter(|(other, _)| *other != service);
            let listed: usize = others.map(|(_, size)| *size).sum();
            unreached < listed.min(PROBES)
        })
    }

    fn cut_off(&mut self, now: Time) -> Option<ReachChange> {
        self.suspected = None;
        if self.is_cut_off() {
            return None;
        }
        self.cut_since = Some(now);
        Some(ReachChange::Lost(self.unreached.len()))
    }
}
