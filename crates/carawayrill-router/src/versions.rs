//! Reads versions from the store, once for all routers that ask at about the same time.
//!
//! The version of one object, [`AUTHORITY_CHANGES`], stands for those of all blocks: a controller raises it
//! after it wrote an intent and before it counts any time or asks for any evidence. While a read
//! finds it unchanged, a block's version that was read under it is as good as read at that time,
//! for the purpose of rule 4. A block's version can rise without it where a home records what it
//! did under its own authority; the copy of the store then tells, and the block is read anew.

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

/// A read that started at most this long ago is passed on again.
const SHARED_READ: Duration = Duration::from_millis(200);

/// The versions of objects, all as of one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionsRead {
    /// When the oldest of the reads started, on this router's clock.
    pub started: Time,
    /// One version a name; 0 if there is no such object.
    pub versions: Vec<Version>,
}

/// Reads versions and remembers them for as long as [`AUTHORITY_CHANGES`] stays as it is.
#[derive(Debug)]
pub struct VersionReader {
    store: Arc<dyn ObjectStore>,
    clock: MonotonicClock,
    /// Held for the length of a read, so that those who ask meanwhile share its answer.
    known: tokio::sync::Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    /// The version of [`AUTHORITY_CHANGES`] and the start of its last read.
    changes: Option<(Version, Time)>,
    /// Versions that were read while [`AUTHORITY_CHANGES`] had its present version.
    blocks: HashMap<CompactString, Version>,
}

impl VersionReader {
    /// Makes a reader that knows nothing yet.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, clock: MonotonicClock) -> Self {
        Self {
            store,
            clock,
            known: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the versions of the named blocks. `seen` tells the version that a watch has told of;
    /// a higher one than remembered makes the block be read anew.
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

    /// Reads [`AUTHORITY_CHANGES`], unless it was read just now, and forgets all if it has changed. Returns
    /// the start of the read.
    async fn read_changes(&self, known: &mut Known) -> Result<Time, Error> {
        let now = self.clock.now();
        if let Some((_, started)) = known.changes
            && now.since(started) <= SHARED_READ
        {
            return Ok(started);
        }
        let version = self.store.version(AUTHORITY_CHANGES).await?;
        if known.changes.is_none_or(|(former, _)| former != version) {
            known.blocks.clear();
        }
        known.changes = Some((version, now));
        Ok(now)
    }

    /// Reads the versions that are not remembered. Each read begins after that of [`AUTHORITY_CHANGES`], so
    /// its answer is at least as new.
    async fn read_missing(&self, known: &mut Known, names: &[CompactString]) -> Result<(), Error> {
        let is_missing = |name: &&CompactString| !known.blocks.contains_key(*name);
        let missing: Vec<_> = names.iter().filter(is_missing).cloned().collect();
        let reads = join_all(missing.iter().map(|name| self.store.version(name))).await;
        for (name, read) in missing.into_iter().zip(reads) {
            known.blocks.insert(name, read?);
        }
        Ok(())
    }
}
