//! Whether a request may be sent once more.

use std::collections::BTreeSet;

use carawayrill_core::event::RetryRecord;
use carawayrill_core::event::TryRecord;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::floor_to_u64;

use super::Forwarder;
use super::peer::PEER_CUT_OFF;
use super::send::NOT_SENT;
use crate::clock;

/// The decision on one more send of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDecision {
    Sent,
    /// The route allows no further server or send.
    RouteLimit,
    /// Servers have declined the request too often.
    Declines,
    /// This front's share of the retry budget is used up.
    Budget,
}

impl RetryDecision {
    /// Returns the name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::RouteLimit => "route-limit",
            Self::Declines => "declines",
            Self::Budget => "budget",
        }
    }
}

impl Forwarder<'_> {
    /// Returns the maximum number of servers to which the request may be sent.
    pub(super) fn max_servers(&self) -> usize {
        usize::try_from(self.request.matched.route.max_tries).unwrap_or(usize::MAX)
    }

    /// Returns the sends of this front after which a server may have received the request. Those of a
    /// front that has refused it are in `refused_sends`.
    fn arrivals(&self) -> impl Iterator<Item = &TryRecord> {
        self.tries
            .iter()
            .filter(|one| one.outcome != NOT_SENT && one.outcome != PEER_CUT_OFF)
    }

    /// Returns the number of servers to which the request has been sent.
    pub(super) fn servers_tried(&self) -> usize {
        let servers: BTreeSet<&str> = self.arrivals().map(|one| one.server.as_str()).collect();
        self.sends_of_others() as usize + servers.len()
    }

    /// Returns the number of sends after which a server may have received the request, by all fronts.
    pub(super) fn sends_to_servers(&self) -> u32 {
        self.sends_of_others().saturating_add(self.own_sends())
    }

    /// Returns the number of such sends since the request was received by this front.
    pub(super) fn sends_since_received(&self) -> u32 {
        self.own_sends().saturating_add(self.refused_sends)
    }

    fn own_sends(&self) -> u32 {
        u32::try_from(self.arrivals().count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of such sends before the request was passed on to this front, and by fronts
    /// that have refused it.
    fn sends_of_others(&self) -> u32 {
        let forwarded = self.request.forwarded.as_ref();
        let earlier = forwarded.map_or(0, |forwarded| forwarded.sends);
        earlier.saturating_add(self.refused_sends)
    }

    /// Returns whether a server may have received the request from this front.
    pub(super) fn was_sent_to(&self, server: &ServerId) -> bool {
        let mut sent = self.tries.iter().filter(|one| one.outcome != NOT_SENT);
        sent.any(|one| one.server == server.as_str())
    }

    /// Returns whether one more send, to `server`, is within the route's limit of servers and the
    /// retry budget. A retry is charged to the budget. Sends that servers have declined don't count
    /// as long as no further server is involved.
    pub(super) fn try_acquire_send(&mut self, server: &ServerId) -> bool {
        let sent = self.sends_to_servers() as usize;
        if sent == 0 {
            return true;
        }
        let decision = self.decide_retry(sent, server);
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[decision.label()]).inc();
        decision == RetryDecision::Sent
    }

    /// Decides on one more send after `sent` sends, and records the decision.
    fn decide_retry(&mut self, sent: usize, server: &ServerId) -> RetryDecision {
        let counted = sent.saturating_sub(self.declines.count());
        let is_within_servers =
            self.was_sent_to(server) || self.servers_tried() < self.max_servers();
        let now = clock::now();
        let mut tables = self.shared.tables();
        let fronts = tables.fronts.sharing(now);
        let budget = tables.budget(&self.request.matched.service, &self.shared.cfg);
        let usage = budget.usage(now, fronts);
        let decision = if counted >= self.max_servers() || !is_within_servers {
            RetryDecision::RouteLimit
        } else if !self.declines.may_repeat() {
            RetryDecision::Declines
        } else if budget.try_acquire(now, fronts) {
            RetryDecision::Sent
        } else {
            RetryDecision::Budget
        };
        self.retry = Some(RetryRecord {
            decision: decision.label().into(),
            requests: usage.requests,
            retries: usage.retries,
            allowed_tenths: floor_to_u64(usage.allowed * 10.0),
            fronts,
        });
        decision
    }
}
