//! Raises the version of the object that stands for all blocks.

use bytes::Bytes;
use carawayrill_core::id::Version;
use carawayrill_core::object::AUTHORITY_CHANGES;
use carawayrill_store::CallOutcome;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;

/// How often the update is tried when others update the object at the same time.
const ATTEMPTS: u32 = 16;
/// The value of the object. Only its version matters.
const VALUE: &[u8] = b"{}";

/// Raises the version of [`AUTHORITY_CHANGES`] at least once after the call began.
///
/// Another writer's update is no substitute, as it may have taken effect before the intent was
/// written. An update without an answer is therefore made again.
///
/// # Errors
///
/// Fails if the store can't be reached, or if others are faster each time.
pub async fn announce(store: &dyn ObjectStore) -> Result<Version, Error> {
    let mut expected = store.version(AUTHORITY_CHANGES).await?;
    for _ in 0..ATTEMPTS {
        match store
            .put(AUTHORITY_CHANGES, Bytes::from_static(VALUE), expected)
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
    Err(Error::unavailable("other writers were faster each time"))
}
