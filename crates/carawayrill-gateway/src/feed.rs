//! Follows the manifest and the list of servers by watch.

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
use crate::port::Directory;
use crate::state::Shared;
use crate::upstream::Upstream;

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// The pause after a watch that brought changes of the manifest, so that changes in a row are read
/// together.
const MANIFEST_GATHER: Duration = Duration::from_millis(150);
/// The same for changes of servers while the whole system starts.
const FIRST_GATHER: Duration = Duration::from_millis(1_500);
/// How long the start of the whole system takes.
const FIRST_START: Duration = Duration::from_secs(5);
/// The shortest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after failed calls in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// How long a broken connection takes to be noticed while a call waits.
const BROKEN_FOR: Duration = Duration::from_secs(1);
/// How often servers and connections are looked through for those whose time is over.
const TIDY_INTERVAL: Duration = Duration::from_millis(150);

/// Tells when something that the process depends on is lost and regained.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost: Option<Time>,
    failures: u32,
}

impl Dependency {
    /// Makes a dependency that is reached.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            lost: None,
            failures: 0,
        }
    }

    /// Notes a failure and returns how long to wait before the next call.
    pub fn failed(&mut self, shared: &Shared, why: &dyn std::fmt::Display) -> Duration {
        if self.lost.is_none() {
            self.lost = Some(clock::now());
            emit(EventKind::DependencyLost {
                name: self.name.into(),
                reason: format_compact!("{why}"),
            });
        }
        let doublings = self.failures.min(4);
        self.failures += 1;
        let span = (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        span.mul_f64(shared.tables().rng.random_range(0.5..=1.0))
    }

    /// Notes a success.
    pub fn reached(&mut self) {
        self.failures = 0;
        if let Some(lost) = self.lost.take() {
            emit(EventKind::DependencyRegained {
                name: self.name.into(),
                after_ms: millis(clock::now().since(lost)),
            });
        }
    }
}

/// What a feed does with what it reads.
trait Reader: Send {
    /// Takes in the whole list.
    fn all(&mut self, changes: Changes);
    /// Takes in changes.
    fn some(&mut self, changes: Changes);
    /// Takes in that a call to the store has failed that was sent at this time.
    fn away(&mut self, sent: Time);
    /// Returns how long to wait after changes for those that come in a row with them.
    fn gather(&self) -> Duration;
}

