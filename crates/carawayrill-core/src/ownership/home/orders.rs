//! Orders to servers and the handling of their acknowledgements.

use super::HomeTable;
use super::message::Action;
use super::server::ServerRow;
use super::shard::DesiredOrder;
use super::shard::GrantState;
use super::shard::ServerIncarnation;
use super::shard::ShardRow;
use super::shard::Stopping;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::order::Order;
use crate::order::OrderAck;
use crate::order::OrderReply;
use crate::ownership::limits::add_ms;
use crate::time::ServerTime;
use crate::time::Time;
use crate::time::millis;

/// An acknowledgement with its origin and time.
pub(super) struct ReceivedAck<'a> {
    pub(super) server: &'a ServerId,
    pub(super) incarnation: Incarnation,
    pub(super) clock: ServerTime,
    pub(super) sent: Time,
    pub(super) order: &'a Order,
    pub(super) ack: &'a OrderAck,
}

impl HomeTable {
    /// Starts to probe a server.
    pub(super) fn watch_server(&mut self, now: Time, id: &ServerId) {
        if !self.servers.contains_key(id) {
            self.servers.insert(id.clone(), ServerRow::new(now));
        }
    }

    /// Returns the order that a server should get about a shard now.
    fn desired_order(&self, now: Time, row: &ShardRow, server: &ServerId) -> Option<DesiredOrder> {
        if !row.acting {
            return row.takeover.desired_order(row.stored.token.term);
        }
        if row.ended && row.stopping != Some(Stopping::Quiesced) {
            return None;
        }
        let known = self.servers.get(server)?;
        let id = ServerIncarnation {
            server: server.clone(),
            incarnation: known.incarnation?,
        };
        let open = row
            .grants
            .get(&id)
            .filter(|grant| !grant.has_ended(now, self.has_fencing(row)));
        let revoke = open.map(|grant| DesiredOrder::Revoke(grant.token));
        if row.stopping == Some(Stopping::Quiesced) || *server != row.serving {
            return revoke.or_else(|| self.evidence_order(row, server));
        }
        if self.successor(now, row).is_some() {
            return revoke;
        }
        if !self.is_trusted(row, server) {
            return Some(DesiredOrder::Fence(row.token.term));
        }
        let others_ended = row.grants_ended(now, self.has_fencing(row), Some(&id))
            && self.range_grants_ended(now, row, &id);
        (others_ended || !self.mechanisms.wait_for_grant_end)
            .then_some(DesiredOrder::Grant(row.token))
    }

    /// Returns the order whose acknowledgement shows that the standby home has not taken over.
    fn evidence_order(&self, row: &ShardRow, server: &ServerId) -> Option<DesiredOrder> {
        let missing = !self.is_trusted(row, server) || !self.is_trusted(row, &row.serving);
        (missing && row.is_live()).then_some(DesiredOrder::Fence(row.token.term))
    }

