//! Keeps a request from servers under which others have crashed.

use std::sync::Arc;

use carawayrill_core::direct::servers::Server;
use carawayrill_core::time::Time;
use tokio::task::JoinHandle;

use super::Forwarder;
use super::Reply;
use crate::clock;
use crate::quarantine;
use crate::quarantine::ClosedSend;

impl Forwarder<'_> {
    /// Returns the reply to a request that must not be sent because it crashes servers.
    pub(super) fn refuse_quarantined(&mut self, now: Time) -> Option<Reply> {
        let left = {
            let tables = self.shared.tables();
            tables
                .crashes
                .refused_for(&self.request.fingerprints, now)?
        };
        Some(self.give_up("quarantined", left))
    }

    /// Returns the same for a request that is sent now if there is no such reply.
    pub(super) fn begin_send(&mut self) -> Option<Reply> {
        let left = {
            let mut tables = self.shared.tables();
            let fingerprints = &self.request.fingerprints;
            tables.crashes.begin_send(fingerprints, clock::now())?
        };
        Some(self.give_up("quarantined", left))
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