/// Follows one kind of objects for ever.
async fn follow(
    shared: &Shared,
    store: &dyn ObjectStore,
    kind: &str,
    name: &'static str,
    reader: &mut dyn Reader,
) {
    let mut revision = Revision(0);
    let mut dependency = Dependency::new(name);
    loop {
        let sent = clock::now();
        match store.watch(kind, revision, WATCH_WAIT).await {
            Ok(changes) => {
                dependency.reached();
                let any = !changes.objects.is_empty();
                let whole = revision == Revision(0);
                revision = changes.revision;
                if whole {
                    reader.all(changes);
                } else {
                    reader.some(changes);
                }
                if any && !whole {
                    tokio::time::sleep(reader.gather()).await;
                }
            }
            Err(err) if err.is_history_lost() => {
                log::info!("{kind}: the history is gone, reading all again");
                revision = Revision(0);
            }
            Err(err) => {
                // A watch may have waited long before its connection broke.
                reader.away(sent.max(clock::now() - BROKEN_FOR));
                let wait = dependency.failed(shared, &err);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Follows the manifest for ever.
pub async fn follow_manifest(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    directory: Arc<dyn Directory>,
) {
    let kind = directory.manifest_kind();
    let mut reader = ManifestReader {
        shared: Arc::clone(&shared),
        directory,
    };
    follow(&shared, &*store, kind, "store-manifest", &mut reader).await;
}

struct ManifestReader {
    shared: Arc<Shared>,
    directory: Arc<dyn Directory>,
}

impl ManifestReader {
    fn put(&self, objects: &[Object]) {
        let name = self.directory.manifest_name();
        for object in objects {
            if object.short_name() == name && object.version.0 != 0 {
                self.put_one(object);
            }
        }
    }

    fn put_one(&self, object: &Object) {
        let manifest = match self.directory.manifest(object) {
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
            self.shared.announce();
        }
    }
}

impl Reader for ManifestReader {
    fn all(&mut self, changes: Changes) {
        self.put(&changes.objects);
    }

    fn some(&mut self, changes: Changes) {
        self.put(&changes.objects);
    }

    fn away(&mut self, _sent: Time) {}

    fn gather(&self) -> Duration {
        MANIFEST_GATHER
    }
}

/// Follows the list of servers for ever.
pub async fn follow_servers(
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    directory: Arc<dyn Directory>,
    upstream: Arc<Upstream>,
) {
    let kind = directory.server_kind();
    let mut reader = ServerReader {
        shared: Arc::clone(&shared),
        directory,
        upstream,
        bad: std::collections::BTreeSet::new(),
        started: clock::now(),
    };
    follow(&shared, &*store, kind, "store-servers", &mut reader).await;
}

struct ServerReader {
    shared: Arc<Shared>,
    directory: Arc<dyn Directory>,
    upstream: Arc<Upstream>,
    /// Entries that can't be read and were logged.
    bad: std::collections::BTreeSet<CompactString>,
    started: Time,
}

impl ServerReader {
    fn read(&mut self, object: &Object) -> Option<Server> {
        match self.directory.server(object) {
            Ok(server) => {
                self.bad.remove(&object.name);
                Some(server)
            }
            Err(err) => {
                if self.bad.insert(object.name.clone()) {
                    self.shared.metrics.bad_entries.inc();
                    log::warn!("the entry of a server was left out: {err}");
                }
                None
            }
        }
    }

    fn tell(&self, changes: &[ServerChange], revision: Revision) {
        for change in changes {
            let (server, what) = match change {
                ServerChange::Added(server) => (server, "added"),
                ServerChange::Draining(server) => (server, "draining"),
                ServerChange::Removed(server) => (server, "removed"),
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
        self.forget(changes);
        self.shared.announce();
    }

    /// Drops what is known of servers that began a new life or are gone.
    fn forget(&self, changes: &[ServerChange]) {
        let gone: Vec<&ServerId> = changes
            .iter()
            .filter_map(|change| match change {
                ServerChange::Added(id) | ServerChange::Removed(id) => Some(id),
                ServerChange::Draining(_) => None,
            })
            .collect();
        self.upstream.tidy(|id| !gone.contains(&id));
        let mut tables = self.shared.tables();
        for change in changes {
            if let ServerChange::Added(id) = change {
                tables.loads.remove(id);
            }
        }
        tables.drop_old_loads();
    }
}

impl Reader for ServerReader {
    fn all(&mut self, changes: Changes) {
        let listed = changes
            .objects
            .iter()
            .filter_map(|object| self.read(object))
            .collect();
        let seen = {
            let mut tables = self.shared.tables();
            tables.servers_read = true;
            tables.servers.replace_all(listed, clock::now())
        };
        self.tell(&seen, changes.revision);
    }

    fn some(&mut self, changes: Changes) {
        let mut seen = Vec::new();
        let now = clock::now();
        self.shared.tables().servers.mark_store_reachable(now);
        for object in &changes.objects {
            let read = if object.version.0 == 0 {
                None
            } else {
                self.read(object)
            };
            let mut tables = self.shared.tables();
            match read {
                Some(server) => seen.extend(tables.servers.upsert(server, now)),
                // An entry that can't be read any more names no server to use.
                None => {
                    if let Ok(id) = ServerId::try_from(object.short_name()) {
                        seen.extend(tables.servers.handle_missing(&id, now));
                    }
                }
            }
        }
        self.tell(&seen, changes.revision);
    }

    fn away(&mut self, sent: Time) {
        self.shared.tables().servers.mark_store_unreachable(sent);
    }

    fn gather(&self) -> Duration {
        let cfg = &self.shared.cfg;
        let starting = cfg.first_start && clock::now().since(self.started) < FIRST_START;
        if starting { FIRST_GATHER } else { cfg.gather }
    }
}

/// Drops servers whose time after an outage is over, and connections that are too old.
pub async fn tidy(shared: Arc<Shared>, upstream: Arc<Upstream>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = clock::now();
        let gone = shared.tables().servers.expire(now);
        for change in &gone {
            log::info!("an entry did not come back after the outage: {change:?}");
        }
        if !gone.is_empty() {
            shared.announce();
        }
        upstream.tidy(|id| {
            let tables = shared.tables();
            tables.servers.get(id).is_some()
        });
    }
}
