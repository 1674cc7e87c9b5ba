//! Applies the platform's server entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::servers::Freshness;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::ServerChange;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_store::port::Object;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;

use super::handler::ChangeHandler;
use super::handler::Snapshot;
use crate::clock;
use crate::port::StoreSchema;
use crate::server_changes;
use crate::state::Shared;
use crate::upstream::Upstream;

/// The delay after a change of servers during the first start of the whole system.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// The duration of the first start of the whole system.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Applies server entries to the table of servers, and discards what belongs to former ones.
#[derive(Debug)]
pub(super) struct ServerHandler {
    shared: Arc<Shared>,
    schema: Arc<dyn StoreSchema>,
    upstream: Arc<Upstream>,
    /// The undecodable entries that were logged already.
    unreadable: BTreeSet<CompactString>,
    /// The servers whose retention was logged already.
    retained: BTreeSet<ServerId>,
    started: Time,
    /// The version of the last entry of each server that said how long the server is cold. The time
    /// counts once for each entry, also if the entry is read again.
    cold_entries: BTreeMap<ServerId, Version>,
}

impl ServerHandler {
    pub(super) fn new(
        shared: Arc<Shared>,
        schema: Arc<dyn StoreSchema>,
        upstream: Arc<Upstream>,
    ) -> Self {
        Self {
            shared,
            schema,
            upstream,
            unreadable: BTreeSet::new(),
            retained: BTreeSet::new(),
            started: clock::now(),
            cold_entries: BTreeMap::new(),
        }
    }

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

    fn publish(&mut self, changes: &[ServerChange], revision: Revision) {
        for change in changes {
            emit_change(change, revision);
        }
        self.log_retained(revision);
        server_changes::follow(&self.shared, &self.upstream, changes);
    }

    /// Emits an event for each server that is retained from now on.
    fn log_retained(&mut self, revision: Revision) {
        let retained: BTreeSet<ServerId> =
            self.shared.tables().servers.retained().cloned().collect();
        for server in retained.difference(&self.retained) {
            emit_server_change(server, "retained", revision);
        }
        self.retained = retained;
    }

    /// Logs an entry that its server has replaced.
    fn note_stale(&self, entry: &Server, revision: Revision) {
        let tables = self.shared.tables();
        let label = match tables.servers.freshness(entry) {
            Freshness::Current => return,
            Freshness::Outdated => "outdated",
            Freshness::Former => "former",
        };
        let known_born = tables.servers.get(&entry.id).map(|known| known.born.0);
        drop(tables);
        self.shared.metrics.stale_entries.inc();
        emit(EventKind::ServerEntryStale {
            server: entry.id.to_compact_string(),
            entry: label.into(),
            born: entry.born.0,
            known_born,
            revision: revision.0,
        });
    }

    /// Records which servers are cold by their entries.
    fn note_cold(&mut self, objects: &[Object]) {
        for object in objects.iter().filter(|object| object.version.0 > 0) {
            let Ok(server) = self.schema.decode_server(object) else {
                continue;
            };
            if self.shared.tables().servers.freshness(&server) != Freshness::Current {
                continue;
            }
            let previous = self.cold_entries.insert(server.id.clone(), object.version);
            if previous == Some(object.version) || server.cold_for.is_zero() {
                continue;
            }
            let mut tables = self.shared.tables();
            self.shared.note_cold(
                &mut tables,
                &server.id,
                server.born,
                server.cold_for,
                "entry",
            );
        }
        let tables = self.shared.tables();
        self.cold_entries
            .retain(|id, _| tables.servers.get(id).is_some());
    }
}

impl ChangeHandler for ServerHandler {
    fn on_snapshot(&mut self, snapshot: &Snapshot<'_>) {
        let listed: Vec<Server> = snapshot
            .objects
            .iter()
            .filter_map(|object| self.decode_server(object))
            .collect();
        for entry in &listed {
            self.note_stale(entry, snapshot.revision);
        }
        let now = clock::now();
        let complete_at = snapshot.complete_at;
        let applied = {
            let mut tables = self.shared.tables();
            tables.servers_read = true;
            if snapshot.restored {
                tables
                    .servers
                    .replace_all_restored(listed, now, complete_at)
            } else {
                tables.servers.replace_all(listed, now, complete_at)
            }
        };
        self.publish(&applied, snapshot.revision);
        self.note_cold(snapshot.objects);
    }

    fn on_changes(&mut self, objects: &[Object], revision: Revision, complete_at: Time) {
        let mut applied = Vec::new();
        let now = clock::now();
        self.shared
            .tables()
            .servers
            .mark_store_reachable(now, complete_at);
        for object in objects {
            let decoded = if object.version.0 == 0 {
                None
            } else {
                self.decode_server(object)
            };
            if let Some(entry) = &decoded {
                self.note_stale(entry, revision);
            }
            let mut tables = self.shared.tables();
            match decoded {
                Some(server) => applied.extend(tables.servers.upsert(server, now, complete_at)),
                // An entry that can't be decoded counts as removed.
                None => {
                    if let Ok(id) = ServerId::try_from(object.short_name()) {
                        applied.extend(tables.servers.handle_missing(&id, now));
                    }
                }
            }
        }
        self.publish(&applied, revision);
        self.note_cold(objects);
    }

    fn on_failure(&mut self, sent: Time) {
        self.shared.tables().servers.mark_store_unreachable(sent);
    }

    fn on_confirmed(&mut self, confirmed: Time, complete_at: Time) {
        let mut tables = self.shared.tables();
        tables.servers_confirmed = Some(confirmed);
        tables.servers.confirm(confirmed, clock::now(), complete_at);
    }

    fn is_settled(&self) -> bool {
        self.shared.tables().servers.retained().next().is_none()
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

fn emit_change(change: &ServerChange, revision: Revision) {
    match change {
        ServerChange::Added(server) => emit_server_change(server, "added", revision),
        ServerChange::Draining(server) => emit_server_change(server, "draining", revision),
        ServerChange::Removed(server) => emit_server_change(server, "removed", revision),
    }
}

fn emit_server_change(server: &ServerId, change: &str, revision: Revision) {
    emit(EventKind::ServerChanged {
        server: server.to_compact_string(),
        change: change.into(),
        revision: revision.0,
    });
}
