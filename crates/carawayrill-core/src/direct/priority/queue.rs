//! The requests that wait at a front for a server of a shared service.
//!
//! It is designed for fronts with 0.1 of a core that receive some 10 requests a second each, 2.5
//! times as many in bursts. A wake-up therefore examines only the first requests of a queue, and the
//! queue is bounded in number and in bytes.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::ServiceId;
use crate::number;
use crate::time::Time;
use crate::time::millis;

/// The maximum number of requests that wait for the servers of one service. A longer queue is not
/// served within the objective: a front receives at most some hundred requests in that time.
const MAX_WAITING: usize = 256;
/// The maximum size of the bodies of all requests that wait, in bytes. A weak front has 160 MB of
/// memory for everything.
const MAX_WAITING_BYTES: usize = 16 << 20;
/// The maximum number of waiting requests of one service for which a server is looked for at one
/// wake-up. More than one, as the first may be restricted to servers that are busy.
const MAX_EXAMINED: usize = 3;
/// The steps of urgency that a request gains by waiting for its whole objective.
const STEPS_PER_OBJECTIVE: u64 = 4;
/// The weight of a new interval in the mean interval between two requests that leave the queue.
const INTERVAL_GAIN: f64 = 0.2;
/// The number of less urgent requests, for each more urgent one that was sent, that may be sent
/// without regard to the reserve once they have gained enough urgency. Without it, a class starves
/// while more urgent ones alone fill the servers.
const FLOOR_SHARE: f64 = 0.05;

number! {
    /// Names a waiting request.
    Ticket;
}

/// A request that waits, or asks to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// When it was received.
    pub received: Time,
    /// The time of its objective.
    pub objective: Time,
    /// The latest time at which it may be sent in order to meet the objective.
    pub send_by: Time,
    /// Whether its caller has sent more than its share of requests.
    pub is_excess: bool,
    /// The size of its body.
    pub bytes: usize,
}

impl Waiter {
    /// Returns the priority at `now`, with the urgency that it has gained by waiting. A request in
    /// excess of its caller's share gains none.
    #[must_use]
    pub fn priority_at(&self, now: Time) -> u32 {
        if self.is_excess {
            return self.priority;
        }
        let objective_ms = millis(self.objective.since(self.received)).max(1);
        let waited_ms = millis(now.since(self.received));
        let steps = waited_ms.saturating_mul(STEPS_PER_OBJECTIVE) / objective_ms;
        self.priority
            .saturating_sub(u32::try_from(steps).unwrap_or(u32::MAX))
    }

    /// Returns the position in the queue at `now`: the smallest is first.
    fn order(&self, now: Time) -> (bool, u32, Duration, Time) {
        let left = self.objective.since(now);
        (self.is_excess, self.priority_at(now), left, self.received)
    }
}

/// The reason why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// Too many requests or bytes wait already.
    Full,
    /// The request can't meet its objective after the expected wait.
    TooLate,
}

/// The queue of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: Vec<(Ticket, Waiter)>,
    /// The requests that were examined since the last wake-up.
    examined: Vec<Ticket>,
    /// The mean interval between two requests that leave the queue for a server, in milliseconds.
    interval_ms: Option<f64>,
    /// When a request last left the queue for a server, or the queue was last empty.
    last_sent: Time,
    /// The less urgent requests that may be sent without regard to the reserve.
    floor_credit: f64,
}

impl ServiceQueue {
    fn expected_wait(&self, waiter: &Waiter, now: Time) -> Duration {
        let order = waiter.order(now);
        let ahead = self.waiting.iter();
        let ahead = ahead.filter(|(_, other)| other.order(now) <= order).count();
        let Some(interval_ms) = self.interval_ms.filter(|_| ahead > 0) else {
            return Duration::ZERO;
        };
        let current_ms = millis(now.since(self.last_sent)) as f64;
        let interval_ms = interval_ms.max(current_ms);
        Duration::from_secs_f64(interval_ms * ahead as f64 / 1_000.0)
    }

    fn record_sent(&mut self, now: Time) {
        let interval_ms = millis(now.since(self.last_sent)) as f64;
        let mean_ms = self.interval_ms.get_or_insert(interval_ms);
        *mean_ms += (interval_ms - *mean_ms) * INTERVAL_GAIN;
        self.last_sent = now;
    }
}

/// All requests of a front that wait for a server.
///
/// # Examples
///
/// ```
/// use carawayrill_core::direct::priority::queue::WaitQueue;
/// use carawayrill_core::direct::priority::queue::Waiter;
/// use carawayrill_core::time::Time;
///
/// let mut queue = WaitQueue::default();
/// let pay = "pay".parse().unwrap();
/// let waiter = Waiter {
///     priority: 2,
///     received: Time(0),
///     objective: Time(2_000),
///     send_by: Time(1_800),
///     is_excess: false,
///     bytes: 100,
/// };
/// let ticket = queue.add(&pay, waiter, Time(10)).unwrap();
/// assert_eq!(queue.next(&pay, Time(20)), Some(ticket));
/// ```
#[derive(Debug, Default)]
pub struct WaitQueue {
    services: HashMap<ServiceId, ServiceQueue>,
    bytes: usize,
    last_ticket: u64,
}

