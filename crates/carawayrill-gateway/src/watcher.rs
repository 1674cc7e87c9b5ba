//! Follows the manifest and the list of servers by watch.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::servers::Change;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use rand::RngExt;

use crate::clock;
use crate::port::StoreSchema;
use crate::state::Shared;
use crate::upstream::Upstream;

/// How long one watch waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// The pause after a watch that brought changes of the manifest, so that changes in a row are read
/// together.
const MANIFEST_BATCH_DELAY: Duration = Duration::from_millis(150);
/// The same for changes of servers while the is_snapshot system starts.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// How long the start of the is_snapshot system takes.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// The shortest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after failed calls in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// How long a broken connection takes to be noticed while a call waits.
const BREAK_DETECTION_TIME: Duration = Duration::from_secs(1);
/// How often servers and connections are looked through for those whose time is over.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(150);

/// Tells when something that the process depends on is lost_at and regained.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost_at: Option<Time>,
    failures: u32,
}

impl Dependency {
    /// Makes a dependency that is reached.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
            failures: 0,
        }
    }

    /// Notes a failure and returns how long to wait before the next call.
    pub fn record_failure(&mut self, shared: &Shared, cause: &dyn std::fmt::Display) -> Duration {
        if self.lost_at.is_none() {
            self.lost_at = Some(clock::now());
            emit(EventKind::DependencyLost {
                name: self.name.into(),
                reason: format_compact!("{cause}"),
            });
        }
        let doublings = self.failures.min(4);
        self.failures += 1;
        let backoff = (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        backoff.mul_f64(shared.tables().rng.random_range(0.5..=1.0))
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if let Some(lost_at) = self.lost_at.take() {
            emit(EventKind::DependencyRegained {
                name: self.name.into(),
                after_ms: millis(clock::now().since(lost_at)),
            });
        }
    }
}

/// What a feed does with what it reads.
trait WatchHandler: Send {
    /// Takes in the is_snapshot list.
    fn on_snapshot(&mut self, changes: Changes);
    /// Takes in changes.
    fn on_changes(&mut self, changes: Changes);
    /// Takes in that a call to the store has failed that was sent_at at this time.
    fn on_failure(&mut self, sent_at: Time);
    /// Returns how long to wait after changes for those that come in a row with them.
    fn batch_delay(&self) -> Duration;
}

