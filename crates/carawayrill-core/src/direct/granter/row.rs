//! The state of one span: which order is due, and until when grants may run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::granter::Command;
use crate::direct::granter::Config;
use crate::direct::granter::Inputs;
use crate::direct::granter::OrderId;
use crate::direct::granter::OrderResult;
use crate::direct::granter::RenewalTiming;
use crate::direct::granter::SpanOrder;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::direct::servers::Servers;
use crate::direct::spans::FormerHolder;
use crate::direct::spans::Holder;
use crate::direct::spans::SETTLE_FENCES;
use crate::direct::spans::Span;
use crate::time::Time;

/// The wait before an order that failed is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Renewals that fail in a row before a holder counts as lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// An order that was sent and has not ended.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) id: OrderId,
    kind: OrderKind,
    hold: Duration,
    /// Until when grants of the asked server could run before this order.
    previous_until: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderKind {
    Grant,
    Settle,
    Release,
}

/// One span with what is known of its grants.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) span: Span,
    pub(super) in_flight: Option<InFlight>,
    /// When the next order is due.
    pub(super) due: Time,
    /// Until when a grant of the holder may run.
    hold_until: Time,
    /// Until when a grant of the former holder may run.
    former_until: Time,
    /// Until when an unanswered order to the holder may still take effect.
    unsettled_until: Time,
    /// The same for the former holder.
    former_unsettled_until: Time,
    /// The orders that were sent to settle the former holder; each has a fence of its own.
    settle_orders_sent: u64,
    /// Whether another granter recorded the former holder: how far it got is not known.
    inherited: bool,
    /// Whether the holder has acknowledged a grant of this span.
    granted: bool,
    /// Grants to the holder that failed in a row.
    failures: u32,
    /// The time between two renewals.
    renewal: Duration,
    /// Until when the row is not moved by choice again.
    cooldown_until: Time,
    /// Whether a record that is being written gives keys of the span to another holder.
    pub(super) holder_changing: bool,
}

impl Row {
    /// Makes the row of a span that another granter may have granted.
    pub(super) fn inherited(span: Span, now: Time, cfg: &Config) -> Self {
        let until = now + cfg.max_grant_duration(cfg.long_hold);
        // Since the move was recorded, the former holder was granted the span at most for a usual
        // hold, in order to settle it.
        let settled = cfg.max_grant_duration(cfg.hold) + cfg.grant_timeout;
        let former_left = span.former.as_ref().map_or(settled, |former| {
            Duration::from_millis(former.left_ms).max(settled)
        });
        Self {
            span,
            in_flight: None,
            due: now,
            hold_until: until,
            former_until: now + former_left,
            unsettled_until: until,
            former_unsettled_until: now + former_left,
            settle_orders_sent: 0,
            inherited: true,
            granted: true,
            failures: 0,
            renewal: cfg.renewal,
            cooldown_until: now,
            holder_changing: false,
        }
    }

    /// Makes the row of a span that was never granted.
    fn never_granted(span: Span, now: Time, cfg: &Config) -> Self {
        Self {
            span,
            in_flight: None,
            due: now,
            hold_until: now,
            former_until: now,
            unsettled_until: now,
            former_unsettled_until: now,
            settle_orders_sent: 0,
            inherited: false,
            granted: false,
            failures: 0,
            renewal: cfg.renewal,
            cooldown_until: now + cfg.move_cooldown,
            holder_changing: false,
        }
    }

    /// Returns whether requests for the span have to wait.
    pub(super) fn is_moving(&self) -> bool {
        self.span.former.is_some() || !self.granted
    }

    /// Returns the span as fronts should use it.
    pub(super) fn for_fronts(&self) -> Span {
        let mut span = self.span.clone();
        if span.former.is_none() && !self.granted {
            // Not granted yet: fronts treat it like a span whose former holder is not settled.
            span.former = Some(FormerHolder {
                holder: span.holder.clone(),
                fence: span.fence,
                settle: span.fence,
                left_ms: 0,
            });
        }
        span
    }

    /// Returns whether the holder does not answer orders.
    pub(super) fn is_lost(&self) -> bool {
        self.failures >= LOST_AFTER_FAILURES
    }

    /// Returns whether the row may be moved by choice: nothing about it is open.
    pub(super) fn is_movable(&self, now: Time) -> bool {
        !self.is_moving() && self.failures == 0 && now >= self.cooldown_until
    }

    /// Returns how long a grant of the holder may still run.
    pub(super) fn grant_left(&self, now: Time, cfg: &Config) -> Duration {
        let in_flight = self.in_flight.as_ref().map_or(Duration::ZERO, |order| {
            cfg.max_grant_duration(order.hold) + cfg.grant_timeout
        });
        self.hold_until.since(now).max(in_flight)
    }

    /// Returns whether the holder may be replaced by another one.
    ///
    /// While a former holder is recorded, the present one may be replaced only if it was never
    /// asked to take the span, which is not known of an inherited row.
    pub(super) fn is_replaceable(&self) -> bool {
        self.span.former.is_none() || !self.inherited
    }

