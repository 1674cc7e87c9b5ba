//! What this front knows of one kind of object.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::direct::knowledge::ChangeLog;
use carawayrill_core::direct::knowledge::Delta;
use carawayrill_core::direct::knowledge::Freshness;
use carawayrill_core::direct::knowledge::KnownHistory;
use carawayrill_core::direct::knowledge::Limits;
use carawayrill_core::direct::knowledge::NextRead;
use carawayrill_core::direct::knowledge::StorePosition;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_telemetry::emit;
use compact_str::CompactString;
use rand::RngExt;

use super::RelayedChanges;
use super::Source;
use super::handler::ChangeHandler;
use super::handler::Snapshot;
use crate::clock;
use crate::state::Shared;

/// What this front knows of one kind of object.
#[derive(Debug)]
pub struct KnownKind {
    shared: Arc<Shared>,
    kind: &'static str,
    /// The time within which a change has to be known.
    known_within: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    handler: Box<dyn ChangeHandler>,
    log: Option<ChangeLog<Object>>,
    /// All objects.
    objects: BTreeMap<CompactString, Object>,
    /// The last change of an object that is known.
    changed: StorePosition,
    freshness: Freshness,
    source: Option<Source>,
    /// Since when the knowledge has been too old.
    stale_since: Option<Time>,
}

