//! Keeps in the store which requests are refused because they crash servers, so that this outlasts
//! the loss of all fronts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::data;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::quarantine::CrashReport;
use carawayrill_core::direct::quarantine::Fingerprint;
use carawayrill_core::direct::quarantine::ReportedCrash;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_store::Error;
use carawayrill_store::port::Object;
use compact_str::CompactString;
use compact_str::ToCompactString;

use super::GranterRuntime;
use crate::quarantine;
use crate::quarantine::ReportSource;

/// The name of the object.
const OBJECT: &str = "carawayrill-quarantine/requests";
/// The interval between two comparisons with what is stored.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two crashes of a stored request. When they happened is not stored.
const CRASH_SPACING: Duration = Duration::from_secs(1);

data! {
    /// A refused request.
    struct StoredRequest {
        /// The fingerprint in hexadecimal.
        content: CompactString,
        crashes: Vec<StoredCrash>,
    }

    /// The crash of one incarnation of a server.
    struct StoredCrash {
        server: ServerId,
        born: Born,
    }

    /// The content of the object.
    #[derive(Default)]
    struct StoredQuarantine {
        requests: Vec<StoredRequest>,
    }
}

/// What the object holds, as far as this granter knows.
#[derive(Debug, Default)]
pub(super) struct StoredState {
    /// The version; `None` until the object has been read.
    version: Option<Version>,
    requests: Vec<Fingerprint>,
    next_check: Time,
    is_busy: bool,
}

impl GranterRuntime {
    /// Reads which requests are refused, and stores them if they differ from those in the store.
    pub(super) fn store_quarantine(self: &Arc<Self>, now: Time) {
        let mut state = self.state();
        let stored = &mut state.quarantine;
        if stored.is_busy || now < stored.next_check {
            return;
        }
        stored.next_check = now + CHECK_INTERVAL;
        let Some(version) = stored.version else {
            stored.is_busy = true;
            tokio::spawn(Arc::clone(self).read_quarantine());
            return;
        };
        let refused = self.shared.tables().crashes.refused(now);
        if fingerprints(&refused).ne(stored.requests.iter().copied()) {
            stored.is_busy = true;
            tokio::spawn(Arc::clone(self).write_quarantine(refused, version));
        }
    }

    /// Reads the object and applies what a former granter has stored.
    async fn read_quarantine(self: Arc<Self>) {
        let read = self.store.get(OBJECT).await;
        let mut reports = Vec::new();
        if let Ok(Some(found)) = &read {
            reports = decode_object(found);
            quarantine::merge_reports(&self.shared, &reports, ReportSource::Store);
        }
        let mut state = self.state();
        state.quarantine.is_busy = false;
        match read {
            Ok(found) => {
                let version = found.map_or(Version(0), |found| found.version);
                state.quarantine.version = Some(version);
                state.quarantine.requests = fingerprints(&reports).collect();
            }
            Err(err) => log::info!("could not read the requests that crash servers: {err}"),
        }
    }

    /// Writes the object. If that fails, or its outcome is unknown, the object is read again.
    async fn write_quarantine(self: Arc<Self>, refused: Vec<CrashReport>, version: Version) {
        let written = self.put_quarantine(&refused, version).await;
        let mut state = self.state();
        state.quarantine.is_busy = false;
        match written {
            Ok(version) => {
                state.quarantine.version = Some(version);
                state.quarantine.requests = fingerprints(&refused).collect();
            }
            Err(err) => {
                log::info!("could not store the requests that crash servers: {err}");
                state.quarantine.version = None;
            }
        }
    }

    async fn put_quarantine(
        &self,
        refused: &[CrashReport],
        version: Version,
    ) -> Result<Version, Error> {
        let stored = StoredQuarantine {
            requests: refused.iter().map(encode).collect(),
        };
        let value = serde_json::to_vec(&stored).map_err(|err| Error::malformed(err.to_string()))?;
        self.store.put(OBJECT, Bytes::from(value), version).await
    }
}

fn fingerprints(reports: &[CrashReport]) -> impl Iterator<Item = Fingerprint> + use<'_> {
    reports.iter().map(|report| report.fingerprint)
}

/// Decodes the object. One that can't be decoded is logged, and replaced with the next write.
fn decode_object(object: &Object) -> Vec<CrashReport> {
    match serde_json::from_slice::<StoredQuarantine>(&object.value) {
        Ok(stored) => stored.requests.iter().filter_map(decode).collect(),
        Err(err) => {
            log::error!("could not decode the requests that crash servers: {err}");
            Vec::new()
        }
    }
}

fn encode(report: &CrashReport) -> StoredRequest {
    let crashes = report.crashes.iter().map(|crash| StoredCrash {
        server: crash.server.clone(),
        born: crash.born,
    });
    StoredRequest {
        content: report.fingerprint.to_compact_string(),
        crashes: crashes.collect(),
    }
}

fn decode(request: &StoredRequest) -> Option<CrashReport> {
    let fingerprint = match request.content.parse() {
        Ok(fingerprint) => fingerprint,
        Err(err) => {
            log::error!("skipped a stored request that crashes servers: {err}");
            return None;
        }
    };
    let mut age = Duration::ZERO;
    let mut crashes = Vec::new();
    // The last crash is the latest one.
    for crash in request.crashes.iter().rev() {
        crashes.push(ReportedCrash {
            server: crash.server.clone(),
            born: crash.born,
            sent_age: age,
            ended_age: age,
        });
        age += CRASH_SPACING;
    }
    Some(CrashReport {
        fingerprint,
        crashes,
        served_age: None,
    })
}