    /// Collects the orders about one shard: to servers that are due, and to others if the order has
    /// changed.
    pub(super) fn collect_orders(&mut self, now: Time, shard: &ShardId, due: &[ServerId]) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        let mut servers: Vec<ServerId> = row.servers().cloned().collect();
        servers.extend(row.grants.keys().map(|id| id.server.clone()));
        servers.sort_unstable();
        servers.dedup();
        let desired_orders: Vec<(ServerId, Option<DesiredOrder>)> = servers
            .into_iter()
            .map(|server| {
                let desired_order = self.desired_order(now, row, &server);
                (server, desired_order)
            })
            .collect();
        for (server, desired_order) in desired_orders {
            self.collect_order(now, shard, server, desired_order, due);
        }
    }

    fn collect_order(
        &mut self,
        now: Time,
        shard: &ShardId,
        server: ServerId,
        desired_order: Option<DesiredOrder>,
        due: &[ServerId],
    ) {
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let Some(desired_order) = desired_order else {
            row.last_orders.remove(&server);
            return;
        };
        if row.last_orders.get(&server) == Some(&desired_order) && !due.contains(&server) {
            return;
        }
        if let Some(order) = self.build_order(now, shard, &server, desired_order) {
            if let Some(row) = self.rows.get_mut(shard) {
                row.last_orders.insert(server.clone(), desired_order);
            }
            self.batch.entry(server).or_default().push(order);
        }
    }

    /// Creates an order. A grant counts as possibly accepted from now on.
    fn build_order(
        &mut self,
        now: Time,
        shard: &ShardId,
        server: &ServerId,
        desired_order: DesiredOrder,
    ) -> Option<Order> {
        let shard = shard.clone();
        let token = match desired_order {
            DesiredOrder::Grant(token) => token,
            DesiredOrder::Revoke(token) => return Some(Order::Revoke { shard, token }),
            DesiredOrder::Fence(term) => return Some(Order::Fence { shard, term }),
        };
        let policy = self.policy(&shard.service);
        let row = self.rows.get_mut(&shard)?;
        let deadline = policy.deadline(row.last_valid_read?);
        if deadline <= now && self.mechanisms.bound_by_authority {
            return None;
        }
        let known = self.servers.get(server)?;
        let incarnation = known.incarnation?;
        let bound = self.mechanisms.bound_by_authority.then_some(deadline);
        let bounds = known.grant_bounds(&self.limits, bound)?;
        if bounds.possible_end <= now {
            return None;
        }
        let id = ServerIncarnation {
            server: server.clone(),
            incarnation,
        };
        let grant = row.grants.entry(id).or_insert(GrantState {
            token,
            possible_end: bounds.possible_end,
            certain_end: None,
            revoked: false,
            merged_end: Time(0),
        });
        if grant.token != token {
            grant.certain_end = None;
        }
        grant.token = token;
        grant.revoked = false;
        grant.possible_end = grant.possible_end.max(bounds.possible_end);
        Some(Order::Grant {
            shard,
            token,
            until: bounds.until,
            home: self.me.router.clone(),
            incarnation,
        })
    }

    /// Sends the collected orders. A due server gets a message even without orders, as a probe.
    pub(super) fn flush(&mut self, now: Time, due: &[ServerId]) {
        let mut batch = std::mem::take(&mut self.batch);
        for id in due {
            batch.entry(id.clone()).or_default();
            if let Some(server) = self.servers.get_mut(id) {
                server.last_orders_sent = Some(now);
            }
        }
        for (server, orders) in batch {
            self.actions.push(Action::Order { server, orders });
        }
    }

    /// Handles a server's reply to orders.
    pub(super) fn handle_order_reply(
        &mut self,
        now: Time,
        sent: Time,
        orders: &[Order],
        reply: &OrderReply,
    ) {
        let Some(known) = self.servers.get_mut(&reply.server) else {
            return;
        };
        let former = known.incarnation;
        if !known.record_reply(now, reply.incarnation, reply.clock) {
            return;
        }
        known.lost = false;
        known.draining = reply.load.draining;
        if former != known.incarnation {
            self.end_former_incarnations(&reply.server, reply.incarnation);
            self.mark_rows_dirty(&reply.server);
        }
        for (order, ack) in orders.iter().zip(&reply.acks) {
            let received = ReceivedAck {
                server: &reply.server,
                incarnation: reply.incarnation,
                clock: reply.clock,
                sent,
                order,
                ack,
            };
            self.handle_ack(now, &received);
        }
    }

    /// Ends the grants to a server's former incarnations if the server does not check fencing
    /// tokens. Such grants don't end by time, and a server name is reused only after its process
    /// has ended.
    fn end_former_incarnations(&mut self, server: &ServerId, incarnation: Incarnation) {
        let policies = &self.policies;
        let unfenced = |row: &&mut ShardRow| {
            let policy = policies.get(&row.stored.shard.service);
            policy.is_some_and(|policy| !policy.fencing)
        };
        for row in self.rows.values_mut().filter(unfenced) {
            row.grants
                .retain(|id, _| id.server != *server || id.incarnation >= incarnation);
        }
    }

    /// Marks all rows with this server as dirty.
    pub(super) fn mark_rows_dirty(&mut self, server: &ServerId) {
        let rows = self.rows.iter();
        let concerned = rows.filter(|(_, row)| row.servers().any(|id| id == server));
        self.dirty.extend(concerned.map(|(shard, _)| shard.clone()));
    }

    fn handle_ack(&mut self, now: Time, received: &ReceivedAck<'_>) {
        let shard = &received.ack.shard;
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        self.dirty.insert(shard.clone());
        if !row.acting {
            self.record_round_ack(received);
            return;
        }
        let fencing = self.has_fencing(row);
        if fencing && received.ack.highest.term > row.token.term {
            self.supersede(now, shard);
            return;
        }
        if fencing {
            self.clear_other_server(received);
        }
        match *received.order {
            Order::Grant { .. } if received.ack.accepted => self.handle_grant_accepted(received),
            Order::Grant { .. } => self.handle_grant_refused(received),
            Order::Revoke { .. } => self.handle_revoke_ack(received),
            Order::Fence { .. } => {}
        }
    }

    /// Records until when an accepted grant is certainly valid on the local clock.
    fn handle_grant_accepted(&mut self, received: &ReceivedAck<'_>) {
        let Order::Grant { token, until, .. } = *received.order else {
            return;
        };
        let limits = self.limits;
        let Some(row) = self.rows.get_mut(&received.ack.shard) else {
            return;
        };
        let Some(grant) = row.grants.get_mut(&received.server_incarnation()) else {
            return;
        };
        if grant.token != token {
            return;
        }
        let left = millis(until.since(received.clock));
        let certain = add_ms(received.sent, limits.min_local_ms(left));
        let first = grant.certain_end.is_none();
        grant.certain_end = grant.certain_end.max(Some(certain));
        if first {
            self.emit(EventKind::Granted {
                shard: received.ack.shard.clone(),
                server: received.server.clone(),
                token,
            });
        }
    }

    /// Handles a refused grant. A token that the server has closed is not used again.
    fn handle_grant_refused(&mut self, received: &ReceivedAck<'_>) {
        let Some(row) = self.rows.get_mut(&received.ack.shard) else {
            return;
        };
        let highest = received.ack.highest;
        let closed = highest.term == row.token.term && highest >= row.token;
        if closed && row.serving == *received.server && row.is_live() {
            row.token = highest.next_epoch();
        }
    }

    /// Handles the acknowledgement of a revocation.
    fn handle_revoke_ack(&mut self, received: &ReceivedAck<'_>) {
        let Order::Revoke { token, .. } = *received.order else {
            return;
        };
        let Some(row) = self.rows.get_mut(&received.ack.shard) else {
            return;
        };
        let Some(grant) = row.grants.get_mut(&received.server_incarnation()) else {
            return;
        };
        let ends = received.ack.accepted && received.ack.running == 0 && grant.token <= token;
        if ends && !grant.revoked {
            grant.revoked = true;
            grant.certain_end = None;
            self.emit(EventKind::Revoked {
                shard: received.ack.shard.clone(),
                server: received.server.clone(),
                token,
            });
        }
    }
}

impl ReceivedAck<'_> {
    fn server_incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            server: self.server.clone(),
            incarnation: self.incarnation,
        }
    }
}
