//! Stores the records of spans.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::granter::StoredSpans;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Era;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_store::CallOutcome;
use carawayrill_store::port::Object;
use carawayrill_telemetry::emit;
use compact_str::format_compact;

use super::GranterRuntime;
use super::stored::SPANS_KIND;
use super::stored::holds_record;
use super::stored::read_record;
use crate::clock;

/// The delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(120);

impl GranterRuntime {
    /// Stores a record. A write whose outcome is unknown is resolved by reading back: the record is
    /// either stored, or superseded by a later write, or not yet stored and written again.
    pub(super) async fn write_record(
        self: Arc<Self>,
        service: ServiceId,
        expected: StoredVersion,
        record: SpanRecord,
    ) {
        let name = format_compact!("{SPANS_KIND}/{service}");
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(err) => {
                log::error!("could not encode the spans of {service}: {err}");
                return;
            }
        };
        while self.is_current() && self.store.era() == expected.era {
            let put = self.store.put(&name, value.clone(), expected.version);
            let error = match put.await {
                Ok(version) => return self.after_stored(&service, version, &record),
                Err(err) => err,
            };
            log::info!("could not store the spans of {service}: {error}");
            if error.outcome() == CallOutcome::NotDone && error.conflicting_version().is_none() {
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
                continue;
            }
            let found = self.store.get(&name).await;
            if self.store.era() != expected.era {
                // The record is written again in the new era.
                return;
            }
            match found {
                Ok(Some(found)) if holds_record(&found, &record) => {
                    return self.after_stored(&service, found.version, &record);
                }
                Ok(found)
                    if found.as_ref().map_or(Version(0), |one| one.version) == expected.version => {
                }
                Ok(found) => return self.adopt_stored(&service, expected.era, found),
                Err(err) => {
                    log::info!("could not read back the spans of {service}: {err}");
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Restarts a service from the stored record after a late write of an earlier granter.
    fn adopt_stored(&self, service: &ServiceId, era: Era, found: Option<Object>) {
        log::warn!("another granter wrote the spans of {service}");
        let now = clock::now();
        let version = found.as_ref().map_or(Version(0), |found| found.version);
        let stored = StoredSpans {
            version: StoredVersion { era, version },
            record: found.and_then(|found| Some(read_record(&found)?.1)),
            may_be_lost: false,
            lease: self.lease_manager.version(),
        };
        if let Some(granter) = self.state().granters.get_mut(service) {
            granter.adopt(stored, now);
        }
        self.publish_update(now);
    }

    fn after_stored(&self, service: &ServiceId, version: Version, record: &SpanRecord) {
        let moving = record.spans.iter().filter(|span| span.former.is_some());
        emit(EventKind::SpansStored {
            service: service.clone(),
            version,
            spans: record.spans.len(),
            moving: moving.count(),
        });
        let now = clock::now();
        if let Some(granter) = self.state().granters.get_mut(service) {
            granter.record_stored(version, now);
        }
        self.publish_update(now);
    }
}
