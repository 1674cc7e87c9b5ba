//! A queue that is fair over callers and orders the requests of one caller by earliest deadline.
//!
//! As in weighted fair queuing, callers are ordered by the service time that they have received:
//! the next request is that of the caller that has received least. The virtual time is the service
//! time that a continuously active caller would have received. A caller that returns after a pause
//! starts at the virtual time, so that it can't accumulate credit while idle. Because the virtual
//! time rises with each request, a stream of new callers can't starve an existing one.

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
        /// The caller, the unit of fairness.
        pub caller: CompactString,
        /// When the answer is due.
        pub deadline: Time,
    }
}

/// The queue order of one caller's requests: by deadline, then by order of arrival.
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
    /// Service time that a continuously active caller would have received, in microseconds.
    virtual_time_us: u64,
}

/// Maximum number of callers without requests whose received service time is kept.
const MAX_IDLE_CALLERS: usize = 256;

impl FairQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
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

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let heads = self.callers.values().filter_map(|row| {
            let (position, request) = row.waiting.first_key_value()?;
            Some((row.service_us, position, request))
        });
        let request = heads.min()?.2.clone();
        self.take(&request)
    }

    /// Removes a request, wherever it is in the queue.
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

    /// Charges the expected service time of a request that is about to be sent to its caller.
    pub fn charge(&mut self, caller: &CompactString, expected: Duration) {
        let active = self.callers.values().filter(|row| !row.waiting.is_empty());
        let active = u64::try_from(active.count()).unwrap_or(u64::MAX);
        self.virtual_time_us += micros(expected) / (active + 1);
        let row = self.callers.entry(caller.clone()).or_default();
        row.service_us += micros(expected);
        row.running += 1;
    }

    /// Replaces the expected service time of a finished request by the actual one.
    pub fn correct_charge(&mut self, caller: &CompactString, expected: Duration, took: Duration) {
        if let Some(row) = self.callers.get_mut(caller) {
            row.running = row.running.saturating_sub(1);
            row.service_us = (row.service_us + micros(took)).saturating_sub(micros(expected));
        }
        self.remove_if_idle(caller);
    }

    /// Returns how many requests would be sent before a new one of `caller` with this deadline.
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

    /// Returns each waiting request with the number of requests ahead of it.
    ///
    /// The estimate serves the callers round-robin and ignores the service time that they have
    /// received.
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

    /// Returns the number of waiting requests of `caller`.
    #[must_use]
    pub fn waiting_by_caller(&self, caller: &CompactString) -> usize {
        self.callers.get(caller).map_or(0, |row| row.waiting.len())
    }

    /// Returns the number of waiting requests of the caller that has most.
    #[must_use]
    pub fn longest_backlog(&self) -> usize {
        let lens = self.callers.values().map(|row| row.waiting.len());
        lens.max().unwrap_or(0)
    }

    /// Removes the request with the latest deadline of the caller that has most waiting requests,
    /// if that caller has more than `more_than`.
    pub fn evict_from_longest_backlog(&mut self, more_than: usize) -> Option<QueuedRequest> {
        let longest = self.callers.values().max_by_key(|row| row.waiting.len())?;
        if longest.waiting.len() <= more_than {
            return None;
        }
        let request = longest.waiting.last_key_value()?.1.clone();
        self.remove(&request)
    }

    /// Drops the row of a caller that no longer influences the order. Drops all idle rows if there
    /// are more than `MAX_IDLE_CALLERS`.
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

    /// Returns the number of callers that have a row.
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
