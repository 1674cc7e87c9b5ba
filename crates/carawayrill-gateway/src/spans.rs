//! Which server holds which keys, as fronts use it and as the granter tells it.

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::spans::Span;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;

/// A span as a front uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanEntry {
    /// The keys.
    pub range: KeyRange,
    /// Their holder.
    pub server: ServerId,
    /// The fence of its grant.
    pub fence: Fence,
    /// Whether no server may be asked for these keys at present.
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

/// A point in what one granter tells of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TablePosition {
    /// Tells granters apart: the version of the lease with which its work began.
    pub granter: Version,
    /// The count of its changes.
    pub change: u64,
}

/// The spans of one service.
#[derive(Debug, Clone, Default)]
pub struct SpanTable {
    /// The version of the stored record that they come from.
    pub version: Version,
    /// The spans, in order of keys.
    pub spans: Vec<SpanEntry>,
    /// Up to where a granter has told them, if they come from one.
    pub position: Option<TablePosition>,
}

impl SpanTable {
    /// Makes the table of a stored record.
    #[must_use]
    pub fn from_stored(version: Version, spans: &[Span]) -> Self {
        Self {
            version,
            spans: spans.iter().map(SpanEntry::from).collect(),
            position: None,
        }
    }

    /// Puts spans into the table; each replaces whatever was known of its keys.
    ///
    /// What is left of a span that is replaced in part keeps its holder: the rest of the change
    /// replaces it too, or it was cut by its granter.
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

    /// Removes the keys of a range from all spans.
    fn remove_range(&mut self, range: KeyRange) {
        let first = self
            .spans
            .partition_point(|known| known.range.last < range.first);
        let end = self
            .spans
            .partition_point(|known| known.range.first <= range.last);
        let cut: Vec<SpanEntry> = self.spans.drain(first..end.max(first)).collect();
        let rest = cut.iter().flat_map(|known| {
            let left = known.range.without(range).into_iter().flatten();
            left.map(|range| SpanEntry {
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

/// What a granter tells of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanDelta {
    /// The version of the stored record.
    pub version: Version,
    /// Up to where this tells.
    pub position: TablePosition,
    /// The spans that have changed.
    pub spans: Vec<SpanEntry>,
}

/// All spans of one service as its granter tells them, each with the change that brought it.
///
/// A front that comes back after a short silence is told only what it has missed: with many fronts
/// and spans, whole tables would fill the granter's link and make further fronts miss updates.
#[derive(Debug, Clone)]
pub struct PublishedTable {
    version: Version,
    position: TablePosition,
    spans: Vec<(u64, SpanEntry)>,
}

impl PublishedTable {
    /// Makes the table of `spans` at a change; `before` is the table of the change previous.
    #[must_use]
    pub fn new(
        version: Version,
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

    /// Returns up to where this tells.
    #[must_use]
    pub fn position(&self) -> TablePosition {
        self.position
    }

    /// Returns what a front has to be told that was told up to `known`; nothing if that is all.
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
