//! A read-only cache of the store's objects under one prefix, kept up to date by watches.
//!
//! The relay of a data centre watches the store; the other routers watch the relay. The number of
//! store calls therefore grows with the number of data centres, not with the number of routers.
//! The cache serves routing and configuration only. Authority is never derived from it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_store::Error;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use compact_str::CompactString;
use tokio::sync::watch;

/// A cache of the objects under one prefix.
#[derive(Debug)]
pub struct ObjectCache {
    prefix: CompactString,
    state: Mutex<State>,
    revision: watch::Sender<Revision>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<CompactString, Cached>,
}

/// One object and the revision at which it was applied to this cache. A deleted object is kept with
/// version 0, so that a later watch still returns the deletion.
#[derive(Debug)]
struct Cached {
    version: Version,
    value: Bytes,
    applied_at: Revision,
}

impl ObjectCache {
    /// Creates an empty cache for objects whose names start with `prefix`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
            state: Mutex::default(),
            revision: watch::Sender::new(Revision::default()),
        }
    }

    /// Returns the prefix of the object names.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the revision up to which this cache is complete; 0 before the first changes.
    #[must_use]
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver that is notified of each new revision.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cached version of an object; 0 if the cache does not hold it or it was deleted.
    #[must_use]
    pub fn known_version(&self, name: &str) -> Version {
        self.lock()
            .objects
            .get(name)
            .map_or_else(Version::default, |cached| cached.version)
    }

    /// Applies changes and returns the objects whose version differs from the cached one. Changes
    /// at or below the current revision are ignored, so that a source that lags behind never
    /// reverts the cache.
    pub fn apply(&self, changes: Changes) -> Vec<Object> {
        if changes.revision <= self.revision() {
            return Vec::new();
        }
        let mut updated = Vec::new();
        {
            let mut state = self.lock();
            for object in changes.objects {
                let known = state.objects.get(&object.name).map(|cached| cached.version);
                if known == Some(object.version) {
                    continue;
                }
                let cached = Cached {
                    version: object.version,
                    value: object.value.clone(),
                    applied_at: changes.revision,
                };
                state.objects.insert(object.name.clone(), cached);
                updated.push(object);
            }
        }
        self.revision.send_replace(changes.revision);
        updated
    }

    /// Returns the objects that were applied to this cache after revision `after`.
    #[must_use]
    pub fn changes_after(&self, after: Revision) -> Changes {
        let state = self.lock();
        let objects = state
            .objects
            .iter()
            .filter(|(_, cached)| cached.applied_at > after)
            .map(|(name, cached)| Object {
                name: name.clone(),
                version: cached.version,
                value: cached.value.clone(),
            })
            .collect();
        Changes {
            era: Era::default(),
            revision: self.revision(),
            objects,
        }
    }

    /// Waits up to `wait` for a revision above `after`, and returns the changes since `after`.
    pub async fn wait_for_changes(&self, after: Revision, wait: Duration) -> Changes {
        let mut rx = self.subscribe();
        let newer = rx.wait_for(|revision| *revision > after);
        if tokio::time::timeout(wait, newer).await.is_err() {
            return Changes {
                era: Era::default(),
                revision: after,
                objects: Vec::new(),
            };
        }
        self.changes_after(after)
    }

    /// Returns all objects that are not deleted.
    #[must_use]
    pub fn all(&self) -> Vec<Object> {
        let mut objects = self.changes_after(Revision::default()).objects;
        objects.retain(|object| object.version != Version::default());
        objects
    }
}

/// Implements the store's trait, so that code that reads the store can read the cache instead.
/// Writes fail.
#[async_trait]
impl ObjectStore for ObjectCache {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        let state = self.lock();
        let cached = state
            .objects
            .get(name)
            .filter(|cached| cached.version != Version::default());
        Ok(cached.map(|cached| Object {
            name: name.into(),
            version: cached.version,
            value: cached.value.clone(),
        }))
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        Ok(self
            .get(name)
            .await?
            .map_or_else(Version::default, |object| object.version))
    }

    async fn put(&self, _name: &str, _value: Bytes, _expected: Version) -> Result<Version, Error> {
        Err(Error::unavailable("the store cache is read-only"))
    }

    async fn delete(&self, _name: &str, _expected: Version) -> Result<(), Error> {
        Err(Error::unavailable("the store cache is read-only"))
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let mut changes = self.wait_for_changes(after, wait).await;
        changes
            .objects
            .retain(|object| object.name.starts_with(prefix));
        Ok(changes)
    }
}
