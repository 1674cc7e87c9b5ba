//! Puts manifests into force.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::homes::services;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::time::Time;
use carawayrill_store::port::Object;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::format_compact;

use super::handler::ChangeHandler;
use super::handler::Snapshot;
use crate::port::StoreSchema;
use crate::state::Shared;

/// The delay after a change of the manifest before the next watch.
const MANIFEST_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Puts each manifest into force that is newer than the present one.
#[derive(Debug)]
pub(super) struct ManifestHandler {
    shared: Arc<Shared>,
    schema: Arc<dyn StoreSchema>,
}

impl ManifestHandler {
    pub(super) fn new(shared: Arc<Shared>, schema: Arc<dyn StoreSchema>) -> Self {
        Self { shared, schema }
    }

    fn apply(&self, objects: &[Object]) {
        let name = self.schema.manifest_name();
        for object in objects {
            if object.short_name() == name && object.version.0 != 0 {
                self.apply_manifest(object);
            }
        }
    }

    fn apply_manifest(&self, object: &Object) {
        let mut manifest = match self.schema.decode_manifest(object) {
            Ok(manifest) => manifest,
            Err(err) => {
                self.shared.metrics.bad_entries.inc();
                log::error!("ignored an invalid manifest: {err}");
                return;
            }
        };
        let version = manifest.version.0;
        let routes = manifest.routes.len();
        let ignored = self.ignore_invalid(&mut manifest);
        if self.shared.tables().put_manifest(manifest) {
            emit(EventKind::ManifestInForce { version, routes });
            for entry in ignored {
                self.shared.metrics.bad_entries.inc();
                log::warn!("ignored in manifest r{version}: {entry}");
            }
            self.shared.record_homes();
            self.shared.apply_cold_rates();
            self.shared.notify_changed();
        }
    }

    /// Removes entries that refer to what this deployment doesn't have. Returns all entries that are
    /// ignored, with those that could not be decoded.
    fn ignore_invalid(&self, manifest: &mut Manifest) -> Vec<CompactString> {
        let mut ignored = std::mem::take(&mut manifest.ignored);
        let unknown = services::remove_unknown_homes(manifest, &self.shared.cfg.regions);
        ignored.extend(unknown.iter().map(|home| {
            format_compact!(
                "route {}: no data centre has the home region {}",
                home.route,
                home.region
            )
        }));
        ignored
    }
}

impl ChangeHandler for ManifestHandler {
    fn on_snapshot(&mut self, snapshot: &Snapshot<'_>) {
        self.apply(snapshot.objects);
    }

    fn on_changes(&mut self, objects: &[Object], _revision: Revision, _complete_at: Time) {
        self.apply(objects);
    }

    fn on_failure(&mut self, _sent: Time) {}

    fn on_confirmed(&mut self, _confirmed: Time, _complete_at: Time) {}

    fn batch_delay(&self) -> Duration {
        MANIFEST_BATCH_DELAY
    }
}
