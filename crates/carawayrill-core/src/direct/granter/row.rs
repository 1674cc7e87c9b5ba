//! The state machine of one span: which order is due, and until when grants may be valid.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::granter::Command;
use crate::direct::granter::Config;
use crate::direct::granter::Inputs;
use crate::direct::granter::OrderId;
use crate::direct::granter::OrderResult;
use crate::direct::granter::RenewalTiming;
use crate::direct::granter::SpanOrder;
use crate::direct::incarnation::IncarnationOrder;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::direct::servers::Server;
use crate::direct::servers::Servers;
use crate::direct::spans::FormerHolder;
use crate::direct::spans::Holder;
use crate::direct::spans::SETTLE_FENCES;
use crate::direct::spans::Span;
use crate::time::Time;

/// The delay before a failed order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The number of consecutive failed grants after which a holder counts as lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// An order whose result is not known yet.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) id: OrderId,
    kind: OrderKind,
    hold: Duration,
    /// The time until which earlier grants of the same server may be valid. It is restored if the
    /// order was not sent.
    previous_until: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderKind {
    Grant,
    Settle,
    Release,
}

/// One span and the state of its grants.
///
/// The times until which grants may be valid are on this process's clock, and include an allowance
/// for slow server clocks.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) span: Span,
    pub(super) in_flight: Option<InFlight>,
    /// The time at which the next order is due.
    pub(super) due: Time,
    /// The time until which a grant of the holder may be valid.
    hold_until: Time,
    /// The time until which a grant of the former holder may be valid.
    former_until: Time,
    /// The time until which an unacknowledged order to the holder may still take effect.
    unsettled_until: Time,
    /// The time until which an unacknowledged order to the former holder may still take effect.
    former_unsettled_until: Time,
    /// The number of orders that were sent to settle the former holder, each with its own fence.
    settle_orders_sent: u64,
    /// Whether an earlier granter recorded this span, so that the progress of its move is unknown.
    inherited: bool,
    /// Whether the holder has acknowledged a grant of this span, or may have one from an earlier
    /// granter.
    granted: bool,
    /// The number of consecutive failed grants to the holder.
    failures: u32,
    /// The interval between renewals.
    renewal: Duration,
    /// The time until which the span is not moved again for balance.
    cooldown_until: Time,
    /// Whether the record that is being written moves keys of this span to another holder.
    pub(super) holder_changing: bool,
}

impl Row {
    /// Creates the row of a stored span that an earlier granter may have granted.
    pub(super) fn inherited(span: Span, now: Time, cfg: &Config) -> Self {
        let until = now + cfg.max_grant_duration(cfg.long_hold);
        // After a move was recorded, the former holder receives only settle orders, which are valid
        // for `hold`.
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

    /// Creates the row of a span whose holder is granted it at `due`, when all other grants of its
    /// keys have expired.
    pub(super) fn withheld(span: Span, due: Time, cfg: &Config) -> Self {
        Self {
            due,
            ..Self::never_granted(span, due, cfg)
        }
    }

    /// Creates the row of a span that was never granted.
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

    /// Returns the span as fronts have to use it: `former` is set while requests have to wait.
    pub(super) fn for_fronts(&self) -> Span {
        let mut span = self.span.clone();
        if span.former.is_none() && !self.granted {
            // Without a grant, fronts have to wait as they do for an unsettled former holder.
            span.former = Some(FormerHolder {
                holder: span.holder.clone(),
                fence: span.fence,
                settle: span.fence,
                left_ms: 0,
            });
        }
        span
    }

    /// Returns whether the holder counts as lost, because several grants in a row failed or because
    /// it has seen a higher fence.
    pub(super) fn is_lost(&self) -> bool {
        self.failures >= LOST_AFTER_FAILURES
    }

    /// Returns whether the span may be moved for balance: it is not moving, its last grant did not
    /// fail, and its cooldown has ended.
    pub(super) fn is_movable(&self, now: Time) -> bool {
        !self.is_moving() && self.failures == 0 && now >= self.cooldown_until
    }

    /// Returns whether the span may be merged with a neighbour of the same holder: the holder serves
    /// it, and no order is on its way, not even one of an earlier granter.
    pub(super) fn is_mergeable(&self, now: Time) -> bool {
        let is_calm = self.in_flight.is_none() && self.failures == 0;
        is_calm && !self.is_moving() && now < self.hold_until && now >= self.unsettled_until
    }

    /// Returns how long a grant of the holder may still be valid.
    pub(super) fn grant_left(&self, now: Time, cfg: &Config) -> Duration {
        let in_flight = self.in_flight.as_ref().map_or(Duration::ZERO, |order| {
            cfg.max_grant_duration(order.hold) + cfg.grant_timeout
        });
        self.hold_until.since(now).max(in_flight)
    }

    /// Returns whether the holder may be replaced by another one.
    ///
    /// While a former holder is recorded, the current one may be replaced only if it was never sent
    /// a grant. For an inherited row this is unknown.
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
            // The earlier granter may already have sent a grant to the holder, so the former holder
            // must not receive a settle order, which is a grant too. Wait until its grants have
            // expired.
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

    /// Sends a grant to the holder, unless that incarnation of the server has ended.
    ///
    /// A holder that does not answer is retried without limit: it is the recorded holder, so a late
    /// grant is harmless. A holder that is no longer listed gets no new grant after its last one
    /// has expired, because the next holder would have to wait for the end of that grant.
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
            // The record that is being written assumes that this holder was never sent a grant.
            return None;
        }
        // That record also contains the remaining validity of the holder's grants, so a grant must
        // not be longer than usual now.
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

