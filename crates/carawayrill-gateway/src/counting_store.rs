//! An object store that counts its calls.

use std::sync::Arc;
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

use crate::state::Shared;

/// Counts the calls to a store by outcome.
#[derive(Debug)]
pub(crate) struct CountingStore {
    store: Arc<dyn ObjectStore>,
    shared: Arc<Shared>,
}

impl CountingStore {
    /// Wraps `store`.
    pub(crate) fn new(store: Arc<dyn ObjectStore>, shared: Arc<Shared>) -> Self {
        Self { store, shared }
    }

    fn count<T>(&self, call: &'static str, result: Result<T, Error>) -> Result<T, Error> {
        let outcome = match &result {
            Ok(_) => call,
            Err(err) if err.conflicting_version().is_some() => "conflict",
            Err(err) if err.is_history_lost() => "history-lost",
            Err(_) => "failed",
        };
        self.shared
            .metrics
            .store_calls
            .with_label_values(&[outcome])
            .inc();
        result
    }
}

#[async_trait]
impl ObjectStore for CountingStore {
    fn era(&self) -> Era {
        self.store.era()
    }

    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.count("get", self.store.get(name).await)
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        self.count("get", self.store.version(name).await)
    }

    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error> {
        self.count("put", self.store.put(name, value, expected).await)
    }

    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error> {
        self.count("delete", self.store.delete(name, expected).await)
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let call = if after == Revision(0) {
            "list"
        } else {
            "watch"
        };
        self.count(call, self.store.watch(prefix, after, wait).await)
    }
}
