//! Watches the manifest and the server list in the store.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::ServerChange;
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

/// The maximum wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// The delay after a change of the manifest before the next watch, so that successive changes are
/// read together.
const MANIFEST_BATCH_DELAY: Duration = Duration::from_millis(150);
/// The delay after a change of servers during the first start of the whole system.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// The duration of the first start of the whole system.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// The initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// The maximum backoff after successive failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// The time until a broken connection is detected while a call waits.
const BREAK_DETECTION_TIME: Duration = Duration::from_secs(1);
/// How often expired servers and idle connections are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(150);

/// Emits an event when an external system becomes unreachable or reachable again.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost_at: Option<Time>,
    failures: u32,
}

impl Dependency {
    /// Creates a dependency that counts as reachable.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
            failures: 0,
        }
    }

    /// Records a failed call and returns the backoff before the next one.
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

    /// Records a successful call.
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

/// Handles the results of watch calls.
trait WatchHandler: Send {
    /// Handles the complete list of objects.
    fn on_snapshot(&mut self, changes: Changes);
    /// Handles changed objects.
    fn on_changes(&mut self, changes: Changes);
    /// Handles a failed call that was sent at `sent_at`.
    fn on_failure(&mut self, sent_at: Time);
    /// Returns the delay between a change and the next watch call.
    fn batch_delay(&self) -> Duration;
}

/// Watches one kind of object. Never returns.
async fn watch_objects(
    shared: &Shared,
    store: &dyn ObjectStore,
    kind: &str,
    name: &'static str,
    handler: &mut dyn WatchHandler,
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
                    handler.on_snapshot(changes);
                } else {
                    handler.on_changes(changes);
                }
                if has_changes && !is_snapshot {
                    tokio::time::sleep(handler.batch_delay()).await;
                }
            }
            Err(err) if err.is_history_lost() => {
                log::info!("{kind}: the watch history is lost; reading the whole list");
                revision = Revision(0);
            }
            Err(err) => {
                // The watch may have waited for a long time before its connection broke.
                handler.on_failure(sent_at.max(clock::now() - BREAK_DETECTION_TIME));
                let wait = dependency.record_failure(shared, &err);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Watches the manifest. Never returns.
pub async fn watch_manifest(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    schema: Arc<dyn StoreSchema>,
) {
    let kind = schema.manifest_kind();
    let mut handler = ManifestHandler {
        shared: Arc::clone(&shared),
        schema,
    };
    watch_objects(&shared, &*store, kind, "store-manifest", &mut handler).await;
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
                log::error!("ignored an invalid manifest: {err}");
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

    fn on_failure(&mut self, _sent_at: Time) {}

    fn batch_delay(&self) -> Duration {
        MANIFEST_BATCH_DELAY
    }
}

/// Watches the server list. Never returns.
pub async fn watch_servers(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    schema: Arc<dyn StoreSchema>,
    upstream: Arc<Upstream>,
) {
    let kind = schema.server_kind();
    let mut handler = ServerHandler {
        shared: Arc::clone(&shared),
        schema,
        upstream,
        unreadable: std::collections::BTreeSet::new(),
        started: clock::now(),
    };
    watch_objects(&shared, &*store, kind, "store-servers", &mut handler).await;
}

struct ServerHandler {
    shared: Arc<Shared>,
    schema: Arc<dyn StoreSchema>,
    upstream: Arc<Upstream>,
    /// The undecodable entries that were logged already.
    unreadable: std::collections::BTreeSet<CompactString>,
    started: Time,
}

impl ServerHandler {
    fn decode_server(&mut self, object: &Object) -> Option<Server> {
        match self.schema.decode_server(object) {
            Ok(server) => {
                self.unreadable.remove(&object.name);
                Some(server)
            }
            Err(err) => {
                if self.unreadable.insert(object.name.clone()) {
                    self.shared.metrics.bad_entries.inc();
                    log::warn!("ignored an invalid server entry: {err}");
                }
                None
            }
        }
    }

    fn publish(&self, changes: &[ServerChange], revision: Revision) {
        for change in changes {
            let (server, change_kind) = match change {
                ServerChange::Added(server) => (server, "added"),
                ServerChange::Draining(server) => (server, "draining"),
                ServerChange::Removed(server) => (server, "removed"),
            };
            emit(EventKind::ServerChanged {
                server: server.to_compact_string(),
                change: change_kind.into(),
                revision: revision.0,
            });
        }
        if changes.is_empty() {
            return;
        }
        self.discard_stale_state(changes);
        self.shared.notify_changed();
    }

    /// Discards connections and load estimates of servers that restarted or were removed.
    fn discard_stale_state(&self, changes: &[ServerChange]) {
        let removed: Vec<&ServerId> = changes
            .iter()
            .filter_map(|change| match change {
                ServerChange::Added(id) | ServerChange::Removed(id) => Some(id),
                ServerChange::Draining(_) => None,
            })
            .collect();
        self.upstream.evict_idle(|id| !removed.contains(&id));
        let mut tables = self.shared.tables();
        for change in changes {
            if let ServerChange::Added(id) = change {
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
            .filter_map(|object| self.decode_server(object))
            .collect();
        let applied = {
            let mut tables = self.shared.tables();
            tables.servers_read = true;
            tables.servers.replace_all(listed, clock::now())
        };
        self.publish(&applied, changes.revision);
    }

    fn on_changes(&mut self, changes: Changes) {
        let mut applied = Vec::new();
        let now = clock::now();
        self.shared.tables().servers.mark_store_reachable(now);
        for object in &changes.objects {
            let decoded = if object.version.0 == 0 {
                None
            } else {
                self.decode_server(object)
            };
            let mut tables = self.shared.tables();
            match decoded {
                Some(server) => applied.extend(tables.servers.upsert(server, now)),
                // An entry that can't be decoded counts as removed.
                None => {
                    if let Ok(id) = ServerId::try_from(object.short_name()) {
                        applied.extend(tables.servers.handle_missing(&id, now));
                    }
                }
            }
        }
        self.publish(&applied, changes.revision);
    }

    fn on_failure(&mut self, sent_at: Time) {
        self.shared.tables().servers.mark_store_unreachable(sent_at);
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

/// Removes servers that did not reappear after a store outage, and expired idle connections. Never
/// returns.
pub async fn run_cleanup(shared: Arc<Shared>, upstream: Arc<Upstream>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = clock::now();
        let removed = shared.tables().servers.expire(now);
        for change in &removed {
            log::info!("server entry did not reappear after the store outage: {change:?}");
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
