//! The slots of one server and the queue of requests that wait for them.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::answer::estimate::ServiceTime;
use crate::answer::fair::FairQueue;
use crate::answer::fair::QueuedRequest;
use crate::answer::ramp::Ramp;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::data;
use crate::id::RequestId;
use crate::order::LoadReport;
use crate::time::Time;

/// Connections of a server that are reserved for orders and cancellations.
const CONTROL_CONNECTIONS: u32 = 2;
/// How long a server's load report stays in effect.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// How long after its deadline an abandoned request keeps its slot, because the server may still
/// run it.
const ABANDONED_SLOT_HOLD: Duration = Duration::from_secs(2);
/// The longest retry delay that a queue suggests to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

data! {
    /// The declared limits of one server.
    #[derive(Copy)]
    pub struct ServerLimits {
        /// Requests that the server runs at a time.
        pub slots: u32,
        /// Connections that the server accepts.
        pub connections: u32,
        /// Requests that may wait for the server.
        pub queue: u32,
        /// Time in which the server reaches its full capacity after a start.
        pub warm_up: Duration,
    }

    /// A decision about a waiting request.
    pub enum QueueAction {
        /// The request has a slot and has to be sent.
        Send(RequestId),
        /// The request gets no slot.
        Refuse(RequestId, Refusal),
    }

    /// How a request that had a slot ended at its server.
    #[derive(Copy)]
    pub enum Completion {
        /// The server answered this long after the request was sent.
        Answered(Duration),
        /// The server shed the request.
        Shed,
        /// The request ended in a way that gives no sample of the service time.
        Other,
    }
}

#[derive(Debug, Clone)]
struct RunningRequest {
    caller: CompactString,
    charged_time: Duration,
    sent: Time,
    /// Set once no caller waits for the answer; at this time the slot is freed even without an
    /// answer.
    abandoned_until: Option<Time>,
}

/// The slots of one server and the requests that wait for them.
///
/// A request holds its slot until the server has answered, refused or acknowledged its
/// cancellation, even if the caller has disconnected, because the server may still run it. The slot
/// of an abandoned request is freed after a bounded time.
#[derive(Debug, Clone)]
pub struct ServerQueue {
    limits: ServerLimits,
    ramp: Ramp,
    service_time: ServiceTime,
    waiting: FairQueue,
    running: BTreeMap<RequestId, RunningRequest>,
    control_calls: u32,
    report: Option<(Time, u32)>,
    draining: bool,
}

impl ServerQueue {
    /// Creates the queue of a server that starts cold at `now`.
    #[must_use]
    pub fn new(limits: ServerLimits, now: Time) -> Self {
        Self {
            limits,
            ramp: Ramp::new(limits.slots, limits.warm_up, now),
            service_time: ServiceTime::default(),
            waiting: FairQueue::default(),
            running: BTreeMap::new(),
            control_calls: 0,
            report: None,
            draining: false,
        }
    }

    /// Creates the queue of a server that has served before, under another home.
    #[must_use]
    pub fn warm(limits: ServerLimits, now: Time) -> Self {
        Self {
            ramp: Ramp::warm(limits.slots, limits.warm_up, now),
            ..Self::new(limits, now)
        }
    }

    /// Checks whether a request would be accepted now, without changing anything.
    ///
    /// # Errors
    ///
    /// Fails with the final answer to the request.
    pub fn check_admission(&self, now: Time, request: &QueuedRequest) -> Result<(), Refusal> {
        if self.draining {
            return Err(RefusalReason::Draining.into());
        }
        if request.deadline <= now {
            return Err(RefusalReason::DeadlinePassed.into());
        }
        let ahead = self.waiting.ahead_of(&request.caller, request.deadline);
        self.check_deadline(now, ahead, request.deadline)?;
        if self.is_full() && !self.would_evict_for(&request.caller) {
            return Err(self.queue_full(now));
        }
        Ok(())
    }

    /// Adds a request. In a full queue it may replace a request of a caller that has more requests
    /// waiting.
    ///
    /// # Errors
    ///
    /// Fails with the final answer to the request.
    pub fn offer(
        &mut self,
        now: Time,
        request: QueuedRequest,
    ) -> Result<Vec<QueueAction>, Refusal> {
        self.check_admission(now, &request)?;
        let mut actions = Vec::new();
        if self.is_full() {
            let own = self.waiting.waiting_by_caller(&request.caller);
            let evicted = self.waiting.evict_from_longest_backlog(own + 1);
            actions.extend(evicted.map(|evicted| {
                let refusal = Refusal::new(RefusalReason::CallerLimit, "others wait as well")
                    .with_retry_after(self.retry_after(now));
                QueueAction::Refuse(evicted.request, refusal)
            }));
        }
        self.waiting.push(request);
        actions.extend(self.dispatch(now));
        Ok(actions)
    }

