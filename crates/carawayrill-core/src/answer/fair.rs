//! The order in which waiting requests of one server are sent: fair over callers, earliest
//! deadline first within a caller.
//!
//! Callers are ordered by the service time that they have received, as in weighted fair queuing:
//! of the callers with waiting requests, the one that received least is next. A level rises with
//! the service that each active caller is due. A caller that comes back after a pause starts at
//! the level, so that it can't save up; and because the level rises, a stream of new callers can't
//! keep an old one waiting for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::data;
use crate::id::RequestId;
use crate::time::Time;

data! {
    /// A request that waits for a slot.
    pub struct QueuedRequest {
        /// The request.
        pub request: RequestId,
        /// Who sent it; fairness is over these.
        pub caller: CompactString,
        /// When its answer is due.
        pub deadline: Time,
    }
}

/// Orders the waiting requests of one caller: deadline first, then order of arrival.
type Position = (Time, u64);

#[derive(Debug, Clone, Default)]
struct CallerRow {
    service_us: u64,
    running: u32,
    waiting: BTreeMap<Position, RequestId>,
}

impl CallerRow {
    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}

/// The waiting requests of one server.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    callers: BTreeMap<CompactString, CallerRow>,
    positions: BTreeMap<RequestId, (CompactString, Position)>,
    arrivals: u64,
    /// What a caller that was always active has been due.
    virtual_time_us: u64,
}

/// Callers without requests that are remembered for what they received.
const MAX_IDLE_CALLERS: usize = 256;

impl FairQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let virtual_time = self.virtual_time_us;
        let position = (waiting.deadline, self.arrivals);
        self.arrivals += 1;
        let row = self.callers.entry(waiting.caller.clone()).or_default();
        if row.waiting.is_empty() {
            row.service_us = row.service_us.max(virtual_time);
        }
        row.waiting.insert(position, waiting.request.clone());
        self.positions
            .insert(waiting.request, (waiting.caller, position));
    }

    /// Takes out the request that is next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let heads = self.callers.values().filter_map(|row| {
            let (position, request) = row.waiting.first_key_value()?;
            Some((row.service_us, position, request))
        });
        let request = heads.min()?.2.clone();
        self.take(&request)
    }

    /// Takes out a request wherever it waits.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let waiting = self.take(request)?;
        self.remove_if_idle(&waiting.caller);
        Some(waiting)
    }

    fn take(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let (caller, position) = self.positions.remove(request)?;
        if let Some(row) = self.callers.get_mut(&caller) {
            row.waiting.remove(&position);
        }
        Some(queued_request(&caller, position, request))
    }

    /// Charges a caller for a request that is about to be sent, by its expected service time.
    pub fn charge(&mut self, caller: &CompactString, expected: Duration) {
        let active = self.callers.values().filter(|row| !row.waiting.is_empty());
        let active = u64::try_from(active.count()).unwrap_or(u64::MAX);
        self.virtual_time_us += micros(expected) / (active + 1);
        let row = self.callers.entry(caller.clone()).or_default();
        row.service_us += micros(expected);
        row.running += 1;
    }

    /// Replaces the charge for a request that has ended by what it took.
    pub fn correct_charge(&mut self, caller: &CompactString, expected: Duration, took: Duration) {
        if let Some(row) = self.callers.get_mut(caller) {
            row.running = row.running.saturating_sub(1);
            row.service_us = (row.service_us + micros(took)).saturating_sub(micros(expected));
        }
        self.remove_if_idle(caller);
    }

    /// Returns how many requests would go before a new one of `caller` with this deadline.
    #[must_use]
    pub fn ahead_of(&self, caller: &CompactString, deadline: Time) -> usize {
        let own = self.callers.get(caller);
        let before = own.map_or(0, |row| row.waiting.range(..=(deadline, u64::MAX)).count());
        let others = self
            .callers
            .iter()
            .filter(|(name, _)| *name != caller)
            .map(|(_, row)| row.waiting.len().min(before + 1));
        before + others.sum::<usize>()
    }

    /// Returns the waiting requests with the number that goes before each. Callers take turns in
    /// this estimate, whatever they received so far.
    #[must_use]
    pub fn with_requests_ahead(&self) -> Vec<(usize, QueuedRequest)> {
        let mut all = Vec::with_capacity(self.len());
        let mut rows: Vec<_> = self
            .callers
            .iter()
            .map(|(caller, row)| (caller, row.waiting.iter()))
            .collect();
        while !rows.is_empty() {
            let mut round = Vec::with_capacity(rows.len());
            rows.retain_mut(|(caller, row)| {
                let next = row.next();
                round.extend(
                    next.map(|(position, request)| queued_request(caller, *position, request)),
                );
                next.is_some()
            });
            let last = (all.len() + round.len()).saturating_sub(1);
            all.extend(round.into_iter().map(|waiting| (last, waiting)));
        }
        all
    }

    /// Returns how many requests of `caller` wait.
    #[must_use]
    pub fn waiting_by_caller(&self, caller: &CompactString) -> usize {
        self.callers.get(caller).map_or(0, |row| row.waiting.len())
    }

    /// Returns the longest list of one caller.
    #[must_use]
    pub fn longest_backlog(&self) -> usize {
        let lens = self.callers.values().map(|row| row.waiting.len());
        lens.max().unwrap_or(0)
    }

    /// Takes out the request with the latest deadline of the caller that has most waiting, if that
    /// caller has more than `more_than`.
    pub fn evict_from_longest_backlog(&mut self, more_than: usize) -> Option<QueuedRequest> {
        let longest = self.callers.values().max_by_key(|row| row.waiting.len())?;
        if longest.waiting.len() <= more_than {
            return None;
        }
        let request = longest.waiting.last_key_value()?.1.clone();
        self.remove(&request)
    }

    /// Drops a caller's row once it can't influence the order any more.
    fn remove_if_idle(&mut self, caller: &CompactString) {
        let virtual_time = self.virtual_time_us;
        let idle = |row: &CallerRow| row.is_idle() && row.service_us <= virtual_time;
        if self.callers.get(caller).is_some_and(idle) {
            self.callers.remove(caller);
        }
        if self.callers.len() > self.positions.len() + MAX_IDLE_CALLERS {
            self.callers.retain(|_, row| !row.is_idle());
        }
    }

    /// Returns the number of callers that are remembered.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.len()
    }
}

fn queued_request(
    caller: &CompactString,
    position: Position,
    request: &RequestId,
) -> QueuedRequest {
    QueuedRequest {
        request: request.clone(),
        caller: caller.clone(),
        deadline: position.0,
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
