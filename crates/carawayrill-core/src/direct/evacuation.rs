//! Decides whether a front may send requests to a data centre that is being evacuated.
//!
//! An operator evacuates a data centre that is about to fail or to be switched off. From a bound
//! after the store's acknowledgement no request may reach a server there. It is designed for
//! thousands of requests a second and hundreds of fronts that learn of the evacuation at different
//! times, also while the granter or the store is lost.
//!
//! New requests of unkeyed services leave as soon as the front knows. A key can be served only by its
//! owner until a handover, so its requests may follow the owner for a share of the bound. A front
//! doesn't know when the evacuation was requested, only that it was after the last time at which its
//! list was complete, so the share counts from then. A front whose first list contains the evacuation
//! never knew of its absence, and sends nothing there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::DataCentreId;
use crate::time::Time;

/// The share of the bound for which requests may follow the owners of their keys. The rest is for
/// the sends that have begun by then and have not reached the server.
const OWNER_SHARE: f64 = 0.6;
/// The share of the bound within which a front has to ask the store itself.
const KNOWN_SHARE: f64 = 0.6;
/// The least and the longest retry-after time of a refusal. Keys need about that time to leave, and
/// an evacuation to be taken back; the spread keeps callers from returning together.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(750);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// The beginning or the end of an evacuation at this front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It began. At most this time has passed since it was requested, or since the first read if the
    /// front has not read the list before.
    Began(DataCentreId, Duration),
    /// It ended, after it was in force at this front for this time.
    Ended(DataCentreId, Duration),
}

/// One evacuation, as this front knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Evacuation {
    learned: Time,
    /// The end of the time for which requests may follow the owners of their keys.
    owners_until: Time,
}

/// The data centres that are being evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The time from the store's acknowledgement by which no request reaches a server; `None` if
    /// the deployment has no evacuations.
    bound: Option<Duration>,
    is_listed: bool,
    evacuated: BTreeMap<DataCentreId, Evacuation>,
}

/// Returns the time within which a front has to learn of an evacuation with this bound, even if the
/// granter is lost.
#[must_use]
pub fn known_within(bound: Duration) -> Duration {
    bound.mul_f64(KNOWN_SHARE)
}

/// Returns the retry-after time of a request that is refused for an evacuation. `spread` is between 0
/// and 1.
#[must_use]
pub fn retry_after(spread: f64) -> Duration {
    let range = MAX_RETRY_AFTER.saturating_sub(MIN_RETRY_AFTER);
    MIN_RETRY_AFTER + range.mul_f64(spread.clamp(0.0, 1.0))
}

impl Evacuations {
    /// Creates the table of a front that has read no list. Without a `bound` there is none to read.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            is_listed: false,
            evacuated: BTreeMap::new(),
        }
    }

    /// Returns whether the list was read, or there is none. Until then nothing may be sent.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_listed || self.bound.is_none()
    }

    /// Replaces all evacuations by those of a complete list. Those that are new were not requested
    /// before `complete_at`, unless this is the first list.
    pub fn replace_all(
        &mut self,
        listed: &BTreeSet<DataCentreId>,
        complete_at: Time,
        now: Time,
    ) -> Vec<EvacuationChange> {
        let ended: Vec<DataCentreId> = self
            .evacuated
            .keys()
            .filter(|known| !listed.contains(*known))
            .cloned()
            .collect();
        let mut changes: Vec<EvacuationChange> = ended
            .iter()
            .filter_map(|data_centre| self.end(data_centre, now))
            .collect();
        let began = listed
            .iter()
            .filter_map(|data_centre| self.begin(data_centre, complete_at, now));
        changes.extend(began.collect::<Vec<_>>());
        self.is_listed = true;
        changes
    }

    /// Records that a data centre is evacuated, which was not requested before `complete_at`.
    pub fn begin(
        &mut self,
        data_centre: &DataCentreId,
        complete_at: Time,
        now: Time,
    ) -> Option<EvacuationChange> {
        if self.evacuated.contains_key(data_centre) {
            return None;
        }
        let owners_until = match self.bound.filter(|_| self.is_listed) {
            Some(bound) => complete_at + bound.mul_f64(OWNER_SHARE),
            None => complete_at,
        };
        let evacuation = Evacuation {
            learned: now,
            owners_until,
        };
        self.evacuated.insert(data_centre.clone(), evacuation);
        let age = now.since(complete_at);
        Some(EvacuationChange::Began(data_centre.clone(), age))
    }

    /// Records that a data centre is not evacuated any more.
    pub fn end(&mut self, data_centre: &DataCentreId, now: Time) -> Option<EvacuationChange> {
        let ended = self.evacuated.remove(data_centre)?;
        let after = now.since(ended.learned);
        Some(EvacuationChange::Ended(data_centre.clone(), after))
    }

    /// Returns whether a request that any server may serve may be sent to a data centre.
    #[must_use]
    pub fn allows(&self, data_centre: &DataCentreId) -> bool {
        self.is_read() && !self.evacuated.contains_key(data_centre)
    }

    /// Returns whether a request for a key may be sent to the owner of the key in a data centre.
    #[must_use]
    pub fn allows_owner(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let evacuation = self.evacuated.get(data_centre);
        self.is_read() && evacuation.is_none_or(|evacuation| now < evacuation.owners_until)
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty()
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Iterates over the evacuated data centres.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated.keys()
    }
}
