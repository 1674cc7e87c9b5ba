//! A store with seeded faults, and an executor that polls futures in seeded order.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_store::Error;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use futures_util::task::noop_waker;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A task of the executor.
pub type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// The random number generator that all parts of one run share.
pub type SharedRng = Arc<Mutex<ChaCha8Rng>>;

/// Returns a random number below `limit`.
pub fn random_below(rng: &SharedRng, limit: u32) -> u32 {
    lock(rng).random_range(0..limit)
}

/// Locks a mutex; panics if another holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// Polls the tasks in random order until all are done.
pub fn run(mut tasks: Vec<Task<'_>>, rng: &SharedRng) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    while !tasks.is_empty() {
        let at = random_below(rng, u32::try_from(tasks.len()).expect("few tasks")) as usize;
        if tasks[at].as_mut().poll(&mut cx).is_ready() {
            drop(tasks.swap_remove(at));
        }
    }
}

/// Yields to the executor once.
pub async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// An update that takes effect later: name, value and expected version.
type DelayedWrite = (String, Bytes, Version);

/// A store whose calls interleave and fail at random. Its reads are still linearizable.
#[derive(Debug)]
pub struct FaultyStore {
    /// The objects.
    pub inner: MemoryStore,
    /// Source of the random faults.
    pub rng: SharedRng,
    /// Percentage of calls that fail.
    pub faults: u32,
    delayed: Mutex<Vec<DelayedWrite>>,
}

/// The fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    None,
    Rejected,
    RequestLost,
    ReplyLost,
    Delayed,
}

impl FaultyStore {
    /// Creates an empty store.
    pub fn new(rng: &SharedRng, faults: u32) -> Self {
        Self {
            inner: MemoryStore::new(),
            rng: Arc::clone(rng),
            faults,
            delayed: Mutex::default(),
        }
    }

    /// Draws the fault of a call.
    fn draw_fault(&self) -> CallFault {
        if random_below(&self.rng, 100) >= self.faults {
            return CallFault::None;
        }
        match random_below(&self.rng, 4) {
            0 => CallFault::Rejected,
            1 => CallFault::RequestLost,
            2 => CallFault::ReplyLost,
            _ => CallFault::Delayed,
        }
    }

    /// Yields up to two times, and sometimes applies a delayed update.
    async fn yield_randomly(&self) {
        for _ in 0..random_below(&self.rng, 3) {
            yield_now().await;
        }
        if random_below(&self.rng, 4) == 0 {
            self.apply_delayed().await;
        }
    }

    /// Applies one delayed update, if there is one, and returns whether there was.
    pub async fn apply_delayed(&self) -> bool {
        let delayed = lock(&self.delayed).pop();
        if let Some((name, value, expected)) = &delayed {
            // It fails if the object has changed since. No caller waits for the result.
            drop(self.inner.put(name, value.clone(), *expected).await);
        }
        delayed.is_some()
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.yield_randomly().await;
        if self.draw_fault() != CallFault::None {
            return Err(Error::unavailable("drawn"));
        }
        let found = self.inner.get(name).await;
        self.yield_randomly().await;
        found
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        self.inner.version(name).await
    }

    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error> {
        self.yield_randomly().await;
        let fault = self.draw_fault();
        let lost = || Error::no_response("drawn");
        match fault {
            CallFault::Rejected => Err(Error::unavailable("drawn")),
            CallFault::RequestLost => Err(lost()),
            CallFault::Delayed => {
                lock(&self.delayed).push((name.to_owned(), value, expected));
                Err(lost())
            }
            CallFault::None | CallFault::ReplyLost => {
                let result = self.inner.put(name, value, expected).await;
                self.yield_randomly().await;
                if fault == CallFault::ReplyLost {
                    return Err(lost());
                }
                result
            }
        }
    }

    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error> {
        self.inner.delete(name, expected).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.inner.watch(prefix, after, wait).await
    }
}
