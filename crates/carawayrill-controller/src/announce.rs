//! Announces new intents to the holders of authority.
//!
//! The version of one object, [`AUTHORITY_CHANGES`], stands for the versions of all blocks. The
//! controller raises it after each write of an intent, so a holder of authority has to look for new
//! intents only when this version has changed.

use bytes::Bytes;
use carawayrill_core::id::Version;
use carawayrill_core::object::AUTHORITY_CHANGES;
use carawayrill_store::CallOutcome;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;

/// Conditional updates per call, in case other writers update the object at the same time.
const MAX_ATTEMPTS: u32 = 16;
/// The value of the object. Only its version matters.
const OBJECT_VALUE: &[u8] = b"{}";

/// Raises the version of [`AUTHORITY_CHANGES`] by an update of its own and returns the new version.
///
/// An update by another writer doesn't suffice, since it may have taken effect before the intent
/// was written. An update whose outcome is unknown is therefore repeated.
///
/// # Errors
///
/// Fails if the store can't be reached, or if each update conflicts with another writer's.
pub async fn announce(store: &dyn ObjectStore) -> Result<Version, Error> {
    let mut expected = store.version(AUTHORITY_CHANGES).await?;
    for _ in 0..MAX_ATTEMPTS {
        match store
            .put(
                AUTHORITY_CHANGES,
                Bytes::from_static(OBJECT_VALUE),
                expected,
            )
            .await
        {
            Ok(version) => return Ok(version),
            Err(err) => match err.conflicting_version() {
                Some(found) => expected = found,
                None if err.outcome() == CallOutcome::Unknown => {
                    expected = store.version(AUTHORITY_CHANGES).await?;
                }
                None => return Err(err),
            },
        }
    }
    Err(Error::unavailable(
        "each conditional update conflicted with another writer",
    ))
}
