//! What the granter relays of the store's changes to one front.

use std::collections::HashMap;
use std::time::Duration;

use carawayrill_core::direct::knowledge::KnownHistories;
use carawayrill_core::direct::knowledge::KnownHistory;
use carawayrill_core::direct::knowledge::LatestChanges;
use carawayrill_core::event::EventKind;
use carawayrill_core::time::Time;
use carawayrill_proto::granter as wire;
use carawayrill_telemetry::emit;
use compact_str::CompactString;

use super::convert::StorePositions;
use super::convert::encode_changes;
use crate::knowledge::Knowledge;
use crate::knowledge::KnownKind;
use crate::knowledge::RelayedChanges;

/// How long a front may lack a change before it is no longer named to others.
const MAX_LAG: Duration = Duration::from_secs(1);

/// The relay to one front.
#[derive(Debug)]
pub(super) struct ChangeRelay {
    front: CompactString,
    /// The positions up to which the front has changes, or was sent them.
    sent: StorePositions,
    /// How far the front says to know the history.
    reported: KnownHistories,
    /// Since when the front lacks changes that can't be relayed one by one, by kind.
    lacking: HashMap<&'static str, Time>,
    /// Since when the front does not know a change.
    behind_since: Option<Time>,
}

impl ChangeRelay {
    /// Creates the relay to a front that has reported `positions`.
    pub(super) fn new(front: CompactString, positions: StorePositions) -> Self {
        let mut relay = Self {
            front,
            sent: StorePositions::new(),
            reported: KnownHistories::default(),
            lacking: HashMap::new(),
            behind_since: None,
        };
        relay.advance(positions);
        relay
    }

    /// Applies the positions that the front has reported. It may have read on in the store by itself.
    pub(super) fn advance(&mut self, positions: StorePositions) {
        for (kind, position) in positions {
            let known = KnownHistory {
                position,
                ..KnownHistory::default()
            };
            self.reported.record(&kind, known);
            let sent = self.sent.entry(kind).or_insert(position);
            *sent = (*sent).max(position);
        }
    }

    /// Returns whether the front has not known one of `changes` for some time, so that it must not
    /// decide for other fronts.
    pub(super) fn is_behind(&mut self, changes: &LatestChanges, now: Time) -> bool {
        let was_behind = self.behind_for(now) > MAX_LAG;
        if self.reported.include(changes) {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        let is_behind = self.behind_for(now) > MAX_LAG;
        if is_behind != was_behind {
            emit(EventKind::FrontBehind {
                front: self.front.clone(),
                is_behind,
            });
        }
        is_behind
    }

    fn behind_for(&self, now: Time) -> Duration {
        let since = self.behind_since;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the changes that the front does not have yet.
    pub(super) fn next_changes(
        &mut self,
        knowledge: &Knowledge,
        now: Time,
    ) -> Vec<wire::KindChanges> {
        let mut kinds = Vec::new();
        for known in knowledge.kinds() {
            let sent = self.sent.get(known.kind());
            let delta = sent.and_then(|sent| known.relayed_since(*sent, now));
            let relayed = if delta.is_some() {
                self.lacking.remove(known.kind());
                delta
            } else {
                self.complete(knowledge, known, now)
            };
            if let Some(relayed) = relayed {
                let kind = known.kind();
                self.sent.insert(kind.to_owned(), relayed.delta.position);
                kinds.push(encode_changes(kind, relayed));
            }
        }
        kinds
    }

    /// Returns all objects of a kind if the front has lacked changes for so long that it must have
    /// asked the store in vain.
    fn complete(
        &mut self,
        knowledge: &Knowledge,
        known: &KnownKind,
        now: Time,
    ) -> Option<RelayedChanges> {
        let since = *self.lacking.entry(known.kind()).or_insert(now);
        if now.since(since) < known.overdue_age() {
            return None;
        }
        // Whatever comes of it, the list is not looked at again for as long: it has thousands of objects.
        self.lacking.insert(known.kind(), now);
        let position = known.position()?;
        let sent = self.sent.get(known.kind());
        let is_newer = sent.is_none_or(|sent| *sent < position);
        if !is_newer || !knowledge.try_relay_complete(known.complete_bytes(), now) {
            return None;
        }
        let complete = known.relayed_complete(now)?;
        emit(EventKind::CompleteRelayed {
            front: self.front.clone(),
            kind: known.kind().into(),
            objects: complete.delta.objects.len(),
        });
        Some(complete)
    }
}