/// Follows one kind of objects for ever.
async fn watch_objects(
    shared: &Shared,
    store: &dyn ObjectStore,
    kind: &str,
    name: &'static str,
    reader: &mut dyn WatchHandler,
) {
    let mut revision = Revision(0);
    let mut dependency = Dependency::new(name);
    loop {
        let sent_at = clock::now();
        match store.watch(kind, revision, WATCH_TIMEOUT).await {
            Ok(changes) => {
                dependency.record_success();
                let has_changes = !changes.objects.is_empty();
                let is_snapshot = revision == Revision(0);
                revision = changes.revision;
                if is_snapshot {
                    reader.on_snapshot(changes);
                } else {
                    reader.on_changes(changes);
                }
                if has_changes && !is_snapshot {
                    tokio::time::sleep(reader.batch_delay()).await;
                }
            }
            Err(err) if err.is_history_lost() => {
                log::info!("{kind}: the history is gone, reading all again");
                revision = Revision(0);
            }
            Err(err) => {
                // A watch may have waited long before its connection broke.
                reader.on_failure(sent_at.max(clock::now() - BREAK_DETECTION_TIME));
                let wait = dependency.record_failure(shared, &err);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Follows the manifest for ever.
pub async fn watch_manifest(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    schema: Arc<dyn StoreSchema>,
) {
    let kind = schema.manifest_kind();
    let mut reader = ManifestHandler {
        shared: Arc::clone(&shared),
        schema,
    };
    watch_objects(&shared, &*store, kind, "store-manifest", &mut reader).await;
}

struct ManifestHandler {
    shared: Arc<Shared>,
    schema: Arc<dyn StoreSchema>,
}

impl ManifestHandler {
    fn apply(&self, objects: &[Object]) {
        let name = self.schema.manifest_name();
        for object in objects {
            if object.short_name() == name && object.version.0 != 0 {
                self.apply_manifest(object);
            }
        }
    }

    fn apply_manifest(&self, object: &Object) {
        let manifest = match self.schema.decode_manifest(object) {
            Ok(manifest) => manifest,
            Err(err) => {
                self.shared.metrics.bad_entries.inc();
                log::error!("a manifest was left out: {err}");
                return;
            }
        };
        let version = manifest.version.0;
        let routes = manifest.routes.len();
        if self.shared.tables().put_manifest(manifest) {
            emit(EventKind::ManifestInForce { version, routes });
            self.shared.notify_changed();
        }
    }
}

impl WatchHandler for ManifestHandler {
    fn on_snapshot(&mut self, changes: Changes) {
        self.apply(&changes.objects);
    }

    fn on_changes(&mut self, changes: Changes) {
        self.apply(&changes.objects);
    }

    fn on_failure(&mut self, _sent: Time) {}

    fn batch_delay(&self) -> Duration {
        MANIFEST_BATCH_DELAY
    }
}

/// Follows the list of servers for ever.
pub async fn watch_servers(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    schema: Arc<dyn StoreSchema>,
    upstream: Arc<Upstream>,
) {
    let kind = schema.server_kind();
    let mut reader = ServerHandler {
        shared: Arc::clone(&shared),
        schema,
        upstream,
        unreadable: std::collections::BTreeSet::new(),
        started: clock::now(),
    };
    watch_objects(&shared, &*store, kind, "store-servers", &mut reader).await;
}

struct ServerHandler {
    shared: Arc<Shared>,
    schema: Arc<dyn StoreSchema>,
    upstream: Arc<Upstream>,
    /// Entries that can't be read and were logged.
    unreadable: std::collections::BTreeSet<CompactString>,
    started: Time,
}

impl ServerHandler {
    fn read(&mut self, object: &Object) -> Option<Server> {
        match self.schema.decode_server(object) {
            Ok(server) => {
                self.unreadable.remove(&object.name);
                Some(server)
            }
            Err(err) => {
                if self.unreadable.insert(object.name.clone()) {
                    self.shared.metrics.bad_entries.inc();
                    log::warn!("the entry of a server was left out: {err}");
                }
                None
            }
        }
    }

    fn publish(&self, changes: &[Change], revision: Revision) {
        for change in changes {
            let (server, what) = match change {
                Change::Added(server) => (server, "added"),
                Change::Draining(server) => (server, "draining"),
                Change::Removed(server) => (server, "removed"),
            };
            emit(EventKind::ServerChanged {
                server: server.to_compact_string(),
                change: what.into(),
                revision: revision.0,
            });
        }
        if changes.is_empty() {
            return;
        }
        self.discard_stale_state(changes);
        self.shared.notify_changed();
    }

    /// Drops what is known of servers that began a new life or are gone.
    fn discard_stale_state(&self, changes: &[Change]) {
        let removed: Vec<&ServerId> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Added(id) | Change::Removed(id) => Some(id),
                Change::Draining(_) => None,
            })
            .collect();
        self.upstream.evict_idle(|id| !removed.contains(&id));
        let mut tables = self.shared.tables();
        for change in changes {
            if let Change::Added(id) = change {
                tables.loads.remove(id);
            }
        }
        tables.remove_unlisted_loads();
    }
}

impl WatchHandler for ServerHandler {
    fn on_snapshot(&mut self, changes: Changes) {
        let listed = changes
            .objects
            .iter()
            .filter_map(|object| self.read(object))
            .collect();
        let applied = {
            let mut tables = self.shared.tables();
            tables.servers_read = true;
            tables.servers.replace(listed, clock::now())
        };
        self.publish(&applied, changes.revision);
    }

    fn on_changes(&mut self, changes: Changes) {
        let mut applied = Vec::new();
        let now = clock::now();
        self.shared.tables().servers.store_back(now);
        for object in &changes.objects {
            let read = if object.version.0 == 0 {
                None
            } else {
                self.read(object)
            };
            let mut tables = self.shared.tables();
            match read {
                Some(server) => applied.extend(tables.servers.put(server, now)),
                // An entry that can't be read any more names no server to use.
                None => {
                    if let Ok(id) = ServerId::try_from(object.short_name()) {
                        applied.extend(tables.servers.vanish(&id, now));
                    }
                }
            }
        }
        self.publish(&applied, changes.revision);
    }

    fn on_failure(&mut self, sent_at: Time) {
        self.shared.tables().servers.store_away(sent_at);
    }

    fn batch_delay(&self) -> Duration {
        let cfg = &self.shared.cfg;
        let starting = cfg.first_start && clock::now().since(self.started) < STARTUP_PERIOD;
        if starting {
            STARTUP_BATCH_DELAY
        } else {
            cfg.server_batch_delay
        }
    }
}

/// Drops servers whose time after an outage is over, and connections that are too old.
pub async fn run_cleanup(shared: Arc<Shared>, upstream: Arc<Upstream>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = clock::now();
        let removed = shared.tables().servers.expire(now);
        for change in &removed {
            log::info!("an entry did not come back after the outage: {change:?}");
        }
        if !removed.is_empty() {
            shared.notify_changed();
        }
        upstream.evict_idle(|id| {
            let tables = shared.tables();
            tables.servers.get(id).is_some()
        });
    }
}
