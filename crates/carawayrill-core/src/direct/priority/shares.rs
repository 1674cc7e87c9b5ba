//! The part of the servers' queues that each class of a shared service may use.
//!
//! It is designed for 30 to 300 fronts that do not see each other. In a burst, each of them sees a
//! few late answers at most, too few to act on alone. The granter sums what they report and derives
//! one share for each service and priority.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::priority::classes::SharedServices;
use crate::id::ServiceId;
use crate::time::Time;
use crate::time::millis;

/// The interval at which the shares change.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// The age from which a share is not used: the static rule applies.
pub const MAX_SHARE_AGE: Duration = Duration::from_secs(2);
/// The half-life of the reported numbers, in milliseconds. Less than the length of a burst, more
/// than the interval between two reports of a front.
const HALF_LIFE_MS: f64 = 500.0;
/// The minimum number of urgent requests from which the share of missed ones is known.
const MIN_OFFERED: f64 = 20.0;
/// The share of urgent requests that miss their objective above which other shares are lowered.
const LOWER_ABOVE: f64 = 0.1;
/// The share of urgent requests that miss their objective below which other shares are raised.
/// Between the two, the shares stay as they are.
const RAISE_BELOW: f64 = 0.05;
/// The factor by which a share is lowered in one interval: to the lowest within 1 s.
const LOWER_FACTOR: f64 = 0.9;
/// The amount by which a share is raised in one interval: from the lowest to the whole in 4 s.
const RAISE_STEP: f64 = 0.02;
/// The lowest share, so that no class starves.
const MIN_SHARE: f64 = 0.7;
/// The maximum number of classes that a front reports and that shares are sent for.
const MAX_CLASSES: usize = 256;

/// How requests of one class have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassCounts {
    /// The requests that were accepted.
    pub offered: f64,
    /// The requests that were refused for lack of capacity.
    pub refused: f64,
    /// The requests that were answered after their objective.
    pub late: f64,
}

impl ClassCounts {
    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.refused += other.refused;
        self.late += other.late;
    }

    fn decay(&mut self, factor: f64) {
        self.offered *= factor;
        self.refused *= factor;
        self.late *= factor;
    }

    /// Returns the share of requests that missed their objective, if enough are known.
    fn missed(&self) -> Option<f64> {
        let missed = (self.refused + self.late) / self.offered;
        (self.offered >= MIN_OFFERED).then_some(missed)
    }
}

/// A service and a priority.
pub type ClassId = (ServiceId, u32);

/// What one front has observed since its last report.
#[derive(Debug, Default)]
pub struct ClassLoads {
    counts: HashMap<ClassId, ClassCounts>,
}

impl ClassLoads {
    /// Adds to the counts of a class. Further classes than a report holds are not counted.
    pub fn record(&mut self, service: &ServiceId, priority: u32, counts: ClassCounts) {
        let class = (service.clone(), priority);
        if self.counts.len() < MAX_CLASSES || self.counts.contains_key(&class) {
            self.counts.entry(class).or_default().add(counts);
        }
    }

    /// Takes what was observed since the last call.
    pub fn take(&mut self) -> Vec<(ClassId, ClassCounts)> {
        let mut taken: Vec<_> = std::mem::take(&mut self.counts).into_iter().collect();
        taken.sort_by(|one, other| one.0.cmp(&other.0));
        taken
    }
}

/// A change of the share of a class.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The class.
    pub class: ClassId,
    /// The new share.
    pub share: f64,
    /// The share of the more urgent requests that missed their objective.
    pub missed: f64,
}

/// The shares as the granter derives them.
#[derive(Debug, Default)]
pub struct ShareTable {
    counts: HashMap<ClassId, ClassCounts>,
    shares: HashMap<ClassId, f64>,
    changed_at: Time,
}

impl ShareTable {
    /// Starts from the shares that a front last had. They are none if it has none that are recent
    /// enough, and the static rule applies until shares are lowered.
    #[must_use]
    pub fn start_from(shares: &[(ClassId, f64)], now: Time) -> Self {
        Self {
            counts: HashMap::new(),
            shares: shares.iter().cloned().collect(),
            changed_at: now,
        }
    }

