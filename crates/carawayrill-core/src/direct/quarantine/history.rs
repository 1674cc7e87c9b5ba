//! The crashes of servers under one request.

use std::time::Duration;

use crate::direct::incarnation::Born;
use crate::id::ServerId;
use crate::time::Time;

/// The number of successive crashes after which a request is refused.
const MAX_CRASHES: usize = 3;
/// Crashes that end within this time of each other count once.
const SAME_EVENT_TIME: Duration = Duration::from_millis(200);
/// How long after the last crash a request is refused. It may then crash one more server.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// How long after the last of [`MAX_CRASHES`] crashes a refused request is tried once. The servers may
/// have been at fault and not the request, so that it is never answered if nobody tries.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);
/// By how much the delay grows with each trial that crashes a server.
const TRIAL_BACKOFF: u32 = 4;
/// How long after the last crash the crashes are remembered.
const MEMORY_TIME: Duration = Duration::from_hours(1);
/// The number of crashes that are remembered of one request.
const MAX_REMEMBERED: usize = 8;

/// A server that crashed while it had a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub born: Born,
    /// When the request was sent to it.
    pub sent: Time,
    /// When its connection was closed.
    pub ended: Time,
}

/// The crashes under one request since it was last answered.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    /// In the order of their ends.
    crashes: Vec<Crash>,
    /// Whether one of the servers had several copies of the request.
    had_copies: bool,
    served_at: Option<Time>,
}

impl History {
    /// Adds a crash, and returns whether it says something new.
    pub(super) fn add(&mut self, crash: &Crash) -> bool {
        if self.served_at.is_some_and(|at| crash.ended <= at) {
            return false;
        }
        let same = |known: &Crash| known.server == crash.server && known.born == crash.born;
        if let Some(known) = self.crashes.iter_mut().find(|known| same(known)) {
            // The server may have had several copies of the request; the last one that it got is
            // the most likely to have followed an earlier crash.
            known.sent = known.sent.max(crash.sent);
            return !std::mem::replace(&mut self.had_copies, true);
        }
        self.crashes.push(crash.clone());
        self.crashes.sort_by_key(|crash| crash.ended);
        self.forget_one()
            .is_none_or(|forgotten| forgotten != *crash)
    }

    /// Forgets a crash if there are too many. Those that followed each other say how many count, and
    /// the last one says when.
    fn forget_one(&mut self) -> Option<Crash> {
        let last = self.crashes.len().checked_sub(1)?;
        if last < MAX_REMEMBERED {
            return None;
        }
        let successive = self.successive_indices();
        let is_spare = |index: &usize| !successive.contains(index);
        let spare = (0..last).rev().find(is_spare).unwrap_or(last - 1);
        Some(self.crashes.remove(spare))
    }

    /// Records that a server answered the request at `at`. Returns whether that ends a suspicion.
    pub(super) fn serve(&mut self, at: Time) -> bool {
        self.served_at = self.served_at.max(Some(at));
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > at);
        self.had_copies &= !self.crashes.is_empty();
        self.crashes.len() < before
    }

    /// Records that a server had several copies of the request when it crashed, if one did.
    pub(super) fn set_had_copies(&mut self) {
        self.had_copies = !self.crashes.is_empty();
    }

    /// Returns whether several copies of the request were lost, at the same time or in crashes that
    /// followed each other. One may have been at a crashed server by chance, and so may its retry if many
    /// servers crash at once.
    pub(super) fn is_suspect(&self) -> bool {
        let overlap = |pair: &[Crash]| pair[1].sent < pair[0].ended;
        self.had_copies || self.successive() > 1 || self.crashes.windows(2).any(overlap)
    }

    /// Returns from when on a crash is known to have followed the last one.
    pub(super) fn distinct_from(&self) -> Option<Time> {
        Some(self.last_end()? + SAME_EVENT_TIME)
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn served_at(&self) -> Option<Time> {
        self.served_at
    }

    /// Returns the number of crashes that followed each other: the request was sent to each of these
    /// servers after the one before had crashed, and some time passed between.
    pub(super) fn successive(&self) -> usize {
        self.successive_indices().len()
    }

    /// Returns the positions of the crashes that followed each other.
    fn successive_indices(&self) -> Vec<usize> {
        let mut indices = Vec::new();
        let mut last: Option<Time> = None;
        for (index, crash) in self.crashes.iter().enumerate() {
            let follows =
                |last: Time| crash.sent >= last && crash.ended.since(last) >= SAME_EVENT_TIME;
            if last.is_none_or(follows) {
                indices.push(index);
                last = Some(crash.ended);
            }
        }
        indices
    }

    /// Returns when the refused request may be tried once.
    pub(super) fn trial_at(&self) -> Option<Time> {
        let failed_trials = self.successive().checked_sub(MAX_CRASHES)?;
        let failed_trials = u32::try_from(failed_trials).unwrap_or(u32::MAX);
        let growth = TRIAL_BACKOFF.saturating_pow(failed_trials);
        let delay = FIRST_TRIAL_DELAY.saturating_mul(growth);
        Some(self.last_end()? + delay)
    }

    /// Returns the end of the time for which the request is refused, if it is.
    pub(super) fn refused_until(&self, now: Time) -> Option<Time> {
        let until = self.last_end()? + QUARANTINE_TIME;
        (self.successive() >= MAX_CRASHES && now < until).then_some(until)
    }

    /// Returns when the last crash ended.
    pub(super) fn last_end(&self) -> Option<Time> {
        self.crashes.last().map(|crash| crash.ended)
    }

    /// Returns when nothing of the history counts any more.
    pub(super) fn expires_at(&self) -> Time {
        self.last_end().max(self.served_at).unwrap_or_default() + MEMORY_TIME
    }
}