impl WaitQueue {
    /// Adds a request to the queue of a service.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the request would meet its objective no more.
    pub fn add(
        &mut self,
        service: &ServiceId,
        waiter: Waiter,
        now: Time,
    ) -> Result<Ticket, NoRoom> {
        if self.bytes + waiter.bytes > MAX_WAITING_BYTES {
            return Err(NoRoom::Full);
        }
        let queue = self.services.entry(service.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.last_sent = now;
        }
        if queue.waiting.len() >= MAX_WAITING {
            return Err(NoRoom::Full);
        }
        if now + queue.expected_wait(&waiter, now) > waiter.send_by {
            return Err(NoRoom::TooLate);
        }
        self.bytes += waiter.bytes;
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        queue.waiting.push((ticket, waiter));
        Ok(ticket)
    }

    /// Removes a request that no longer waits: it was refused, or its caller has left.
    pub fn remove(&mut self, service: &ServiceId, ticket: Ticket) -> Option<Waiter> {
        let queue = self.services.get_mut(service)?;
        let index = queue.waiting.iter().position(|(one, _)| *one == ticket)?;
        let (_, waiter) = queue.waiting.swap_remove(index);
        queue.examined.retain(|examined| *examined != ticket);
        self.bytes -= waiter.bytes;
        Some(waiter)
    }

    /// Removes a request that is sent to a server now.
    pub fn remove_sent(&mut self, service: &ServiceId, ticket: Ticket, now: Time) {
        if self.remove(service, ticket).is_some()
            && let Some(queue) = self.services.get_mut(service)
        {
            queue.record_sent(now);
        }
    }

    /// Begins a wake-up: all requests may be examined again.
    pub fn begin_wake_up(&mut self) {
        for queue in self.services.values_mut() {
            queue.examined.clear();
        }
    }

    /// Returns the request of a service for which a server is looked for next, or `None` if enough
    /// have been examined since the last wake-up.
    pub fn next(&mut self, service: &ServiceId, now: Time) -> Option<Ticket> {
        let queue = self.services.get_mut(service)?;
        if queue.examined.len() >= MAX_EXAMINED {
            return None;
        }
        let examined = &queue.examined;
        let left = queue
            .waiting
            .iter()
            .filter(|(ticket, _)| !examined.contains(ticket));
        let (ticket, _) = left.min_by_key(|(ticket, waiter)| (waiter.order(now), ticket.0))?;
        let ticket = *ticket;
        queue.examined.push(ticket);
        Some(ticket)
    }

    /// Returns whether a new request has to wait behind another one of its service.
    ///
    /// Requests of less urgent classes do not count, whatever urgency they have gained: they wait
    /// for room that is reserved for the new one.
    #[must_use]
    pub fn has_before(&self, service: &ServiceId, waiter: &Waiter, now: Time) -> bool {
        let order = waiter.order(now);
        self.services.get(service).is_some_and(|queue| {
            let mut others = queue.waiting.iter();
            others.any(|(_, other)| other.priority <= waiter.priority && other.order(now) <= order)
        })
    }

    /// Records that a request of a more urgent class is sent. Each allows a part of one that has
    /// gained urgency by waiting.
    pub fn record_urgent_sent(&mut self, service: &ServiceId) {
        let queue = self.services.entry(service.clone()).or_default();
        queue.floor_credit = (queue.floor_credit + FLOOR_SHARE).min(1.0);
    }

    /// Returns whether a request that has gained urgency by waiting may be sent without regard to
    /// the reserve.
    #[must_use]
    pub fn has_floor_credit(&self, service: &ServiceId) -> bool {
        let queue = self.services.get(service);
        queue.is_some_and(|queue| queue.floor_credit >= 1.0)
    }

    /// Uses the credit of [`Self::has_floor_credit`].
    pub fn use_floor_credit(&mut self, service: &ServiceId) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.floor_credit = (queue.floor_credit - 1.0).max(0.0);
        }
    }

    /// Iterates over the services with waiting requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .map(|(service, _)| service)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        let queues = self.services.values();
        queues.map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes what is known of services without waiting requests that `is_shared` does not hold
    /// for.
    pub fn retain_services(&mut self, is_shared: impl Fn(&ServiceId) -> bool) {
        self.services
            .retain(|service, queue| !queue.waiting.is_empty() || is_shared(service));
    }
}