    /// Returns the order that is due, if any.
    pub(super) fn order(
        &mut self,
        inputs: &Inputs<'_>,
        cfg: &Config,
        timing: RenewalTiming,
        id: OrderId,
    ) -> Option<SpanOrder> {
        if self.in_flight.is_some() || inputs.now < self.due {
            return None;
        }
        let Some(former) = self.span.former.clone() else {
            return self.grant_holder(inputs, cfg, timing, id);
        };
        if is_restarted_elsewhere(&former.holder, inputs.servers) || inputs.now >= self.former_until
        {
            self.clear_former();
            return self.grant_holder(inputs, cfg, timing, id);
        }
        if self.inherited {
            // The holder may have been granted the span already, so that the former one must not
            // be granted anything. Its grants end by themselves.
            self.due = self.former_until;
            return None;
        }
        self.release_former(&former, inputs.now, cfg, id)
    }

    fn clear_former(&mut self) {
        self.span.former = None;
        if self.inherited {
            self.inherited = false;
            self.granted = false;
        }
    }

    /// Grants the span to its holder, unless that life of the server is over.
    ///
    /// A holder that does not answer is asked again and again: it is the recorded one, so that a
    /// grant can do no harm. One that is not listed any more is not given the span anew: the next
    /// holder would have to wait until that grant has run out.
    fn grant_holder(
        &mut self,
        inputs: &Inputs<'_>,
        cfg: &Config,
        timing: RenewalTiming,
        id: OrderId,
    ) -> Option<SpanOrder> {
        if is_restarted(&self.span.holder, inputs.servers) {
            return None;
        }
        let listed = inputs.servers.get(&self.span.holder.server).is_some();
        if !listed && inputs.now >= self.hold_until {
            return None;
        }
        if self.holder_changing && !self.granted {
            // The record that is being written rests on the holder never having been asked.
            return None;
        }
        // That record also says how long the holder's grants may run.
        let hold = if self.holder_changing {
            cfg.hold
        } else {
            timing.hold
        };
        self.renewal = timing.renewal;
        let handover = if self.granted {
            None
        } else {
            self.span.handover.clone()
        };
        let fence = self.span.fence;
        let to = self.span.holder.clone();
        let before = self.hold_until;
        self.hold_until = before.max(inputs.now + cfg.max_grant_duration(hold));
        let order = InFlight {
            id,
            kind: OrderKind::Grant,
            hold,
            previous_until: before,
        };
        Some(self.send(order, to, fence, handover, cfg))
    }

    /// Asks the former holder to let go, after a grant that makes it refuse late orders.
    fn release_former(
        &mut self,
        former: &FormerHolder,
        now: Time,
        cfg: &Config,
        id: OrderId,
    ) -> Option<SpanOrder> {
        let to = former.holder.clone();
        let before = self.former_until;
        if now >= self.former_unsettled_until {
            let order = InFlight {
                id,
                kind: OrderKind::Release,
                hold: Duration::ZERO,
                previous_until: before,
            };
            return Some(self.send(order, to, self.former_fence(former), None, cfg));
        }
        if self.settle_orders_sent >= SETTLE_FENCES {
            // No fence is left: only time settles the former holder.
            self.due = self.former_unsettled_until;
            return None;
        }
        let fence = Fence(former.settle.0 + self.settle_orders_sent);
        self.settle_orders_sent += 1;
        self.former_until = before.max(now + cfg.max_grant_duration(cfg.hold));
        let order = InFlight {
            id,
            kind: OrderKind::Settle,
            hold: cfg.hold,
            previous_until: before,
        };
        Some(self.send(order, to, fence, None, cfg))
    }

    /// Returns the highest fence under which the former holder may have been granted the span.
    fn former_fence(&self, former: &FormerHolder) -> Fence {
        match self.settle_orders_sent {
            0 => former.fence,
            sent => Fence(former.settle.0 + sent - 1),
        }
    }

    fn send(
        &mut self,
        order: InFlight,
        to: Holder,
        fence: Fence,
        handover: Option<Handover>,
        cfg: &Config,
    ) -> SpanOrder {
        let hold = order.hold;
        let (command, timeout) = match order.kind {
            OrderKind::Grant | OrderKind::Settle => {
                (Command::Grant { hold, handover }, cfg.grant_timeout)
            }
            OrderKind::Release => (Command::Release, cfg.release_timeout),
        };
        let sent = SpanOrder {
            id: order.id,
            to,
            range: self.span.range,
            fence,
            command,
            timeout,
        };
        self.in_flight = Some(order);
        sent
    }

