//! The spans in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_store::Error;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;

use crate::spans::SpanTable;

/// The kind of object that holds spans.
pub const SPANS_KIND: &str = "carawayrill-spans";

/// Returns whether an object holds a record, regardless of how the store formats it.
pub(super) fn holds_record(object: &Object, record: &SpanRecord) -> bool {
    serde_json::from_slice::<SpanRecord>(&object.value).is_ok_and(|found| found == *record)
}

/// Decodes a stored record. One that can't be decoded is logged and ignored.
pub(super) fn read_record(object: &Object) -> Option<(ServiceId, SpanRecord)> {
    let service = match ServiceId::try_from(object.short_name()) {
        Ok(service) => service,
        Err(err) => {
            log::error!("invalid service name of stored spans: {err}");
            return None;
        }
    };
    match serde_json::from_slice::<SpanRecord>(&object.value) {
        Ok(record) if record.is_complete() => Some((service, record)),
        Ok(_) => {
            log::error!("the stored spans of {service} don't cover all keys");
            None
        }
        Err(err) => {
            log::error!("could not decode the stored spans of {service}: {err}");
            None
        }
    }
}

/// Reads all stored records, and the era of the store in which they were read.
///
/// # Errors
///
/// Fails if the store can't be read.
pub(super) async fn read_stored(
    store: &dyn ObjectStore,
) -> Result<(Era, BTreeMap<ServiceId, (Version, SpanRecord)>), Error> {
    let listed = store.watch(SPANS_KIND, Revision(0), Duration::ZERO).await?;
    let read = listed.objects.iter().filter_map(|object| {
        let (service, record) = read_record(object)?;
        Some((service, (object.version, record)))
    });
    Ok((listed.era, read.collect()))
}

/// Reads all stored spans, for a front without a connection to the granter.
///
/// # Errors
///
/// Fails if the store can't be read.
pub async fn read_tables(store: &dyn ObjectStore) -> Result<BTreeMap<ServiceId, SpanTable>, Error> {
    let (era, stored) = read_stored(store).await?;
    let tables = stored.into_iter().map(|(service, (version, record))| {
        let version = StoredVersion { era, version };
        (service, SpanTable::from_stored(version, &record.spans))
    });
    Ok(tables.collect())
}
