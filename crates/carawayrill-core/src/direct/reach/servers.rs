//! Whether a front opens connections to servers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServerId;
use crate::time::Time;

/// The number of servers to which no connection could be opened, one after the other, from which on
/// the front counts as cut off.
const MAX_UNREACHED: usize = 3;
/// The same if the service has fewer servers. Requests of one service may open no connections but to
/// these, while those of other services use connections that live on.
const MAX_UNREACHED_OF_SMALL_SERVICE: usize = 2;
/// How long a failure counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// A change of what a front believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The front is cut off; the number of servers that it did not reach.
    Lost(usize),
    /// The front reaches a server again, after this time.
    Regained(Duration),
}

/// The results of a front's attempts to open connections to servers.
///
/// Only new connections count: those that are open may live on while new ones are refused.
#[derive(Debug, Default)]
pub struct ServerReach {
    /// The servers that were not reached since a connection was last opened to any.
    unreached: BTreeMap<ServerId, Time>,
    cut_since: Option<Time>,
}

impl ServerReach {
    /// Records that a connection to a server was opened.
    pub fn record_connected(&mut self, now: Time) -> Option<ReachChange> {
        self.unreached.clear();
        let since = self.cut_since.take()?;
        Some(ReachChange::Regained(now.since(since)))
    }

    /// Records that no connection to a server could be opened, of a service with `of_service` servers.
    pub fn record_failed(
        &mut self,
        server: &ServerId,
        of_service: usize,
        now: Time,
    ) -> Option<ReachChange> {
        self.unreached.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.unreached.insert(server.clone(), now);
        let limit = of_service.clamp(MAX_UNREACHED_OF_SMALL_SERVICE, MAX_UNREACHED);
        let is_cut = self.unreached.len() >= limit;
        if !is_cut || self.cut_since.is_some() {
            return None;
        }
        self.cut_since = Some(now);
        Some(ReachChange::Lost(self.unreached.len()))
    }

    /// Returns whether the front is cut off from the servers.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }
}