    /// Takes in the end of the order in flight.
    pub(super) fn order_ended(&mut self, result: &OrderResult, now: Time, cfg: &Config) {
        let Some(order) = self.in_flight.take() else {
            return;
        };
        let failed = matches!(result, OrderResult::NotSent | OrderResult::Unknown);
        if order.kind == OrderKind::Grant {
            // The holder is not to blame for a former holder that does not answer.
            self.failures = if failed { self.failures + 1 } else { 0 };
        }
        match result {
            OrderResult::Unknown => self.note_unsettled(&order, now, cfg),
            OrderResult::NotSent => self.note_not_sent(&order),
            OrderResult::Done(_) | OrderResult::Fenced => {}
        }
        self.due = if failed { now + RETRY_DELAY } else { now };
        match (order.kind, result) {
            (OrderKind::Grant, OrderResult::Done(_)) => self.record_grant(now, cfg, order.hold),
            (OrderKind::Grant, OrderResult::Fenced) => self.failures = LOST_AFTER_FAILURES,
            (OrderKind::Settle, OrderResult::Done(_) | OrderResult::Fenced) => {
                self.former_unsettled_until = now;
            }
            (OrderKind::Release, OrderResult::Done(handover)) => {
                self.span.former = None;
                self.span.handover.clone_from(handover);
            }
            (OrderKind::Release, OrderResult::Fenced)
            | (_, OrderResult::NotSent | OrderResult::Unknown) => {}
        }
    }

    fn record_grant(&mut self, now: Time, cfg: &Config, hold: Duration) {
        self.granted = true;
        self.hold_until = self.hold_until.max(now + cfg.max_grant_duration(hold));
        self.due = now + self.renewal;
    }

    /// Takes back the time that was added for a grant that never left.
    fn note_not_sent(&mut self, order: &InFlight) {
        match order.kind {
            OrderKind::Grant => self.hold_until = order.previous_until,
            OrderKind::Settle => {
                self.former_until = order.previous_until;
                self.settle_orders_sent -= 1;
            }
            OrderKind::Release => {}
        }
    }

    /// Notes that the order may take effect at any time until its hold would have run out. Its
    /// time counts from its arrival, which lies before the end of the call.
    fn note_unsettled(&mut self, order: &InFlight, now: Time, cfg: &Config) {
        let until = now + cfg.max_grant_duration(order.hold);
        match order.kind {
            OrderKind::Grant => {
                self.unsettled_until = self.unsettled_until.max(until);
                self.hold_until = self.hold_until.max(until);
            }
            OrderKind::Settle => {
                self.former_unsettled_until = self.former_unsettled_until.max(until);
                self.former_until = self.former_until.max(until);
            }
            OrderKind::Release => {}
        }
    }
}

/// Returns whether no order to this life of the server can have any effect: the server began
/// another life elsewhere. A new life at the same address may have taken orders meant for the old
/// one, and has to be asked like it.
fn is_restarted_elsewhere(holder: &Holder, servers: &Servers) -> bool {
    servers
        .get(&holder.server)
        .is_some_and(|server| server.born != holder.born && server.address != holder.address)
}

/// Returns whether this life of the server has ended: it is listed with another one.
fn is_restarted(holder: &Holder, servers: &Servers) -> bool {
    servers
        .get(&holder.server)
        .is_some_and(|server| server.born != holder.born)
}

/// Makes the row of a stored span out of the rows before that record.
pub(super) fn carry_over(
    old: &BTreeMap<KeyRange, Row>,
    span: &Span,
    now: Time,
    cfg: &Config,
) -> Row {
    let overlapping: Vec<&Row> = old
        .values()
        .filter(|row| row.span.range.overlaps(span.range))
        .collect();
    let Some(first) = overlapping.first() else {
        return Row::never_granted(span.clone(), now, cfg);
    };
    let same = first.span.fence == span.fence && first.span.holder == span.holder;
    if same {
        return Row {
            span: Span {
                former: first.span.former.clone(),
                handover: first.span.handover.clone(),
                ..span.clone()
            },
            ..(*first).clone()
        };
    }
    if first.span.former.is_some() && span.former == first.span.former {
        // Only the holder that was never asked is replaced. An order to the former holder that is
        // on its way goes on for the new row.
        return Row {
            in_flight: first.in_flight.clone(),
            due: first.due,
            former_until: first.former_until,
            former_unsettled_until: first.former_unsettled_until,
            settle_orders_sent: first.settle_orders_sent,
            ..Row::never_granted(span.clone(), now, cfg)
        };
    }
    let latest = |f: fn(&Row) -> Time| overlapping.iter().map(|row| f(row)).max().unwrap_or(now);
    let latest_grant_end = overlapping
        .iter()
        .map(|row| now + row.grant_left(now, cfg))
        .max()
        .unwrap_or(now);
    let unsettled = if overlapping.iter().any(|row| row.in_flight.is_some()) {
        latest_grant_end
    } else {
        now
    };
    Row {
        former_until: latest_grant_end,
        former_unsettled_until: latest(|row| row.unsettled_until).max(unsettled),
        ..Row::never_granted(span.clone(), now, cfg)
    }
}