    /// Sends requests into free slots, refuses requests that can't meet their deadline, and frees
    /// slots that abandoned requests have held for their full time. Must be called on each tick.
    pub fn tick(&mut self, now: Time) -> Vec<QueueAction> {
        let overdue = |run: &RunningRequest| run.abandoned_until.is_some_and(|until| until <= now);
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| overdue(run))
            .map(|(request, _)| request.clone())
            .collect();
        for request in ended {
            self.release_slot(now, &request, None);
        }
        let mut actions = self.dispatch(now);
        actions.extend(self.refuse_unmeetable(now));
        actions
    }

    /// Records how a request with a slot ended at the server, and sends the next requests into free
    /// slots.
    pub fn complete(
        &mut self,
        now: Time,
        request: &RequestId,
        completion: Completion,
    ) -> Vec<QueueAction> {
        match completion {
            Completion::Answered(took) => {
                if self.release_slot(now, request, Some(took)) {
                    self.service_time.observe(took);
                    self.ramp.answered();
                }
            }
            Completion::Shed => {
                if self.release_slot(now, request, None) {
                    self.ramp.shed(now);
                }
            }
            Completion::Other => {
                self.release_slot(now, request, None);
            }
        }
        self.dispatch(now)
    }

    /// Records that no caller waits any longer for a request that may still run.
    ///
    /// The request keeps its slot until it ends, or for a bounded time after `deadline`, by which
    /// the server has stopped it.
    pub fn abandon(&mut self, now: Time, request: &RequestId, deadline: Time) {
        if let Some(run) = self.running.get_mut(request) {
            run.abandoned_until = Some(deadline.max(now) + ABANDONED_SLOT_HOLD);
            self.service_time.observe_at_least(now.since(run.sent));
        }
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        self.waiting.remove(request)
    }

    /// Records the server's own report of its load.
    ///
    /// The report may be wrong, so its effect is bounded: it expires, and it removes at most half
    /// of the slots. It removes as many slots as the server reports running requests beyond those
    /// of this home. A report of fewer running requests has no effect.
    pub fn report(&mut self, now: Time, report: LoadReport) {
        let own = count(self.running.len());
        let other_running = report.running.saturating_sub(own);
        self.report = Some((now, other_running));
    }

    /// Restarts the warm-up, for a server that was restarted.
    pub fn restart(&mut self, now: Time) {
        self.ramp = Ramp::new(self.limits.slots, self.limits.warm_up, now);
        self.service_time = ServiceTime::default();
        self.report = None;
    }

    /// Changes the declared limits.
    pub fn set_limits(&mut self, now: Time, limits: ServerLimits) {
        if limits.slots != self.limits.slots {
            self.ramp = Ramp::warm(limits.slots, limits.warm_up, now);
        }
        self.limits = limits;
    }

    /// Refuses all waiting requests and all later ones. Requests that have a slot continue.
    pub fn drain(&mut self) -> Vec<QueueAction> {
        self.draining = true;
        let mut actions = Vec::with_capacity(self.waiting.len());
        while let Some(waiting) = self.waiting.pop() {
            let refusal = RefusalReason::Draining.into();
            actions.push(QueueAction::Refuse(waiting.request, refusal));
        }
        actions
    }

    /// Reserves a connection for a control call, such as a cancellation. Returns false if none is
    /// free.
    pub fn start_control_call(&mut self) -> bool {
        let free = self.connections() < self.limits.connections.max(CONTROL_CONNECTIONS);
        if free {
            self.control_calls += 1;
        }
        free
    }

    /// Records that a control call has ended.
    pub fn end_control_call(&mut self) {
        self.control_calls = self.control_calls.saturating_sub(1);
    }

    /// Returns the number of connections in use.
    #[must_use]
    pub fn connections(&self) -> u32 {
        count(self.running.len()) + self.control_calls
    }

    /// Returns the number of requests that have a slot, including abandoned ones.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        count(self.running.len())
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        count(self.waiting.len())
    }

    /// Returns the number of slots that may be used now.
    #[must_use]
    pub fn usable_slots(&self, now: Time) -> u32 {
        let for_requests = self.limits.connections.saturating_sub(CONTROL_CONNECTIONS);
        let slots = self.ramp.usable_slots(now).min(for_requests.max(1));
        let (at, other_running) = self.report.unwrap_or_default();
        let fresh = now.since(at) <= REPORT_TTL;
        let reduction = if fresh {
            other_running.min(slots / 2)
        } else {
            0
        };
        slots - reduction
    }

    /// Returns the retry delay to suggest for a request that is refused now.
    #[must_use]
    pub fn retry_after(&self, now: Time) -> Duration {
        let waiting = self.waiting.len();
        self.expected_wait(now, waiting).min(MAX_RETRY_AFTER)
    }

    /// Sends the next requests into free slots.
    fn dispatch(&mut self, now: Time) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        while self.in_flight() < self.usable_slots(now) {
            let Some(next) = self.waiting.pop() else {
                break;
            };
            match self.check_send(now, &next) {
                Ok(()) => actions.push(self.start(now, next)),
                Err(refusal) => actions.push(QueueAction::Refuse(next.request, refusal)),
            }
        }
        actions
    }

    /// Checks a request that has a slot.
    ///
    /// While no other request runs, the request is sent even if the estimated service time exceeds
    /// its deadline: without new samples, a wrong estimate would never be corrected.
    fn check_send(&self, now: Time, next: &QueuedRequest) -> Result<(), Refusal> {
        if next.deadline <= now {
            return Err(RefusalReason::DeadlinePassed.into());
        }
        let mean = self.service_time.mean().unwrap_or_default();
        if now + mean > next.deadline && !self.running.is_empty() {
            return Err(self.cannot_meet(now));
        }
        Ok(())
    }

    fn start(&mut self, now: Time, next: QueuedRequest) -> QueueAction {
        let charged_time = self.service_time.mean().unwrap_or(Duration::from_millis(1));
        self.waiting.charge(&next.caller, charged_time);
        let running = RunningRequest {
            caller: next.caller,
            charged_time,
            sent: now,
            abandoned_until: None,
        };
        self.running.insert(next.request.clone(), running);
        QueueAction::Send(next.request)
    }

    fn release_slot(&mut self, now: Time, request: &RequestId, took: Option<Duration>) -> bool {
        let Some(run) = self.running.remove(request) else {
            return false;
        };
        let took = took.unwrap_or_else(|| now.since(run.sent));
        self.waiting
            .correct_charge(&run.caller, run.charged_time, took);
        true
    }

    fn refuse_unmeetable(&mut self, now: Time) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        for (ahead, waiting) in self.waiting.with_requests_ahead() {
            if let Err(refusal) = self.check_deadline(now, ahead, waiting.deadline) {
                self.waiting.remove(&waiting.request);
                actions.push(QueueAction::Refuse(waiting.request, refusal));
            }
        }
        actions
    }

    fn check_deadline(&self, now: Time, ahead: usize, deadline: Time) -> Result<(), Refusal> {
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed.into());
        }
        let free = self.usable_slots(now).saturating_sub(self.in_flight());
        if count(ahead) < free {
            return Ok(());
        }
        let service = self.service_time.mean_plus_deviation().unwrap_or_default();
        if now + self.expected_wait(now, ahead) + service > deadline {
            return Err(self.cannot_meet(now));
        }
        Ok(())
    }

    /// Returns the expected time until a request with `ahead` others before it gets a slot.
    fn expected_wait(&self, now: Time, ahead: usize) -> Duration {
        let pause = self.ramp.pause_left(now);
        let slots = self.usable_slots(now + pause).max(1);
        let free = slots.saturating_sub(self.in_flight());
        let ends_needed = (count(ahead) + 1).saturating_sub(free);
        let mean = self.service_time.mean().unwrap_or_default();
        pause + mean * ends_needed / slots
    }

    fn is_full(&self) -> bool {
        self.waiting() >= self.limits.queue
    }

    fn would_evict_for(&self, caller: &CompactString) -> bool {
        self.waiting.longest_backlog() > self.waiting.waiting_by_caller(caller) + 1
    }

    fn queue_full(&self, now: Time) -> Refusal {
        let detail = format_compact!("{} requests wait for the server", self.waiting());
        Refusal::new(RefusalReason::QueueFull, detail).with_retry_after(self.retry_after(now))
    }

    fn cannot_meet(&self, now: Time) -> Refusal {
        let mean = self.service_time.mean().unwrap_or_default();
        let detail = format_compact!(
            "{} requests wait, each takes about {} ms",
            self.waiting(),
            mean.as_millis()
        );
        Refusal::new(RefusalReason::CannotMeetDeadline, detail)
            .with_retry_after(self.retry_after(now))
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
