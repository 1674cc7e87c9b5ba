//! An in-memory object store for tests and for the stand-in store.
//!
//! It gives the guarantees of the real store (linearizable calls, versions that never repeat).
//! Tests inject faults with [`Fault`].

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::data;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use compact_str::CompactString;
use tokio::sync::watch;

use crate::Error;
use crate::port::Changes;
use crate::port::MAX_VALUE_BYTES;
use crate::port::Object;
use crate::port::ObjectStore;

data! {
    /// A fault to inject into calls.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// No fault.
        None,
        /// Calls are refused without effect.
        Down,
        /// Responses are delayed; the call takes effect at once.
        Slow,
        /// Updates take effect, but their responses are lost.
        LoseAnswer,
        /// Calls wait without effect until the fault ends.
        Freeze,
        /// Watches return an outdated state.
        Lag,
    }

    /// Number of calls by kind, including refused calls.
    #[derive(Copy, Default)]
    pub struct CallCounts {
        /// Reads of a value or version.
        pub reads: u64,
        /// Updates and deletions.
        pub writes: u64,
        /// Watches.
        pub watches: u64,
    }
}

/// The fault in effect.
#[derive(Debug, Clone, Copy)]
struct ActiveFault {
    fault: Fault,
    delay: Duration,
    /// Number of calls that the fault still affects; `None` means all calls.
    remaining_calls: Option<u64>,
}

/// Callback that receives the kind and name of each call before the call takes effect.
type Hook = Arc<dyn Fn(&str, &str) + Send + Sync>;

/// An object, or the tombstone of a deleted one.
#[derive(Debug, Clone)]
struct Entry {
    /// Revision of the last change, which is also the version of the object.
    changed: u64,
    value: Option<Bytes>,
}

#[derive(Debug, Default)]
struct Table {
    entries: BTreeMap<CompactString, Entry>,
}

/// The in-memory store. Clones share the same objects.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use carawayrill_core::id::Version;
/// use carawayrill_store::CallOutcome;
/// use carawayrill_store::memory::Fault;
/// use carawayrill_store::memory::MemoryStore;
/// use carawayrill_store::port::ObjectStore;
///
/// # tokio::runtime::Builder::new_current_thread().build().expect("a runtime").block_on(async {
/// let store = MemoryStore::new();
/// store.set_fault_for(Fault::LoseAnswer, 1);
/// let lost = store.put("a", Bytes::from("1"), Version(0)).await.expect_err("lost");
/// assert_eq!(CallOutcome::Unknown, lost.outcome());
/// // The write took effect although its response was lost.
/// assert!(store.get("a").await.expect("a read").is_some());
/// # });
/// ```
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

struct Shared {
    table: Mutex<Table>,
    calls: Mutex<CallCounts>,
    /// Revision of the last change.
    revision: watch::Sender<u64>,
    active: watch::Sender<ActiveFault>,
    hook: Mutex<Option<Hook>>,
}

impl fmt::Debug for MemoryStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryStore")
            .field("revision", &*self.shared.revision.borrow())
            .finish_non_exhaustive()
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

