//! Whether one front knows all that another one knows of the store.
//!
//! A front that passes a request on asks another one to decide: which service it goes to, whether a
//! server may still be used. Each of these decisions rests on what is known of the store. A front that
//! knows less would decide by facts that the first one knows to be outdated, and break a bound that
//! its caller's front is held to. So the last change of each kind of object that the first front knows
//! goes with the request, and the other one refuses it if it does not know as much.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use compact_str::CompactString;

use super::StorePosition;
use crate::Error;
use crate::id::Era;
use crate::id::Revision;

/// How far a front knows the history of one kind of object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownHistory {
    /// The position up to which it knows all changes.
    pub position: StorePosition,
    /// The last change that it knows.
    pub changed: StorePosition,
}

/// How far a front knows the history of all kinds of objects.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownHistories(BTreeMap<CompactString, KnownHistory>);

impl KnownHistories {
    /// Records how far the history of a kind is known; not at all by default.
    pub fn record(&mut self, kind: &str, known: KnownHistory) {
        self.0.insert(kind.into(), known);
    }

    /// Returns the last change of each kind.
    #[must_use]
    pub fn latest_changes(&self) -> LatestChanges {
        let changed = self.0.iter();
        LatestChanges(
            changed
                .map(|(kind, known)| (kind.clone(), known.changed))
                .collect(),
        )
    }

    /// Returns whether all changes up to `changes` are known. Kinds that only the other front keeps up
    /// with don't count.
    #[must_use]
    pub fn include(&self, changes: &LatestChanges) -> bool {
        let mut both = changes
            .0
            .iter()
            .filter_map(|(kind, changed)| Some((self.0.get(kind)?, changed)));
        both.all(|(known, changed)| known.position >= *changed)
    }
}

/// The last change of each kind of object that a front knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LatestChanges(BTreeMap<CompactString, StorePosition>);

/// Written as `KIND=ERA/REVISION`, separated by commas.
impl Display for LatestChanges {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (number, (kind, changed)) in self.0.iter().enumerate() {
            if number > 0 {
                f.write_str(",")?;
            }
            write!(f, "{kind}={}/{}", changed.era.0, changed.revision.0)?;
        }
        Ok(())
    }
}

impl FromStr for LatestChanges {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let one = |part: &str| {
            let (kind, position) = part.split_once('=')?;
            let (era, revision) = position.split_once('/')?;
            let position = StorePosition {
                era: Era(era.parse().ok()?),
                revision: Revision(revision.parse().ok()?),
            };
            Some((CompactString::from(kind), position))
        };
        let parts = text.split(',').filter(|part| !part.is_empty());
        let changes: Option<BTreeMap<_, _>> = parts.map(one).collect();
        changes
            .map(Self)
            .ok_or_else(|| Error::syntax("LatestChanges", text, "KIND=ERA/REVISION,.."))
    }
}
