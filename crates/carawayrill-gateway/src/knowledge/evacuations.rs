//! Applies the evacuations of data centres.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::evacuation::EvacuationChange;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Revision;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::port::Object;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use compact_str::ToCompactString;

use super::handler::ChangeHandler;
use super::handler::Snapshot;
use crate::clock;
use crate::state::Shared;

/// The delay after a change of evacuations before the next watch. An evacuation of a region is a
/// handful of objects that are written one after the other.
const EVACUATION_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Applies evacuations to the table of evacuated data centres. The content of the objects is not
/// used.
#[derive(Debug)]
pub(super) struct EvacuationHandler {
    shared: Arc<Shared>,
    /// The listed names that are not data centres of this deployment, which were logged already.
    unknown: BTreeSet<CompactString>,
}

impl EvacuationHandler {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            unknown: BTreeSet::new(),
        }
    }

    /// Returns the data centre that an object names, or `None` if there is no such data centre.
    fn data_centre(&mut self, object: &Object) -> Option<DataCentreId> {
        let cfg = &self.shared.cfg;
        let named = DataCentreId::try_from(object.short_name()).ok();
        let known = named.filter(|name| *name == cfg.data_centre || cfg.regions.contains_key(name));
        if known.is_none() && self.unknown.insert(object.name.clone()) {
            self.shared.metrics.bad_entries.inc();
            log::warn!(
                "ignored the evacuation of an unknown data centre: {}",
                object.name
            );
        }
        known
    }

    fn publish(&self, changes: &[EvacuationChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            emit_change(change);
        }
        self.shared.update_evacuation_metrics();
        self.shared.notify_changed();
    }
}

impl ChangeHandler for EvacuationHandler {
    fn on_snapshot(&mut self, snapshot: &Snapshot<'_>) {
        self.unknown
            .retain(|name| snapshot.objects.iter().any(|object| object.name == *name));
        let listed = snapshot
            .objects
            .iter()
            .filter_map(|object| self.data_centre(object))
            .collect();
        let changes = self.shared.tables().evacuations.replace_all(
            &listed,
            snapshot.complete_at,
            clock::now(),
        );
        self.publish(&changes);
    }

    fn on_changes(&mut self, objects: &[Object], _revision: Revision, complete_at: Time) {
        let mut changes = Vec::new();
        let now = clock::now();
        for object in objects {
            let is_removed = object.version.0 == 0;
            if is_removed && self.unknown.remove(&object.name) {
                continue;
            }
            let Some(data_centre) = self.data_centre(object) else {
                continue;
            };
            let evacuations = &mut self.shared.tables().evacuations;
            changes.extend(if is_removed {
                evacuations.end(&data_centre, now)
            } else {
                evacuations.begin(&data_centre, complete_at, now)
            });
        }
        self.publish(&changes);
    }

    fn on_failure(&mut self, _sent: Time) {}

    fn on_confirmed(&mut self, _confirmed: Time, _complete_at: Time) {}

    fn batch_delay(&self) -> Duration {
        EVACUATION_BATCH_DELAY
    }
}

fn emit_change(change: &EvacuationChange) {
    let (data_centre, began, age) = match change {
        EvacuationChange::Began(data_centre, age) => (data_centre, true, age),
        EvacuationChange::Ended(data_centre, after) => (data_centre, false, after),
    };
    emit(EventKind::EvacuationChanged {
        data_centre: data_centre.to_compact_string(),
        began,
        age_ms: millis(*age),
    });
}
