//! The requests that wait at this front for a server of a service that routes of different priority
//! share.
//!
//! [`carawayrill_core::direct::priority::queue`] decides on the order and the bounds. A wake-up
//! wakes one task for each service. If it can send its request or gives up, or if no server has room
//! for it, it wakes the next one, as far as the decisions allow.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::direct::priority::queue::NoRoom;
use carawayrill_core::direct::priority::queue::Ticket;
use carawayrill_core::direct::priority::queue::WaitQueue;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::id::ServiceId;
use compact_str::ToCompactString;
use tokio::sync::Notify;

use crate::clock;
use crate::state::Shared;

/// The interval at which servers are looked for without another cause: the estimated load of a
/// server falls with the age of its last report.
const WAKE_UP_INTERVAL: Duration = Duration::from_millis(50);

/// The waiting requests and their tasks.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queue: WaitQueue,
    tasks: HashMap<Ticket, Arc<Notify>>,
}

impl State {
    /// Wakes the task of the request of a service that is examined next.
    fn wake_next(&mut self, service: &ServiceId) {
        let next = self.queue.next(service, clock::now());
        if let Some(task) = next.and_then(|ticket| self.tasks.get(&ticket)) {
            task.notify_one();
        }
    }
}

impl WaitingRequests {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks for servers for the first requests of each service.
    pub fn wake_up(&self) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            return;
        }
        state.queue.begin_wake_up();
        let services: Vec<ServiceId> = state.queue.services().cloned().collect();
        for service in &services {
            state.wake_next(service);
        }
    }

    /// Returns whether a new request has to wait behind another one of its service.
    #[must_use]
    pub fn has_before(&self, service: &ServiceId, waiter: &Waiter) -> bool {
        let state = self.lock();
        state.queue.has_before(service, waiter, clock::now())
    }

    /// Records that a request of the most urgent class of a shared service is sent.
    pub fn record_urgent_sent(&self, service: &ServiceId) {
        self.lock().queue.record_urgent_sent(service);
    }

    /// Returns whether a request that has gained urgency by waiting may be sent without regard to
    /// the reserve.
    #[must_use]
    pub fn has_floor_credit(&self, service: &ServiceId) -> bool {
        self.lock().queue.has_floor_credit(service)
    }

    /// Records that such a request is sent.
    pub fn use_floor_credit(&self, service: &ServiceId) {
        self.lock().queue.use_floor_credit(service);
    }

    /// Removes what is known of services that are no longer shared.
    pub fn retain_services(&self, is_shared: impl Fn(&ServiceId) -> bool) {
        self.lock().queue.retain_services(is_shared);
    }
}

/// A request in the queue. Dropping it removes the request.
#[derive(Debug)]
pub(crate) struct WaitingRequest<'a> {
    shared: &'a Shared,
    service: &'a ServiceId,
    priority: u32,
    ticket: Ticket,
    task: Arc<Notify>,
}

impl<'a> WaitingRequest<'a> {
    /// Adds a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the request would meet its objective no more.
    pub(crate) fn add(
        shared: &'a Shared,
        service: &'a ServiceId,
        waiter: Waiter,
    ) -> Result<Self, NoRoom> {
        let priority = waiter.priority;
        let task = Arc::new(Notify::new());
        let mut state = shared.waiting.lock();
        let ticket = state.queue.add(service, waiter, clock::now())?;
        state.tasks.insert(ticket, Arc::clone(&task));
        drop(state);
        let waiting = Self {
            shared,
            service,
            priority,
            ticket,
            task,
        };
        waiting.gauge().inc();
        Ok(waiting)
    }

    fn gauge(&self) -> prometheus::IntGauge {
        let priority = self.priority.to_compact_string();
        let gauges = &self.shared.metrics.waiting;
        gauges.with_label_values(&[priority.as_str()])
    }

    /// Waits until a server is to be looked for.
    pub(crate) async fn woken(&self) {
        self.task.notified().await;
    }

    /// Wakes the next request: no server has room for this one.
    pub(crate) fn pass_on(&self) {
        self.shared.waiting.lock().wake_next(self.service);
    }

    /// Ends the wait of a request that is sent now.
    pub(crate) fn end_sent(self) {
        let mut state = self.shared.waiting.lock();
        let now = clock::now();
        state.queue.remove_sent(self.service, self.ticket, now);
        // The destructor wakes the next request.
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.gauge().dec();
        let mut state = self.shared.waiting.lock();
        let _waiter = state.queue.remove(self.service, self.ticket);
        state.tasks.remove(&self.ticket);
        state.wake_next(self.service);
    }
}

/// Looks for servers for waiting requests at intervals. Never returns.
pub async fn run_timer(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(WAKE_UP_INTERVAL).await;
        shared.waiting.wake_up();
    }
}