impl KnownKind {
    /// Creates the knowledge of a kind of which nothing was read.
    pub(super) fn new(
        shared: Arc<Shared>,
        kind: &'static str,
        handler: Box<dyn ChangeHandler>,
        known_within: Duration,
    ) -> Self {
        shared
            .known
            .send_modify(|histories| histories.record(kind, KnownHistory::default()));
        Self {
            shared,
            kind,
            known_within,
            state: Mutex::new(State {
                handler,
                log: None,
                objects: BTreeMap::new(),
                changed: StorePosition::default(),
                freshness: Freshness::default(),
                source: None,
                stale_since: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the kind.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        self.kind
    }

    /// Returns the position up to which this front knows the store's history; `None` before the
    /// first read.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.state().log.as_ref().map(ChangeLog::position)
    }

    /// Brings the metrics of this kind up to date, and emits an event when the knowledge has become
    /// too old, or is recent again.
    pub fn update_metrics(&self, now: Time) {
        let (age, source) = {
            let mut state = self.state();
            self.note_staleness(&mut state, now);
            (state.freshness.age(now), state.source)
        };
        let metrics = &self.shared.metrics;
        let age = age.unwrap_or_default().as_secs_f64();
        let from_store = f64::from(u8::from(source == Some(Source::Store)));
        metrics
            .knowledge_age
            .with_label_values(&[self.kind])
            .set(age);
        metrics
            .knowledge_from_store
            .with_label_values(&[self.kind])
            .set(from_store);
    }

    fn note_staleness(&self, state: &mut State, now: Time) {
        let Some(age) = state.freshness.age(now) else {
            return;
        };
        let kind = CompactString::from(self.kind);
        match (age > self.known_within, state.stale_since) {
            (true, None) => {
                state.stale_since = Some(now);
                let age_ms = millis(age);
                emit(EventKind::KnowledgeStale { kind, age_ms });
            }
            (false, Some(since)) => {
                state.stale_since = None;
                let after_ms = millis(now.since(since));
                emit(EventKind::KnowledgeCurrent { kind, after_ms });
            }
            _ => {}
        }
    }

    /// Returns the delay between a change and the next watch of this front.
    #[must_use]
    pub fn batch_delay(&self) -> Duration {
        self.state().handler.batch_delay()
    }

    /// Returns how the knowledge is kept current from now on.
    #[must_use]
    pub fn next_read(&self, now: Time, is_granter: bool) -> NextRead {
        let limits = Limits::for_drain(self.known_within);
        let spread = self.shared.tables().rng.random_range(0.0..=1.0);
        let state = self.state();
        state.freshness.next_read(now, is_granter, &limits, spread)
    }

    /// Applies the complete list of objects, which was asked for at `sent`.
    pub fn apply_snapshot(&self, changes: &Changes, sent: Time) {
        let position = StorePosition {
            era: changes.era,
            revision: changes.revision,
        };
        self.apply_complete(position, &changes.objects, Source::Store, sent);
    }

    /// Applies the complete list of objects at `position`, which was complete at `confirmed`.
    fn apply_complete(
        &self,
        position: StorePosition,
        objects: &[Object],
        source: Source,
        confirmed: Time,
    ) {
        let mut state = self.state();
        let known = state.log.as_ref().map(ChangeLog::position);
        if known.is_some_and(|known| position < known) {
            log::info!(
                "{}: the list at {position} is older than what is known",
                self.kind
            );
            return;
        }
        let restored = known.is_some_and(|known| known.era != position.era);
        if restored {
            emit(EventKind::StoreRestored {
                kind: self.kind.into(),
                era: position.era.0,
                revision: position.revision.0,
            });
        }
        state.append_snapshot(position, objects);
        let complete_at = state.confirm(confirmed);
        self.note_source(&mut state, source);
        let snapshot = Snapshot {
            objects,
            revision: position.revision,
            restored,
            complete_at,
        };
        state.handler.on_snapshot(&snapshot);
        self.publish(&state);
    }

    /// Applies the changes after `after` that a watch of this front has returned. The knowledge was
    /// complete at `confirmed`. Returns whether the changes continue from what is known.
    pub fn apply_watched(&self, after: StorePosition, changes: Changes, confirmed: Time) -> bool {
        let delta = Delta {
            after,
            position: StorePosition {
                era: changes.era,
                revision: changes.revision,
            },
            objects: latest_of_each(changes.objects),
        };
        self.apply(&delta, Source::Store, confirmed)
    }

    /// Applies changes that the granter has relayed. The knowledge was complete at `confirmed`.
    /// Returns whether the changes continue from what is known.
    pub fn apply_relayed(&self, relayed: &RelayedChanges, confirmed: Time) -> bool {
        let now = clock::now();
        if !relayed.retention.is_zero() && self.is_overdue(now) {
            let until = now + relayed.retention;
            self.shared.tables().servers.retain_missing(until);
        }
        if relayed.is_complete {
            let Delta {
                position, objects, ..
            } = &relayed.delta;
            self.apply_complete(*position, objects, Source::Relay, confirmed);
            return true;
        }
        self.apply(&relayed.delta, Source::Relay, confirmed)
    }

    /// Returns whether this front could not ask the store either, so that there was an outage. While
    /// only the granter is cut off from the store, the other fronts ask it in time.
    fn is_overdue(&self, now: Time) -> bool {
        let limits = Limits::for_drain(self.known_within);
        let age = self.state().freshness.age(now);
        age.is_some_and(|age| age >= self.shared.cfg.min_lapse && limits.is_overdue(age))
    }

    fn apply(&self, delta: &Delta<Object>, source: Source, confirmed: Time) -> bool {
        let mut state = self.state();
        let Some(known) = state.log.as_ref().map(ChangeLog::position) else {
            return false;
        };
        let continues = delta.position.era == known.era && delta.after <= known;
        if !continues {
            return false;
        }
        if delta.position < known {
            return true;
        }
        let complete_at = state.confirm(confirmed);
        self.note_source(&mut state, source);
        let changed: Vec<Object> = delta
            .objects
            .iter()
            .filter(|object| state.is_changed(object))
            .cloned()
            .collect();
        state.append(delta.position, &changed);
        if source == Source::Store || !changed.is_empty() {
            state
                .handler
                .on_changes(&changed, delta.position.revision, complete_at);
        }
        self.publish(&state);
        true
    }

    /// Publishes how far the history is known, once the tables hold what is known.
    fn publish(&self, state: &State) {
        let Some(position) = state.log.as_ref().map(ChangeLog::position) else {
            return;
        };
        if !state.handler.is_settled() {
            return;
        }
        let known = KnownHistory {
            position,
            changed: state.changed,
        };
        self.shared
            .known
            .send_modify(|histories| histories.record(self.kind, known));
    }

    /// Emits an event if changes come from another source than before.
    fn note_source(&self, state: &mut State, source: Source) {
        if state.source.replace(source) == Some(source) {
            return;
        }
        let age = state.freshness.age(clock::now()).unwrap_or_default();
        emit(EventKind::KnowledgeSource {
            kind: self.kind.into(),
            source: source.name().into(),
            age_ms: millis(age),
        });
    }

    /// Records that a call to the store that was sent at `sent` has failed.
    pub fn record_failure(&self, sent: Time) {
        self.state().handler.on_failure(sent);
    }

    /// Returns the changes after `known` for another front, or `None` if they don't continue from
    /// there.
    #[must_use]
    pub fn relayed_since(&self, known: StorePosition, now: Time) -> Option<RelayedChanges> {
        let state = self.state();
        let delta = state.log.as_ref()?.since(known)?;
        self.relay(&state, delta, false, now)
    }

    /// Returns the size of all objects, in bytes.
    #[must_use]
    pub fn complete_bytes(&self) -> usize {
        let state = self.state();
        let objects = state.objects.values();
        objects
            .map(|object| object.name.len() + object.value.len())
            .sum()
    }

    /// Returns all objects for another front that lacks changes which can't be relayed one by one.
    #[must_use]
    pub fn relayed_complete(&self, now: Time) -> Option<RelayedChanges> {
        let state = self.state();
        let position = state.log.as_ref()?.position();
        let delta = Delta {
            after: position,
            position,
            objects: state.objects.values().cloned().collect(),
        };
        self.relay(&state, delta, true, now)
    }

    fn relay(
        &self,
        state: &State,
        delta: Delta<Object>,
        is_complete: bool,
        now: Time,
    ) -> Option<RelayedChanges> {
        Some(RelayedChanges {
            delta,
            age: state.freshness.age(now)?,
            retention: self.shared.tables().servers.retention_left(now),
            is_complete,
        })
    }

    /// Returns the time after which a front that lacks changes has asked the store in vain.
    #[must_use]
    pub fn overdue_age(&self) -> Duration {
        Limits::for_drain(self.known_within).overdue_age()
    }
}

impl State {
    /// Records that the knowledge was complete at `at`. Returns when it was last known to be complete
    /// before.
    fn confirm(&mut self, at: Time) -> Time {
        let complete_at = self.freshness.confirmed().unwrap_or(at);
        self.freshness.confirm(at);
        self.handler.on_confirmed(at.max(complete_at), complete_at);
        complete_at
    }

    /// Returns whether an object is in another version than known.
    fn is_changed(&self, object: &Object) -> bool {
        let known = self.objects.get(&object.name);
        known.is_none_or(|known| known.version != object.version)
    }

    /// Adds the differences between what is known and a complete list to the log.
    fn append_snapshot(&mut self, position: StorePosition, objects: &[Object]) {
        let listed: BTreeMap<CompactString, Object> = objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        let mut changed: Vec<Object> = objects
            .iter()
            .filter(|object| self.is_changed(object))
            .cloned()
            .collect();
        let removed = self
            .objects
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .map(|name| Object {
                name: name.clone(),
                version: Version(0),
                value: bytes::Bytes::new(),
            });
        changed.extend(removed);
        self.objects = listed;
        self.note_changes(position, &changed);
        let named = changed.into_iter().map(|one| (one.name.clone(), one));
        match &mut self.log {
            Some(log) => log.append(position, named),
            None => self.log = Some(ChangeLog::new(position)),
        }
    }

    /// Advances the last change that is known. An object has the revision of its last change as its
    /// version; when one was removed is only known to be before `position`.
    fn note_changes(&mut self, position: StorePosition, changed: &[Object]) {
        let revisions = changed.iter().map(|object| match object.version {
            Version(0) => position.revision,
            Version(revision) => Revision(revision.min(position.revision.0)),
        });
        let latest = revisions.max().map(|revision| StorePosition {
            era: position.era,
            revision,
        });
        self.changed = self.changed.max(latest.unwrap_or_default());
    }

    fn append(&mut self, position: StorePosition, changed: &[Object]) {
        self.note_changes(position, changed);
        for object in changed {
            if object.version.0 == 0 {
                self.objects.remove(&object.name);
            } else {
                self.objects.insert(object.name.clone(), object.clone());
            }
        }
        if let Some(log) = &mut self.log {
            let named = changed.iter().map(|one| (one.name.clone(), one.clone()));
            log.append(position, named);
        }
    }
}

/// Returns only the last state of each object.
fn latest_of_each(objects: Vec<Object>) -> Vec<Object> {
    let latest: BTreeMap<CompactString, Object> = objects
        .into_iter()
        .map(|object| (object.name.clone(), object))
        .collect();
    latest.into_values().collect()
}