    /// Adds what a front has observed.
    pub fn add_report(&mut self, report: &[(ClassId, ClassCounts)]) {
        for (class, counts) in report.iter().take(MAX_CLASSES) {
            self.counts.entry(class.clone()).or_default().add(*counts);
        }
    }

    /// Changes the shares, if the interval since the last change has passed, and returns those that
    /// were lowered from the whole, reached the lowest, or are whole again. Classes that are no
    /// longer in the manifest are removed.
    pub fn update(&mut self, services: &SharedServices, now: Time) -> Vec<ShareChange> {
        let elapsed = now.since(self.changed_at);
        if elapsed < CHANGE_INTERVAL {
            return Vec::new();
        }
        self.changed_at = now;
        let is_shared = |class: &ClassId| {
            let mut classes = services.classes(&class.0).iter();
            classes.any(|known| known.priority == class.1)
        };
        self.counts.retain(|class, _| is_shared(class));
        self.shares.retain(|class, _| is_shared(class));
        let factor = (-(millis(elapsed) as f64) / HALF_LIFE_MS).exp2();
        let mut changes = Vec::new();
        for (service, classes) in services.iter() {
            let mut urgent = ClassCounts::default();
            for class in classes {
                let id = (service.clone(), class.priority);
                let counts = self.counts.get(&id).copied().unwrap_or_default();
                changes.extend(self.change_share(&id, &urgent));
                urgent.add(counts);
            }
        }
        for counts in self.counts.values_mut() {
            counts.decay(factor);
        }
        changes
    }

    /// Changes the share of a class by how the requests that are more urgent have ended.
    fn change_share(&mut self, class: &ClassId, urgent: &ClassCounts) -> Option<ShareChange> {
        let missed = urgent.missed().unwrap_or(0.0);
        let before = self.shares.get(class).copied().unwrap_or(1.0);
        let share = if missed > LOWER_ABOVE {
            (before * LOWER_FACTOR).max(MIN_SHARE)
        } else if missed < RAISE_BELOW {
            (before + RAISE_STEP).min(1.0)
        } else {
            before
        };
        if share < 1.0 {
            self.shares.insert(class.clone(), share);
        } else {
            self.shares.remove(class);
        }
        let is_bound = |share: f64| share >= 1.0 || share <= MIN_SHARE;
        let has_changed = share.to_bits() != before.to_bits();
        (has_changed && (is_bound(before) || is_bound(share))).then(|| ShareChange {
            class: class.clone(),
            share,
            missed,
        })
    }

    /// Returns the shares that are not whole.
    #[must_use]
    pub fn shares(&self) -> Vec<(ClassId, f64)> {
        let shares = self.shares.iter().take(MAX_CLASSES);
        let mut shares: Vec<_> = shares
            .map(|(class, share)| (class.clone(), *share))
            .collect();
        shares.sort_by(|one, other| one.0.cmp(&other.0));
        shares
    }
}

/// The shares as a front knows them.
#[derive(Debug, Default)]
pub struct KnownShares {
    shares: HashMap<ClassId, f64>,
    received: Option<Time>,
}

impl KnownShares {
    /// Replaces the shares by those of an update of the granter.
    pub fn set(&mut self, shares: Vec<(ClassId, f64)>, now: Time) {
        let valid = shares
            .into_iter()
            .take(MAX_CLASSES)
            .map(|(class, share)| (class, share.clamp(MIN_SHARE, 1.0)));
        self.shares = valid.collect();
        self.received = Some(now);
    }

    fn is_recent(&self, now: Time) -> bool {
        self.received
            .is_some_and(|received| now.since(received) <= MAX_SHARE_AGE)
    }

    /// Returns the share of a class; the whole, as by the static rule, if it is not known or too
    /// old.
    #[must_use]
    pub fn share(&self, service: &ServiceId, priority: u32, now: Time) -> f64 {
        if self.shares.is_empty() || !self.is_recent(now) {
            return 1.0;
        }
        let class = (service.clone(), priority);
        self.shares.get(&class).copied().unwrap_or(1.0)
    }

    /// Returns the shares that are recent, for a granter that begins with them.
    #[must_use]
    pub fn recent(&self, now: Time) -> Vec<(ClassId, f64)> {
        if !self.is_recent(now) {
            return Vec::new();
        }
        let shares = self.shares.iter();
        shares
            .map(|(class, share)| (class.clone(), *share))
            .collect()
    }
}
