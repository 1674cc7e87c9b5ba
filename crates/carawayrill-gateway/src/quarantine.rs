//! Records under which requests servers crashed, and logs what follows from it.

use carawayrill_core::direct::quarantine::Crash;
use carawayrill_core::direct::quarantine::CrashReport;
use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::EventKind;
use carawayrill_core::time::Time;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;

use crate::clock;
use crate::state::Shared;
use crate::upstream::Upstream;

/// A send that ended because the server closed the connection before it responded.
#[derive(Debug, Clone)]
pub(crate) struct ClosedSend {
    pub(crate) server: Server,
    pub(crate) sent: Time,
    pub(crate) ended: Time,
}

/// Finds out whether the server of a closed send has crashed, and records it. A server that only
/// closed the connection still accepts others.
pub(crate) async fn check_crash(
    shared: &Shared,
    upstream: &Upstream,
    fingerprints: &Fingerprints,
    closed: ClosedSend,
) {
    if !upstream.is_refused(closed.server.address).await {
        return;
    }
    let crash = Crash {
        server: closed.server.id,
        born: closed.server.born,
        sent: closed.sent,
        ended: closed.ended,
    };
    let now = clock::now();
    let (crashes, is_refused) = {
        let mut tables = shared.tables();
        let was_refused = tables.crashes.refused_for(fingerprints, now).is_some();
        let crashes = tables.crashes.record_crash(fingerprints, &crash, now);
        let is_refused = tables.crashes.refused_for(fingerprints, now).is_some();
        (crashes, is_refused && !was_refused)
    };
    shared.notify_crash_observed();
    shared.notify_changed();
    shared.metrics.request_crashes.inc();
    emit(EventKind::RequestCrashedServer {
        content: fingerprints.exact.to_compact_string(),
        server: crash.server.to_compact_string(),
        crashes,
    });
    if is_refused {
        emit(EventKind::RequestQuarantined {
            content: fingerprints.exact.to_compact_string(),
            crashes,
            source: "front".into(),
        });
    }
}

/// Records that a server answered a request. `by` is the server, or the front that has sent it for this
/// one.
pub(crate) fn record_answered(shared: &Shared, fingerprints: &Fingerprints, by: &str) {
    let now = clock::now();
    if shared.tables().crashes.record_served(fingerprints, now) {
        shared.notify_crash_observed();
        shared.notify_changed();
        emit(EventKind::RequestCleared {
            content: fingerprints.exact.to_compact_string(),
            server: by.into(),
        });
    }
}

/// Who tells of crashes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReportSource<'a> {
    /// Another front, with this name.
    Front(&'a str),
    Granter,
    Store,
}

impl ReportSource<'_> {
    fn name(self) -> CompactString {
        CompactString::from(match self {
            Self::Front(name) => name,
            Self::Granter => "granter",
            Self::Store => "store",
        })
    }
}

/// Adds what another front, the granter or the store tells.
pub(crate) fn merge_reports(shared: &Shared, reports: &[CrashReport], source: ReportSource<'_>) {
    let now = clock::now();
    for report in reports {
        let is_newly_refused = {
            let crashes = &mut shared.tables().crashes;
            match source {
                ReportSource::Granter => crashes.merge_shared(report, now),
                ReportSource::Front(_) | ReportSource::Store => crashes.merge(report, now),
            }
        };
        if is_newly_refused {
            emit(EventKind::RequestQuarantined {
                content: report.fingerprint.to_compact_string(),
                crashes: report.crashes.len(),
                source: source.name(),
            });
        }
    }
    if !reports.is_empty() {
        shared.notify_changed();
    }
}
