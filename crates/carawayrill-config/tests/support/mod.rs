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

/// The random numbers that all parts of one run share.
pub type Dice = Arc<Mutex<ChaCha8Rng>>;

/// Returns a random number below `limit`.
pub fn below(dice: &Dice, limit: u32) -> u32 {
    lock(dice).random_range(0..limit)
}

/// Locks what a panicking test can't have left half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// Polls the tasks in random order until all are done.
pub fn run(mut tasks: Vec<Task<'_>>, dice: &Dice) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    while !tasks.is_empty() {
        let at = below(dice, u32::try_from(tasks.len()).expect("few tasks")) as usize;
        if tasks[at].as_mut().poll(&mut cx).is_ready() {
            drop(tasks.swap_remove(at));
        }
    }
}

/// Lets other tasks run.
pub async fn give_way() {
    let mut given = false;
    poll_fn(|cx| {
        if given {
            return Poll::Ready(());
        }
        given = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// An update that takes effect later.
type Late = (String, Bytes, Version);

/// A store whose calls interleave and fail at random. Reads are linearizable all the same.
#[derive(Debug)]
pub struct FaultyStore {
    /// The objects.
    pub inner: MemoryStore,
    /// Decides over faults.
    pub dice: Dice,
    /// How many of 100 calls fail in one way or another.
    pub faults: u32,
    late: Mutex<Vec<Late>>,
}

/// What becomes of one update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fortune {
    Good,
    Refused,
    LostBefore,
    LostAfter,
    LostAndLate,
}

impl FaultyStore {
    /// Makes an empty store.
    pub fn new(dice: &Dice, faults: u32) -> Self {
        Self {
            inner: MemoryStore::new(),
            dice: Arc::clone(dice),
            faults,
            late: Mutex::default(),
        }
    }

    /// Draws what becomes of a call.
    fn draw(&self) -> Fortune {
        if below(&self.dice, 100) >= self.faults {
            return Fortune::Good;
        }
        match below(&self.dice, 4) {
            0 => Fortune::Refused,
            1 => Fortune::LostBefore,
            2 => Fortune::LostAfter,
            _ => Fortune::LostAndLate,
        }
    }

    /// Lets others run, and now and then lets a late update take effect.
    async fn turn(&self) {
        for _ in 0..below(&self.dice, 3) {
            give_way().await;
        }
        if below(&self.dice, 4) == 0 {
            self.land_one().await;
        }
    }

    /// Lets one late update take effect, if there is one.
    pub async fn land_one(&self) -> bool {
        let late = lock(&self.late).pop();
        if let Some((name, value, expected)) = &late {
            // Refused if the object has changed meanwhile; nobody waits for the answer.
            drop(self.inner.put(name, value.clone(), *expected).await);
        }
        late.is_some()
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.turn().await;
        if self.draw() != Fortune::Good {
            return Err(Error::unavailable("drawn"));
        }
        let found = self.inner.get(name).await;
        self.turn().await;
        found
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        self.inner.version(name).await
    }

    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error> {
        self.turn().await;
        let fortune = self.draw();
        let lost = || Error::no_response("drawn");
        match fortune {
            Fortune::Refused => Err(Error::unavailable("drawn")),
            Fortune::LostBefore => Err(lost()),
            Fortune::LostAndLate => {
                lock(&self.late).push((name.to_owned(), value, expected));
                Err(lost())
            }
            Fortune::Good | Fortune::LostAfter => {
                let answer = self.inner.put(name, value, expected).await;
                self.turn().await;
                if fortune == Fortune::LostAfter {
                    return Err(lost());
                }
                answer
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
