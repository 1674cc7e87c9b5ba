//! What one front knows of requests under which servers crashed.

use std::collections::HashMap;
use std::time::Duration;

use super::Crash;
use super::Fingerprint;
use super::Fingerprints;
use super::history::History;
use crate::direct::incarnation::Born;
use crate::id::ServerId;
use crate::time::Time;

/// The number of requests that are remembered.
const MAX_TRACKED: usize = 1_024;
/// How long the result of a suspect request is awaited until a further copy is sent.
const RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// A crash with its times as ages, as fronts tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub born: Born,
    /// The time since the request was sent to it.
    pub sent_age: Duration,
    /// The time since its connection was closed.
    pub ended_age: Duration,
}

/// What a front tells of the crashes under one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes since it was last answered.
    pub crashes: Vec<ReportedCrash>,
    /// The time since it was last answered, if it was.
    pub served_age: Option<Duration>,
}

/// What is done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent to a server.
    Send,
    /// It may be passed on to the front that tries suspect requests for all others.
    PassOn,
    /// It waits for the result of another copy, for at most this time.
    Wait(Duration),
    /// It is refused for this time.
    Refuse(Duration),
}

/// Which changes are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All that this front knows, for a granter that may know nothing.
    All,
    /// What this front has observed itself.
    Observed,
    /// What all fronts have to know, whoever observed it.
    Shared,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    history: History,
    /// The number of the last change.
    changed: u64,
    /// The number of the last change that this front observed itself.
    observed: u64,
    /// Whether the request was suspicious enough for all fronts to be told of it.
    is_shared: bool,
    /// When this front last sent a copy although the request is suspect or refused.
    tried_at: Option<Time>,
}

/// The requests under which servers crashed.
#[derive(Debug, Default)]
pub struct CrashTable {
    entries: HashMap<Fingerprint, Entry>,
    changes: u64,
    /// The numbers of the last changes that this front observed, and that all fronts have to know.
    last_observed: u64,
    last_shared: u64,
    /// Whether this front is the one that tries suspect and refused requests.
    is_trier: bool,
}

impl CrashTable {
    /// Records a crash under a request that this front had sent. Returns the number of successive
    /// crashes under it.
    pub fn record_crash(&mut self, fingerprints: &Fingerprints, crash: &Crash, now: Time) -> usize {
        let mut most = 0;
        for fingerprint in fingerprints.distinct() {
            let changes = self.next_change();
            let entry = self.entry(fingerprint, now);
            let is_new = entry.history.add(crash);
            most = most.max(entry.history.successive());
            if is_new {
                self.mark_changed(fingerprint, changes, true);
            }
        }
        most
    }

