//! The state that all parts of a router share.

use std::fmt;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cadence::StatsdClient;
use carawayrill_config::daemon::RouterSettings;
use carawayrill_config::deployment::Deployment;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RequestId;
use carawayrill_core::object::ASSIGNMENTS;
use carawayrill_core::object::MEMBERS;
use carawayrill_core::route::RouteTable;
use carawayrill_core::time::Time;
use carawayrill_store::port::ObjectStore;
use compact_str::format_compact;

use crate::cache::ObjectCache;
use crate::clock::MonotonicClock;
use crate::entry::retries::Retries;
use crate::members::MemberTable;
use crate::peer::pool::PeerPool;

/// The prefix of the names of configuration objects.
const CONFIG_PREFIX: &str = "config/";
/// The heartbeat interval until a configuration is in force.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The shared state of one router process.
pub struct Context {
    /// The settings that the process was started with.
    pub settings: RouterSettings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The monotonic clock of this process.
    pub clock: MonotonicClock,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Caches of the store's objects.
    pub caches: Caches,
    /// The configuration in force; none until the first one has been read.
    pub deployment: ArcSwapOption<Deployment>,
    /// The routing table, which maps keys to assignments.
    pub routes: RwLock<RouteTable>,
    /// The known routers.
    pub members: MemberTable,
    /// Connections to other routers.
    pub peers: PeerPool,
    /// Retry budgets and backoff of this router in the entry role.
    pub retries: Retries,
    /// The client that sends metrics.
    pub metrics: StatsdClient,
    /// Whether the planned stop has begun.
    pub stopping: AtomicBool,
    /// The number of callers' requests in flight at the entry.
    pub in_flight: AtomicU32,
    requests: AtomicU64,
}

/// Caches of the store's objects, one for each prefix.
#[derive(Debug)]
pub struct Caches {
    /// Objects of the configuration.
    pub config: ObjectCache,
    /// Blocks of assignments.
    pub assignments: ObjectCache,
    /// Registrations of routers.
    pub members: ObjectCache,
}

impl Caches {
    fn new() -> Self {
        Self {
            config: ObjectCache::new(CONFIG_PREFIX),
            assignments: ObjectCache::new(ASSIGNMENTS),
            members: ObjectCache::new(MEMBERS),
        }
    }

    /// Returns the cache of the objects under `prefix`.
    #[must_use]
    pub fn find(&self, prefix: &str) -> Option<&ObjectCache> {
        [&self.config, &self.assignments, &self.members]
            .into_iter()
            .find(|cache| cache.prefix() == prefix)
    }
}

impl Context {
    /// Creates the context of a process that starts now.
    #[must_use]
    pub fn new(
        settings: RouterSettings,
        incarnation: Incarnation,
        store: Arc<dyn ObjectStore>,
        metrics: StatsdClient,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock: MonotonicClock::start(),
            store,
            caches: Caches::new(),
            deployment: ArcSwapOption::empty(),
            routes: RwLock::default(),
            members: MemberTable::default(),
            peers: PeerPool::default(),
            retries: Retries::new(incarnation),
            metrics,
            stopping: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Returns the time on this process's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the generation of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.deployment
            .load()
            .as_ref()
            .map_or_else(Generation::default, |deployment| deployment.generation)
    }

    /// Locks the routing table for reading.
    pub fn routes(&self) -> RwLockReadGuard<'_, RouteTable> {
        self.routes.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the routing table for writing.
    pub fn routes_mut(&self) -> RwLockWriteGuard<'_, RouteTable> {
        self.routes.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the interval between two heartbeats.
    #[must_use]
    pub fn heartbeat_every(&self) -> Duration {
        let deployment = self.deployment.load();
        deployment
            .as_ref()
            .map_or(DEFAULT_HEARTBEAT_INTERVAL, |deployment| {
                deployment.timing.heartbeat_every.0
            })
    }

    /// Creates the identifier of a new request, unique among all routers and their incarnations.
    ///
    /// # Panics
    ///
    /// Never: a router's name is at most 39 characters long, and the incarnation and the counter
    /// that follow it have only allowed characters.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = format_compact!(
            "{}-{:x}-{count:x}",
            self.settings.router,
            self.incarnation.0
        );
        let short = text
            .get(text.len().saturating_sub(63)..)
            .unwrap_or_default();
        RequestId::try_from(short).unwrap_or_else(|_err| unreachable!("made of allowed characters"))
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("settings", &self.settings)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