    /// Sends the next order to the former holder: a release once it is settled, otherwise a grant
    /// under a settle fence, which makes it refuse delayed orders with lower fences.
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
            // All settle fences are used. The former holder is settled once all orders to it have
            // expired.
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

    /// Returns the highest fence under which the former holder may have a grant of the span.
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

    /// Records the result of the order in flight.
    pub(super) fn order_ended(&mut self, result: &OrderResult, now: Time, cfg: &Config) {
        let Some(order) = self.in_flight.take() else {
            return;
        };
        let failed = matches!(result, OrderResult::NotSent | OrderResult::Unknown);
        if order.kind == OrderKind::Grant {
            // Failures of the former holder don't count against the holder.
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

    /// Restores the times from before an order that was not sent.
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

    /// Records that an order without a known result may take effect until its hold has expired. The
    /// hold counts from the arrival of the order, which is before the end of the call.
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

/// Returns whether no order to this incarnation of the server can have any effect: a later one is
/// listed at another address. A later incarnation at the same address may have received orders for
/// the former one, so it has to be settled in the same way.
fn is_restarted_elsewhere(holder: &Holder, servers: &Servers) -> bool {
    later_incarnation(holder, servers).is_some_and(|server| server.address != holder.address)
}

/// Returns whether this incarnation of the server has ended: a later one is listed.
fn is_restarted(holder: &Holder, servers: &Servers) -> bool {
    later_incarnation(holder, servers).is_some()
}

/// Returns the entry of the server if it is of a later incarnation. An earlier one may be listed too:
/// the record may be ahead of the list, and the store may carry out a write late.
fn later_incarnation<'a>(holder: &Holder, servers: &'a Servers) -> Option<&'a Server> {
    servers
        .get(&holder.server)
        .filter(|server| server.born.relative_to(holder.born) == IncarnationOrder::Later)
}

/// Creates the row of a span that replaces neighbouring ones of the same holder. The holder goes on
/// with its grants of them, so callers don't wait for the grant of the new span.
fn merged(overlapping: &[&Row], span: &Span, now: Time, cfg: &Config) -> Row {
    let latest = |f: fn(&Row) -> Time| overlapping.iter().map(|row| f(row)).max().unwrap_or(now);
    let grant_end = |row: &&Row| now + row.grant_left(now, cfg);
    let in_flight = overlapping.iter().filter(|row| row.in_flight.is_some());
    let unsettled = in_flight.map(grant_end).max().unwrap_or(now);
    Row {
        hold_until: overlapping.iter().map(grant_end).max().unwrap_or(now),
        unsettled_until: latest(|row| row.unsettled_until).max(unsettled),
        cooldown_until: latest(|row| row.cooldown_until),
        granted: true,
        ..Row::never_granted(span.clone(), now, cfg)
    }
}

/// Creates the row of a span in a new record from the rows of the record before it.
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
    let same_holder = overlapping
        .iter()
        .all(|row| row.span.holder == span.holder && row.granted && row.span.former.is_none());
    if same_holder && span.former.is_none() {
        return merged(&overlapping, span, now, cfg);
    }
    if first.span.former.is_some() && span.former == first.span.former {
        // Only the new holder changes, and it was never sent a grant. The new row keeps the order
        // to the former holder that may be in flight.
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