    /// Records that a server answered a request. Returns whether that ends a suspicion.
    pub fn record_served(&mut self, fingerprints: &Fingerprints, now: Time) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let mut has_cleared = false;
        for fingerprint in fingerprints.distinct() {
            let changes = self.next_change();
            let Some(entry) = self.entries.get_mut(&fingerprint) else {
                continue;
            };
            if entry.history.serve(now) {
                self.mark_changed(fingerprint, changes, true);
                has_cleared = true;
            }
        }
        has_cleared
    }

    /// Sets whether this front tries suspect requests, and refused ones from time to time. Only one
    /// front may, since each copy may cost a server.
    pub fn set_trier(&mut self, is_trier: bool) {
        self.is_trier = is_trier;
    }

    /// Returns the time for which a request is still refused, if it is and no trial is due.
    #[must_use]
    pub fn refused_for(&self, fingerprints: &Fingerprints, now: Time) -> Option<Duration> {
        if self.entries.is_empty() {
            return None;
        }
        let until = fingerprints
            .distinct()
            .filter_map(|fingerprint| self.refused_until(fingerprint, now));
        until.max().map(|until| until.since(now))
    }

    /// Decides what is done with a request now.
    ///
    /// Once several copies of a request were lost in crashes, one copy at a time is sent, by one front:
    /// each may cost a server, and the result of one decides on the others.
    #[must_use]
    pub fn admission(&self, fingerprints: &Fingerprints, now: Time) -> Admission {
        if let Some(left) = self.refused_for(fingerprints, now) {
            return Admission::Refuse(left);
        }
        let suspects = self.suspects(fingerprints, now);
        let next_copy = suspects.filter_map(|fingerprint| self.entries[&fingerprint].next_copy());
        match next_copy.max() {
            Some(at) if now < at => Admission::Wait(at.since(now)),
            Some(_) if !self.is_trier => Admission::PassOn,
            _ => Admission::Send,
        }
    }

    /// Decides on a request that is sent or passed on at once if it may be. No other copy of a suspect or
    /// refused request follows until the result of this one is known.
    pub fn begin_send(&mut self, fingerprints: &Fingerprints, now: Time) -> Admission {
        let admission = self.admission(fingerprints, now);
        if !matches!(admission, Admission::Send | Admission::PassOn) || self.entries.is_empty() {
            return admission;
        }
        for fingerprint in fingerprints.distinct() {
            let Some(entry) = self.entries.get_mut(&fingerprint) else {
                continue;
            };
            if entry.history.is_suspect() {
                entry.tried_at = Some(now);
            }
        }
        admission
    }

    /// Returns the fingerprints under which a request is suspect and not refused.
    fn suspects(
        &self,
        fingerprints: &Fingerprints,
        now: Time,
    ) -> impl Iterator<Item = Fingerprint> {
        let is_suspect = move |fingerprint: &Fingerprint| {
            self.entries.get(fingerprint).is_some_and(|entry| {
                entry.history.is_suspect() && entry.history.refused_until(now).is_none()
            })
        };
        let distinct = fingerprints.distinct();
        distinct.filter(move |fingerprint| !self.entries.is_empty() && is_suspect(fingerprint))
    }

    fn refused_until(&self, fingerprint: Fingerprint, now: Time) -> Option<Time> {
        let entry = self.entries.get(&fingerprint)?;
        let until = entry.history.refused_until(now)?;
        let trial_at = entry.history.trial_at().max(entry.next_trial_after_last());
        let is_trial_due = self.is_trier && trial_at.is_some_and(|at| at <= now);
        (!is_trial_due).then_some(until)
    }

    /// Returns whether a server has crashed under a request since it was last answered.
    #[must_use]
    pub fn is_suspicious(&self, fingerprints: &Fingerprints) -> bool {
        let crashed = |fingerprint: Fingerprint| {
            let entry = self.entries.get(&fingerprint);
            entry.is_some_and(|entry| !entry.history.crashes().is_empty())
        };
        !self.entries.is_empty() && fingerprints.distinct().any(crashed)
    }

    /// Adds what another front tells. Returns whether the request is refused from now on, and was
    /// not before.
    pub fn merge(&mut self, report: &CrashReport, now: Time) -> bool {
        let changes = self.next_change();
        let entry = self.entry(report.fingerprint, now);
        let was_refused = entry.history.refused_until(now).is_some();
        let mut has_changed = false;
        if let Some(age) = report.served_age {
            has_changed |= entry.history.serve(now - age);
        }
        for crash in &report.crashes {
            has_changed |= entry.history.add(&crash.at(now));
        }
        let is_refused = entry.history.refused_until(now).is_some();
        if has_changed {
            self.mark_changed(report.fingerprint, changes, false);
        }
        !was_refused && is_refused
    }

    /// Adds what the granter tells, as [`CrashTable::merge`] does. It tells of a single crash only if the
    /// server had several copies.
    pub fn merge_shared(&mut self, report: &CrashReport, now: Time) -> bool {
        let is_refused = self.merge(report, now);
        if let Some(entry) = self.entries.get_mut(&report.fingerprint) {
            entry.history.set_had_copies();
        }
        is_refused
    }

    /// Returns the number of changes so far. [`CrashTable::reports`] continues from it.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the number of the last change in a scope.
    #[must_use]
    pub fn last_change(&self, scope: Scope) -> u64 {
        match scope {
            Scope::All => self.changes,
            Scope::Observed => self.last_observed,
            Scope::Shared => self.last_shared,
        }
    }

    /// Returns what has changed after change number `after`.
    #[must_use]
    pub fn reports(&self, scope: Scope, after: u64, now: Time) -> Vec<CrashReport> {
        let is_due = |entry: &Entry| match scope {
            Scope::All => entry.changed > after,
            Scope::Observed => entry.observed > after,
            Scope::Shared => entry.changed > after && entry.is_shared,
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(fingerprint, entry)| CrashReport::new(*fingerprint, &entry.history, now))
            .collect()
    }

    /// Returns the requests that are refused, with the crashes under them.
    #[must_use]
    pub fn refused(&self, now: Time) -> Vec<CrashReport> {
        let refused = |entry: &Entry| entry.history.refused_until(now).is_some();
        let entries = self.entries.iter().filter(|(_, entry)| refused(entry));
        let mut reports: Vec<CrashReport> = entries
            .map(|(fingerprint, entry)| CrashReport::new(*fingerprint, &entry.history, now))
            .collect();
        reports.sort_by_key(|report| report.fingerprint);
        reports
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| entry.history.expires_at() > now);
    }

    fn mark_changed(&mut self, fingerprint: Fingerprint, changes: u64, is_observed: bool) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        entry.changed = changes;
        entry.is_shared |= entry.history.is_suspect();
        if entry.is_shared {
            self.last_shared = changes;
        }
        if is_observed {
            entry.observed = changes;
            self.last_observed = changes;
        }
    }

    fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: Time) -> &mut Entry {
        if self.entries.len() >= MAX_TRACKED && !self.entries.contains_key(&fingerprint) {
            self.expire(now);
            self.remove_least_suspicious();
        }
        self.entries.entry(fingerprint).or_default()
    }

    /// Makes room for another request.
    fn remove_least_suspicious(&mut self) {
        if self.entries.len() < MAX_TRACKED {
            return;
        }
        let suspicion = |entry: &Entry| (entry.history.successive(), entry.history.expires_at());
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| suspicion(entry))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.entries.remove(&least);
        }
    }
}