/// Locks a mutex even if a panicking test has poisoned it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        let none = ActiveFault {
            fault: Fault::None,
            delay: Duration::ZERO,
            remaining_calls: None,
        };
        // The first revision is 1: a watch from revision 0 requests all objects, so a watch of an
        // empty store has to return a higher revision.
        Self {
            shared: Arc::new(Shared {
                table: Mutex::default(),
                calls: Mutex::default(),
                revision: watch::Sender::new(1),
                active: watch::Sender::new(none),
                hook: Mutex::default(),
            }),
        }
    }

    /// Applies `fault` to all calls until another fault is set.
    pub fn set_fault(&self, fault: Fault) {
        self.set_fault_with_delay(fault, Duration::ZERO, None);
    }

    /// Applies `fault` to the next `count` calls that it affects.
    pub fn set_fault_for(&self, fault: Fault, count: u64) {
        self.set_fault_with_delay(fault, Duration::ZERO, Some(count));
    }

    /// Applies `fault` to the next `count` calls that it affects (`None`: all calls), with `delay`
    /// for [`Fault::Slow`] and [`Fault::Lag`].
    pub fn set_fault_with_delay(&self, fault: Fault, delay: Duration, count: Option<u64>) {
        let remaining_calls = count;
        self.shared.active.send_replace(ActiveFault {
            fault,
            delay,
            remaining_calls,
        });
    }

    /// Sets a callback that receives the kind (`get`, `version`, `put`, `delete`, `watch`) and the
    /// name or prefix of each call before the call takes effect. The callback may change the store
    /// or the fault.
    pub fn set_hook(&self, hook: impl Fn(&str, &str) + Send + Sync + 'static) {
        *lock(&self.shared.hook) = Some(Arc::new(hook));
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        *lock(&self.shared.calls)
    }

    /// Returns the active fault for one call if `applies` accepts it, and counts the call.
    fn take_fault(&self, applies: impl Fn(Fault) -> bool) -> Option<ActiveFault> {
        let mut hit = None;
        self.shared.active.send_if_modified(|active| {
            if active.remaining_calls == Some(0) || !applies(active.fault) {
                return false;
            }
            hit = Some(*active);
            active.remaining_calls = active
                .remaining_calls
                .map(|remaining_calls| remaining_calls - 1);
            false
        });
        hit
    }

    /// Starts a call: runs the hook, waits while frozen, and fails while down.
    async fn begin_call(&self, kind: &str, name: &str) -> Result<(), Error> {
        let hook = lock(&self.shared.hook).clone();
        if let Some(hook) = hook {
            hook(kind, name);
        }
        let mut active = self.shared.active.subscribe();
        if self.take_fault(|fault| fault == Fault::Freeze).is_some() {
            // The sender lives as long as `self`, so this can't fail.
            let _thawed = active.wait_for(|now| now.fault != Fault::Freeze).await;
        }
        if self.take_fault(|fault| fault == Fault::Down).is_some() {
            return Err(Error::unavailable("the store is down"));
        }
        Ok(())
    }

    /// Delays the response of a call that has taken effect, if the active fault is [`Fault::Slow`].
    async fn apply_delay(&self) {
        if let Some(active) = self.take_fault(|fault| fault == Fault::Slow) {
            tokio::time::sleep(active.delay).await;
        }
    }

    /// Ends an update, delaying or losing its response if the active fault says so.
    async fn finish_update<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        self.apply_delay().await;
        if self
            .take_fault(|fault| fault == Fault::LoseAnswer)
            .is_some()
        {
            return Err(Error::no_response("the response was lost"));
        }
        result
    }

    fn count_call(&self, add: impl FnOnce(&mut CallCounts)) {
        add(&mut lock(&self.shared.calls));
    }

    fn read(&self, name: &str) -> Option<(u64, Bytes)> {
        let table = lock(&self.shared.table);
        let entry = table.entries.get(name)?;
        Some((entry.changed, entry.value.clone()?))
    }

    /// Changes one object if its version is `expected`.
    fn update(
        &self,
        name: &str,
        value: Option<Bytes>,
        expected: Version,
    ) -> Result<Version, Error> {
        let mut table = lock(&self.shared.table);
        let found = table
            .entries
            .get(name)
            .map_or(0, |entry| entry.value.as_ref().map_or(0, |_| entry.changed));
        if found != expected.0 {
            return Err(Error::conflict(Version(found)));
        }
        let changed = *self.shared.revision.borrow() + 1;
        table.entries.insert(name.into(), Entry { changed, value });
        // Sent under the table's lock, so that a watcher never sees a revision without its change.
        self.shared.revision.send_replace(changed);
        Ok(Version(changed))
    }

    /// Returns the changes after the revision `after`.
    fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let table = lock(&self.shared.table);
        let revision = Revision(*self.shared.revision.borrow());
        let start = CompactString::from(prefix);
        let objects = table
            .entries
            .range(start..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter(|(_, entry)| entry.changed > after.0)
            .filter(|(_, entry)| after.0 > 0 || entry.value.is_some())
            .map(|(name, entry)| object(name, entry))
            .collect();
        Changes {
            era: Era::default(),
            revision,
            objects,
        }
    }

    /// Waits up to `wait` for changes after the revision `after`.
    async fn wait_for_changes(&self, prefix: &str, after: Revision, wait: Duration) -> Changes {
        let mut revision = self.shared.revision.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            revision.mark_unchanged();
            let found = self.changes(prefix, after);
            if after.0 == 0 || !found.objects.is_empty() {
                return found;
            }
            if tokio::time::timeout_at(deadline, revision.changed())
                .await
                .is_err()
            {
                return found;
            }
        }
    }
}

/// Converts a table entry to an object of a watch response.
fn object(name: &CompactString, entry: &Entry) -> Object {
    Object {
        name: name.clone(),
        version: Version(entry.value.as_ref().map_or(0, |_| entry.changed)),
        value: entry.value.clone().unwrap_or_default(),
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.count_call(|calls| calls.reads += 1);
        self.begin_call("get", name).await?;
        let found = self.read(name);
        self.apply_delay().await;
        Ok(found.map(|(version, value)| Object {
            name: name.into(),
            version: Version(version),
            value,
        }))
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        self.count_call(|calls| calls.reads += 1);
        self.begin_call("version", name).await?;
        let found = self.read(name);
        self.apply_delay().await;
        Ok(Version(found.map_or(0, |(version, _)| version)))
    }

    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error> {
        self.count_call(|calls| calls.writes += 1);
        self.begin_call("put", name).await?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::unavailable("the value is too long"));
        }
        let result = self.update(name, Some(value), expected);
        self.finish_update(result).await
    }

    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error> {
        self.count_call(|calls| calls.writes += 1);
        self.begin_call("delete", name).await?;
        let result = self.update(name, None, expected);
        self.finish_update(result).await.map(|_version| ())
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.count_call(|calls| calls.watches += 1);
        self.begin_call("watch", prefix).await?;
        let found = self.wait_for_changes(prefix, after, wait).await;
        if let Some(active) = self.take_fault(|fault| fault == Fault::Lag) {
            tokio::time::sleep(active.delay).await;
        }
        self.apply_delay().await;
        Ok(found)
    }
}
