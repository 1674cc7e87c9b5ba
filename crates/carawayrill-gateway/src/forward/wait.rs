//! Waits at this front for a server of a service that routes of different priority share.

use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::priority::queue::NoRoom;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::direct::priority::waiting::send_by;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::time::Time;
use compact_str::ToCompactString;

use super::Forwarder;
use super::Reply;
use super::choose::NextStep;
use super::refusal::Refusal;
use crate::clock;
use crate::state::Tables;
use crate::waiting::WaitingRequest;

/// How the wait of a request has ended.
#[derive(Debug)]
pub(super) enum WaitEnd {
    /// A server has room for it.
    Send(Box<Server>, Option<Fence>),
    /// It is handled as if it had just arrived: this front was cut off, or the request may not be
    /// sent any more.
    Restart,
    /// It is refused.
    Refuse(Reply),
}

impl Forwarder<'_> {
    /// Returns whether the request may wait in the queue: its service is unkeyed and shared by
    /// routes of different priority, and no server may have run it.
    pub(super) fn may_queue(&self, tables: &Tables) -> bool {
        !self.request.keyed
            && !self.sends.may_have_run()
            && self.server_error.is_none()
            && self.contends(tables)
    }

    /// Returns whether the request's class gives way to another one of its service, or another one to
    /// it.
    fn contends(&self, tables: &Tables) -> bool {
        let classes = tables.shared_classes(&self.request.matched.service);
        let priority = self.request.matched.route.priority;
        classes.iter().any(|class| class.priority == priority)
    }

    /// Returns the request as one that waits. `idle_ms` is the response time of an idle server.
    pub(super) fn waiter(&self, idle_ms: f64) -> Waiter {
        Waiter {
            priority: self.request.matched.route.priority,
            received: self.request.received,
            objective: self.request.objective,
            send_by: send_by(self.request.objective, idle_ms),
            is_excess: false,
            bytes: self.request.body.len(),
        }
    }

    /// Chooses the next step of a request that does not wait yet. While others wait that are before
    /// it, it waits behind them, and no server is looked for.
    pub(super) fn choose_first(&self, now: Time) -> NextStep {
        let behind = {
            let mut tables = self.shared.tables();
            if self.may_queue(&tables) {
                let waiter = self.waiter(self.idle_ms(&tables, now));
                let service = &self.request.matched.service;
                let has_before = self.shared.waiting.has_before(service, &waiter);
                has_before.then(|| (self.queue_refusal(&mut tables, "queue-late", now), waiter))
            } else {
                None
            }
        };
        match behind {
            Some((refusal, waiter)) => NextStep::WaitForRoom(refusal, waiter),
            None => self.choose_next(now),
        }
    }

    /// Waits for a server with room. `refusal` applies if the request may not wait.
    pub(super) async fn wait_for_room(&mut self, refusal: Refusal, waiter: Waiter) -> WaitEnd {
        let began = clock::now();
        let send_by = waiter.send_by;
        let service = &self.request.matched.service;
        let waiting = match WaitingRequest::add(self.shared, service, waiter) {
            Ok(waiting) => waiting,
            Err(no_room) => return WaitEnd::Refuse(self.refuse_no_room(no_room, refusal)),
        };
        let end = self.run_wait(waiting, send_by).await;
        self.waited += clock::now().since(began);
        if let Some(end) = end {
            return end;
        }
        let now = clock::now();
        let refusal = {
            let mut tables = self.shared.tables();
            self.queue_refusal(&mut tables, "queue-expired", now)
        };
        WaitEnd::Refuse(self.refuse(refusal))
    }

    /// Waits until the request can be sent, or until `send_by` has passed.
    async fn run_wait(&self, waiting: WaitingRequest<'_>, send_by: Time) -> Option<WaitEnd> {
        loop {
            let left = send_by.since(clock::now());
            tokio::time::timeout(left, waiting.woken()).await.ok()?;
            if self.shared.is_cut_off() {
                return Some(WaitEnd::Restart);
            }
            match self.choose_next(clock::now()) {
                NextStep::Send(server, fence) => {
                    waiting.end_sent();
                    return Some(WaitEnd::Send(server, fence));
                }
                NextStep::WaitForOwner => return Some(WaitEnd::Restart),
                NextStep::Refuse(_) | NextStep::WaitForRoom(..) => waiting.pass_on(),
            }
        }
    }

    fn refuse_no_room(&mut self, no_room: NoRoom, refusal: Refusal) -> Reply {
        let reason = match no_room {
            NoRoom::Full => "queue-full",
            NoRoom::TooLate => refusal.reason,
        };
        self.refuse(Refusal { reason, ..refusal })
    }

    /// Returns the refusal of a request that can't wait any longer.
    fn queue_refusal(&self, tables: &mut Tables, reason: &'static str, now: Time) -> Refusal {
        let idle_ms = self.idle_ms(tables, now);
        let reserve = self.reserve(tables, self.request.matched.route.priority);
        Refusal::new(reason, reserve.retry_after(idle_ms, &mut tables.rng))
    }

    /// Returns the reply to a request that is refused for lack of capacity, and counts it.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Reply {
        let priority = self.request.matched.route.priority;
        let is_shared = self.contends(&self.shared.tables());
        if is_shared {
            let label = priority.to_compact_string();
            let refused = &self.shared.metrics.refused;
            refused.with_label_values(&[label.as_str()]).inc();
        }
        self.load_estimate = refusal.load_estimate;
        self.give_up(refusal.reason, refusal.retry_after)
    }
}

/// Returns the time until one of the servers that may not be used now can be used again, if one is
/// expected to.
pub(super) fn next_usable(
    tables: &Tables,
    candidates: &[Candidate],
    now: Time,
) -> Option<Duration> {
    let waits = candidates.iter().map(|candidate| {
        let busy = tables.loads.get(&candidate.server);
        let busy = busy.map_or(Duration::ZERO, |load| {
            load.paused_until().max(load.backoff_until()).since(now)
        });
        busy.max(tables.limits.wait(&candidate.server, now))
    });
    waits.min()
}
