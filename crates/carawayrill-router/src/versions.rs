//! Reads versions of blocks from the store, shared by all routers that check at about the same time.
//!
//! The version of one object, [`AUTHORITY_CHANGES`], covers the versions of all blocks: a controller
//! raises it after it wrote an intent, and before it measures any waiting time or asks for any
//! evidence. As long as a read finds it unchanged, a block's version that was read before under the
//! same value is as good as one read now, for the purpose of rule 4. A block's version can also rise
//! without it, when a home records what it did under its own authority. The cache of the store then
//! has the higher version, and the block is read again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::id::Version;
use carawayrill_core::object::AUTHORITY_CHANGES;
use carawayrill_core::time::Time;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;
use compact_str::CompactString;
use futures_util::future::join_all;

use crate::clock::MonotonicClock;

/// The maximum age at which a read of the store is reused.
const MAX_SHARED_READ_AGE: Duration = Duration::from_millis(200);

/// The result of a version check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionsRead {
    /// When the oldest of the reads started, on this router's monotonic clock.
    pub started: Time,
    /// One version for each name, in the same order; 0 if there is no such object.
    pub versions: Vec<Version>,
}

/// Reads versions and caches them while the version of [`AUTHORITY_CHANGES`] is unchanged.
#[derive(Debug)]
pub struct VersionReader {
    store: Arc<dyn ObjectStore>,
    clock: MonotonicClock,
    /// Locked for the duration of a read, so that concurrent checks share its result.
    known: tokio::sync::Mutex<KnownVersions>,
}

#[derive(Debug, Default)]
struct KnownVersions {
    /// The version of [`AUTHORITY_CHANGES`] and the start of its last read.
    changes: Option<(Version, Time)>,
    /// The versions that were read while [`AUTHORITY_CHANGES`] had its current version.
    blocks: HashMap<CompactString, Version>,
}

impl VersionReader {
    /// Creates a reader with an empty cache.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, clock: MonotonicClock) -> Self {
        Self {
            store,
            clock,
            known: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the versions of the named blocks. `seen` returns the version of a block that a watch
    /// has delivered; if it is higher than the cached one, the block is read again.
    ///
    /// # Errors
    ///
    /// Fails if any of them can't be read.
    pub async fn check(
        &self,
        names: &[CompactString],
        seen: impl Fn(&str) -> Version,
    ) -> Result<VersionsRead, Error> {
        let mut known = self.known.lock().await;
        let started = self.read_changes(&mut known).await?;
        known.blocks.retain(|name, version| *version >= seen(name));
        self.read_missing(&mut known, names).await?;
        let version = |name| known.blocks.get(name).copied().unwrap_or_default();
        Ok(VersionsRead {
            started,
            versions: names.iter().map(version).collect(),
        })
    }

    /// Reads [`AUTHORITY_CHANGES`] unless a recent read can be reused, and clears the cache if its
    /// version has changed. Returns the start of the read.
    async fn read_changes(&self, known: &mut KnownVersions) -> Result<Time, Error> {
        let now = self.clock.now();
        if let Some((_, started)) = known.changes
            && now.since(started) <= MAX_SHARED_READ_AGE
        {
            return Ok(started);
        }
        let version = self.store.version(AUTHORITY_CHANGES).await?;
        if known
            .changes
            .is_none_or(|(previous, _)| previous != version)
        {
            known.blocks.clear();
        }
        known.changes = Some((version, now));
        Ok(now)
    }

    /// Reads the versions that are not cached. Each read begins after that of [`AUTHORITY_CHANGES`],
    /// so its result is at least as recent.
    async fn read_missing(
        &self,
        known: &mut KnownVersions,
        names: &[CompactString],
    ) -> Result<(), Error> {
        let is_missing = |name: &&CompactString| !known.blocks.contains_key(*name);
        let missing: Vec<_> = names.iter().filter(is_missing).cloned().collect();
        let reads = join_all(missing.iter().map(|name| self.store.version(name))).await;
        for (name, read) in missing.into_iter().zip(reads) {
            known.blocks.insert(name, read?);
        }
        Ok(())
    }
}
