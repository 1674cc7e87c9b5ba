//! The routing table of keyed services: which server holds which range of keys.
//!
//! The granter publishes its spans as a [`PublishedTable`]; a front keeps its copy as a
//! [`SpanTable`] and updates it by [`SpanDelta`]s.

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::spans::Span;
use carawayrill_core::id::ServerId;

/// A span in the routing table of a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanEntry {
    /// The range of keys.
    pub range: KeyRange,
    /// The server that holds the keys.
    pub server: ServerId,
    /// The fence of the server's grant.
    pub fence: Fence,
    /// Whether the span is moving, so that no request may be sent to a server for these keys.
    pub moving: bool,
}

impl From<&Span> for SpanEntry {
    fn from(span: &Span) -> Self {
        Self {
            range: span.range,
            server: span.holder.server.clone(),
            fence: span.fence,
            moving: span.former.is_some(),
        }
    }
}

/// A position in the sequence of changes that one granter publishes for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TablePosition {
    /// The granter, identified by the version of the lease with which its work began.
    pub granter: StoredVersion,
    /// The number of changes published by that granter.
    pub change: u64,
}

/// The spans of one service.
#[derive(Debug, Clone, Default)]
pub struct SpanTable {
    /// The version of the stored record that the spans are from.
    pub version: StoredVersion,
    /// The spans, sorted by key.
    pub spans: Vec<SpanEntry>,
    /// The position up to which a granter's changes are applied; `None` if the spans were read from
    /// the store.
    pub position: Option<TablePosition>,
}

impl SpanTable {
    /// Creates the table from a stored record.
    #[must_use]
    pub fn from_stored(version: StoredVersion, spans: &[Span]) -> Self {
        Self {
            version,
            spans: spans.iter().map(SpanEntry::from).collect(),
            position: None,
        }
    }

    /// Applies a delta; each span in it replaces all earlier spans of its keys.
    ///
    /// If a span is replaced in part, the rest of it keeps its holder: either the rest of the delta
    /// replaces it too, or the granter has split the span.
    pub fn apply(&mut self, delta: &SpanDelta) {
        self.version = delta.version;
        self.position = Some(delta.position);
        for span in &delta.spans {
            self.remove_range(span.range);
            let at = self
                .spans
                .partition_point(|known| known.range.first < span.range.first);
            self.spans.insert(at, span.clone());
        }
    }

    /// Removes a range of keys from all spans.
    fn remove_range(&mut self, range: KeyRange) {
        let first = self
            .spans
            .partition_point(|known| known.range.last < range.first);
        let end = self
            .spans
            .partition_point(|known| known.range.first <= range.last);
        let overlapping: Vec<SpanEntry> = self.spans.drain(first..end.max(first)).collect();
        let rest = overlapping.iter().flat_map(|known| {
            let remainder = known.range.without(range).into_iter().flatten();
            remainder.map(|range| SpanEntry {
                range,
                ..known.clone()
            })
        });
        self.spans.splice(first..first, rest);
    }

    /// Returns the span of a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&SpanEntry> {
        let at = self.spans.partition_point(|span| span.range.last < key);
        self.spans.get(at).filter(|span| span.range.contains(key))
    }
}

/// The changes of one service since a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanDelta {
    /// The version of the stored record.
    pub version: StoredVersion,
    /// The position up to which the changes are contained.
    pub position: TablePosition,
    /// The changed spans.
    pub spans: Vec<SpanEntry>,
}

/// All spans of one service as published by the granter, each with the change that last modified
/// it.
///
/// A front that reconnects after a short interruption receives only the changes that it missed.
/// With many fronts and spans, full tables would saturate the granter's network link and make more
/// fronts miss updates.
#[derive(Debug, Clone)]
pub struct PublishedTable {
    version: StoredVersion,
    position: TablePosition,
    spans: Vec<(u64, SpanEntry)>,
}

impl PublishedTable {
    /// Creates the table of `spans` at a position; `previous` is the table of the change before.
    #[must_use]
    pub fn new(
        version: StoredVersion,
        position: TablePosition,
        spans: &[Span],
        previous: Option<&Self>,
    ) -> Self {
        let known = previous.map_or(&[][..], |previous| &previous.spans);
        let changed_at = |span: &SpanEntry| {
            let at = known.partition_point(|(_, known)| known.range.first < span.range.first);
            let same = known.get(at).filter(|(_, known)| known == span);
            same.map_or(position.change, |(change, _)| *change)
        };
        let entries = spans.iter().map(SpanEntry::from);
        Self {
            version,
            position,
            spans: entries.map(|span| (changed_at(&span), span)).collect(),
        }
    }

    /// Returns the position of this table.
    #[must_use]
    pub fn position(&self) -> TablePosition {
        self.position
    }

    /// Returns the changes after position `known`, or all spans if `known` is `None` or of another
    /// granter. Returns `None` if there are no changes.
    #[must_use]
    pub fn delta_since(&self, known: Option<TablePosition>) -> Option<SpanDelta> {
        let known = known.filter(|known| known.granter == self.position.granter);
        let change = known.map(|known| known.change);
        if change == Some(self.position.change) {
            return None;
        }
        let missed = |at: u64| change.is_none_or(|change| at > change);
        let spans = self.spans.iter().filter(|(at, _)| missed(*at));
        Some(SpanDelta {
            version: self.version,
            position: self.position,
            spans: spans.map(|(_, span)| span.clone()).collect(),
        })
    }
}
