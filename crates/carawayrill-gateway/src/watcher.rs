//! Keeps the manifest, the server list and the evacuations current.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::knowledge::NextRead;
use carawayrill_core::direct::knowledge::confirmed_time;
use carawayrill_core::direct::knowledge::spread_delay;
use carawayrill_core::direct::servers::ServerChange;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use compact_str::format_compact;
use rand::RngExt;

use crate::clock;
use crate::knowledge::Knowledge;
use crate::knowledge::KnownKind;
use crate::lease_manager::LeaseManager;
use crate::server_changes;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The delay of a granter after a change before the next watch.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(120);
/// The initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// The maximum backoff after successive failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// The maximum backoff of the weaker fronts of a large fleet.
const LONGER_MAX_BACKOFF: Duration = Duration::from_millis(2_400);
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
        let max_backoff = if shared.waits_longer() {
            LONGER_MAX_BACKOFF
        } else {
            MAX_BACKOFF
        };
        let backoff = (MIN_BACKOFF * 2_u32.pow(doublings)).min(max_backoff);
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

/// Keeps one kind of object current. Never returns.
///
/// While the granter relays changes, this front makes no calls. The granter itself, and a front that
/// hears nothing from it, watches with short waits, so that each response without changes confirms
/// what it knows.
pub async fn watch_kind(
    lease_manager: Arc<LeaseManager>,
    store: Arc<dyn ObjectStore>,
    known: Arc<KnownKind>,
    name: &'static str,
) {
    let mut dependency = Dependency::new(name);
    let mut has_failed = false;
    loop {
        let is_granter = lease_manager.granter_runtime().is_some();
        let wait = match known.next_read(clock::now(), is_granter) {
            NextRead::NotBefore(delay) => {
                tokio::time::sleep(delay).await;
                continue;
            }
            // A store that neither answers nor closes would hold the watch for its whole wait.
            NextRead::Watch(_) if has_failed => Duration::ZERO,
            NextRead::Watch(wait) => wait,
        };
        let result = read_changes(&*store, &known, wait).await;
        has_failed = result.is_err();
        match result {
            Ok(ReadResult::Changed) => {
                dependency.record_success();
                let delay = if is_granter {
                    RELAY_BATCH_DELAY
                } else {
                    let spread = lease_manager.shared().tables().rng.random_range(0.0..=1.0);
                    spread_delay(known.batch_delay(), spread)
                };
                tokio::time::sleep(delay).await;
            }
            Ok(ReadResult::Unchanged) => dependency.record_success(),
            Err(FailedRead { sent, err }) => {
                // The watch may have waited for a long time before its connection broke.
                known.record_failure(sent.max(clock::now() - BREAK_DETECTION_TIME));
                let wait = dependency.record_failure(lease_manager.shared(), &err);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// The result of a read.
enum ReadResult {
    Changed,
    Unchanged,
}

/// A read that failed.
struct FailedRead {
    sent: Time,
    err: Error,
}

/// Reads the changes after what is known, or the whole list if they can't be had.
async fn read_changes(
    store: &dyn ObjectStore,
    known: &KnownKind,
    wait: Duration,
) -> Result<ReadResult, FailedRead> {
    let kind = known.kind();
    let sent = clock::now();
    let Some(position) = known.position() else {
        return read_list(store, known).await;
    };
    match store.watch(kind, position.revision, wait).await {
        Ok(changes) if changes.era != position.era => {
            log::warn!(
                "{kind}: the store is in era {}, not {}",
                changes.era,
                position.era
            );
            read_list(store, known).await
        }
        Ok(changes) => {
            let has_changes = !changes.objects.is_empty();
            let confirmed = confirmed_time(sent, clock::now(), wait, has_changes);
            known.apply_watched(position, changes, confirmed);
            Ok(if has_changes {
                ReadResult::Changed
            } else {
                ReadResult::Unchanged
            })
        }
        Err(err) if err.is_history_lost() => {
            log::info!("{kind}: the watch history is lost; reading the whole list");
            read_list(store, known).await
        }
        Err(err) => Err(FailedRead { sent, err }),
    }
}

async fn read_list(store: &dyn ObjectStore, known: &KnownKind) -> Result<ReadResult, FailedRead> {
    let sent = clock::now();
    let listed = store
        .watch(known.kind(), Revision(0), Duration::ZERO)
        .await
        .map_err(|err| FailedRead { sent, err })?;
    known.apply_snapshot(&listed, sent);
    Ok(ReadResult::Unchanged)
}

/// Removes servers that did not reappear after a store outage, and expired idle connections. Never
/// returns.
pub async fn run_cleanup(shared: Arc<Shared>, knowledge: Arc<Knowledge>, upstream: Arc<Upstream>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = clock::now();
        for known in knowledge.kinds() {
            known.update_metrics(now);
        }
        shared.update_evacuation_metrics();
        let (limits, changes) = {
            let mut tables = shared.tables();
            let fronts = tables.fronts.get();
            let limits = tables.limits.refresh(fronts, now);
            tables.cold.expire(now);
            tables.crashes.expire(now);
            let shared_services = tables.routes.shared_services();
            let is_shared = |service: &_| !shared_services.classes(service).is_empty();
            shared.waiting.retain_services(is_shared);
            (limits, tables.servers.expire(now))
        };
        for (server, limit) in &limits {
            shared.emit_limit(server, *limit, "warm");
        }
        log_changes(&changes);
        server_changes::follow(&shared, &upstream, &changes);
        upstream.evict_idle(|id| {
            let tables = shared.tables();
            tables.servers.get(id).is_some()
        });
    }
}

/// Logs the servers whose state has changed because time has passed.
fn log_changes(changes: &[ServerChange]) {
    for change in changes {
        match change {
            ServerChange::Removed(id) => {
                log::info!("the entry of server {id} did not reappear after the store outage");
            }
            ServerChange::Added(id) | ServerChange::Draining(id) => {
                log::warn!("server {id} is used, since an entry that seemed stale is still listed");
            }
        }
    }
}
