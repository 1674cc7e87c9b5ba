//! Keeps a request from servers under which others have crashed.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::quarantine::Admission;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::time::Time;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::DEFAULT_RETRY_AFTER;
use super::Forwarder;
use super::OWNER_WAIT_SHARE;
use super::Reply;
use super::peer::TRIED_REASON;
use super::sends::is_unknown;
use super::sends::promises_not_run;
use crate::clock;
use crate::quarantine;
use crate::quarantine::ClosedSend;

/// How a request goes on that was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admitted {
    /// It may be sent, or no other front has tried it for this one.
    Send,
    /// It has waited, or was not taken by another front.
    AskAgain,
}

impl Forwarder<'_> {
    /// Refuses, holds or passes on a request that crashes servers, or may do so. Returns a reply, or how
    /// to go on without one.
    pub(super) async fn admit(&mut self) -> ControlFlow<Reply, Admitted> {
        let changes = self.shared.changes();
        let now = clock::now();
        let admission = {
            let tables = self.shared.tables();
            tables.crashes.admission(&self.request.fingerprints, now)
        };
        let reply = match admission {
            Admission::Send => return ControlFlow::Continue(Admitted::Send),
            Admission::Refuse(left) => Some(self.give_up("quarantined", left)),
            Admission::Wait(left) => self.wait_for_result(changes, left).await,
            Admission::PassOn => return self.pass_on_to_trier(now).await,
        };
        reply.map_or(
            ControlFlow::Continue(Admitted::AskAgain),
            ControlFlow::Break,
        )
    }

    /// Returns whether the request may be sent now. One copy of a suspect request that was let through
    /// for the front that tries these may, if that front did not take it.
    pub(super) fn begin_send(&mut self) -> bool {
        if std::mem::take(&mut self.is_left_to_try) {
            return true;
        }
        let mut tables = self.shared.tables();
        let fingerprints = &self.request.fingerprints;
        tables.crashes.begin_send(fingerprints, clock::now()) == Admission::Send
    }

    /// Holds a suspect request while another copy is tried. Returns a reply if that takes too long.
    async fn wait_for_result(
        &mut self,
        mut changes: watch::Receiver<u64>,
        left: Duration,
    ) -> Option<Reply> {
        let objective = self.request.objective.since(self.request.received);
        let allowed = objective.mul_f64(OWNER_WAIT_SHARE);
        let allowed = allowed.saturating_sub(self.waited);
        if allowed.is_zero() {
            return Some(self.refuse_suspect());
        }
        let started = clock::now();
        // Whether something has changed or the time is over, the request is looked at again.
        let _ended = tokio::time::timeout(left.min(allowed), changes.changed()).await;
        self.waited += clock::now().since(started);
        None
    }

    /// Passes a suspect request on to the front that tries these for all. If none can be asked, or none
    /// takes it, this front sends it, still one copy at a time.
    async fn pass_on_to_trier(&mut self, now: Time) -> ControlFlow<Reply, Admitted> {
        let admission = {
            let mut tables = self.shared.tables();
            tables.crashes.begin_send(&self.request.fingerprints, now)
        };
        if admission != Admission::PassOn {
            return ControlFlow::Continue(Admitted::AskAgain);
        }
        if let Some(trier) = self.trier()
            && let Some(reply) = self.try_peer(&trier, TRIED_REASON, now).await
        {
            if !promises_not_run(reply.status) && !is_unknown(reply.status) {
                quarantine::record_answered(self.shared, &self.request.fingerprints, &trier.front);
            }
            return ControlFlow::Break(reply);
        }
        self.is_left_to_try = true;
        ControlFlow::Continue(Admitted::Send)
    }

    /// Returns the front that tries suspect requests for all, if this one may be passed on to it.
    fn trier(&self) -> Option<Peer> {
        if self.request.forwarded.is_some() {
            return None;
        }
        let trier = self.shared.tables().trier.clone()?;
        let homes = &self.request.matched.route.homes;
        self.place().permits(homes, &trier).then_some(trier)
    }

    fn refuse_suspect(&mut self) -> Reply {
        self.give_up("suspected", DEFAULT_RETRY_AFTER)
    }

    /// Returns whether a server has crashed under the request since it was last answered.
    pub(super) fn is_suspicious(&self) -> bool {
        let tables = self.shared.tables();
        tables.crashes.is_suspicious(&self.request.fingerprints)
    }

    /// Returns whether a server may have crashed under this very request, known or not yet.
    pub(super) fn may_have_crashed_server(&self) -> bool {
        self.was_closed || self.is_suspicious()
    }

    /// Notes that a server has closed the connection instead of a response.
    pub(super) fn note_closed(&mut self, server: &Server, sent: Time) {
        self.was_closed = true;
        self.closed_sends.push(ClosedSend {
            server: server.clone(),
            sent,
            ended: clock::now(),
        });
    }

    /// Starts to find out which servers of closed sends have crashed. That is recorded even if the
    /// request ends meanwhile.
    pub(super) fn start_crash_checks(&mut self) -> CrashChecks {
        let check = |closed| {
            let shared = Arc::clone(self.shared);
            let upstream = Arc::clone(self.upstream);
            let fingerprints = self.request.fingerprints;
            tokio::spawn(async move {
                quarantine::check_crash(&shared, &upstream, &fingerprints, closed).await;
            })
        };
        let closed_sends = std::mem::take(&mut self.closed_sends);
        CrashChecks(closed_sends.into_iter().map(check).collect())
    }
}

/// The checks whether servers have crashed. They go on if this is dropped.
#[derive(Debug)]
pub(super) struct CrashChecks(Vec<JoinHandle<()>>);

impl CrashChecks {
    /// Waits until all have ended, so that the next send is decided with that knowledge.
    pub(super) async fn await_all(self) {
        for check in self.0 {
            if let Err(err) = check.await {
                log::error!("the check for a crashed server failed: {err}");
            }
        }
    }
}