impl Entry {
    /// Returns when the next copy of a suspect request may be sent: so late that a crash is told from
    /// the last one, and not before the result of the last copy or a timeout.
    fn next_copy(&self) -> Option<Time> {
        let last_end = self.history.last_end()?;
        let result_due = self.tried_at.filter(|tried| *tried > last_end);
        let result_due = result_due.map(|tried| tried + RESULT_TIMEOUT);
        self.history.distinct_from().max(result_due)
    }

    /// Returns when a trial may follow one whose result is not known.
    fn next_trial_after_last(&self) -> Option<Time> {
        let delay = self.history.trial_at()?.since(self.history.last_end()?);
        Some(self.tried_at? + delay)
    }
}

impl CrashReport {
    fn new(fingerprint: Fingerprint, history: &History, now: Time) -> Self {
        let crashes = history.crashes().iter().map(|crash| ReportedCrash {
            server: crash.server.clone(),
            born: crash.born,
            sent_age: now.since(crash.sent),
            ended_age: now.since(crash.ended),
        });
        Self {
            fingerprint,
            crashes: crashes.collect(),
            served_age: history.served_at().map(|at| now.since(at)),
        }
    }
}

impl ReportedCrash {
    /// Returns the crash on the clock of a front that is told of it at `now`.
    fn at(&self, now: Time) -> Crash {
        Crash {
            server: self.server.clone(),
            born: self.born,
            sent: now - self.sent_age,
            ended: now - self.ended_age,
        }
    }
}
