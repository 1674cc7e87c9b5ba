//! Orders to servers and what their acknowledgements mean.

use super::HomeTable;
use super::message::Action;
use super::row::Lane;
use super::row::LaneId;
use super::row::Row;
use super::row::Stopping;
use super::row::Want;
use super::server::ServerRow;
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

/// One acknowledgement with where and when it came from.
pub(super) struct Answer<'a> {
    pub(super) server: &'a ServerId,
    pub(super) run: Incarnation,
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

    /// Returns what a server should be told about a shard now.
    fn want(&self, now: Time, row: &Row, server: &ServerId) -> Option<Want> {
        if !row.acting {
            return row.rounds.want(row.stored.token.term);
        }
        if row.ended && row.stopping != Some(Stopping::Quiesced) {
            return None;
        }
        let known = self.servers.get(server)?;
        let id = LaneId {
            server: server.clone(),
            run: known.run?,
        };
        let open = row
            .lanes
            .get(&id)
            .filter(|lane| !lane.has_ended(now, self.fences(row)));
        let revoke = open.map(|lane| Want::Revoke(lane.token));
        if row.stopping == Some(Stopping::Quiesced) || *server != row.serving {
            return revoke.or_else(|| self.want_evidence(row, server));
        }
        if self.successor(now, row).is_some() {
            return revoke;
        }
        if !self.trusts(row, server) {
            return Some(Want::Fence(row.token.term));
        }
        let others_ended =
            row.lanes_ended(now, self.fences(row), Some(&id)) && self.range_ended(now, row, &id);
        (others_ended || !self.mechanisms.wait_for_grant_end).then_some(Want::Grant(row.token))
    }

    /// Returns the question whose answer shows that the standby home has not taken over.
    fn want_evidence(&self, row: &Row, server: &ServerId) -> Option<Want> {
        let missing = !self.trusts(row, server) || !self.trusts(row, &row.serving);
        (missing && row.is_live()).then_some(Want::Fence(row.token.term))
    }

    /// Collects the orders about one shard: those that changed, and with `due` servers all.
    pub(super) fn collect_orders(&mut self, now: Time, shard: &ShardId, due: &[ServerId]) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        let mut servers: Vec<ServerId> = row.servers().cloned().collect();
        servers.extend(row.lanes.keys().map(|id| id.server.clone()));
        servers.sort_unstable();
        servers.dedup();
        let wants: Vec<(ServerId, Option<Want>)> = servers
            .into_iter()
            .map(|server| {
                let want = self.want(now, row, &server);
                (server, want)
            })
            .collect();
        for (server, want) in wants {
            self.collect_order(now, shard, server, want, due);
        }
    }

    fn collect_order(
        &mut self,
        now: Time,
        shard: &ShardId,
        server: ServerId,
        want: Option<Want>,
        due: &[ServerId],
    ) {
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let Some(want) = want else {
            row.sent.remove(&server);
            return;
        };
        if row.sent.get(&server) == Some(&want) && !due.contains(&server) {
            return;
        }
        if let Some(order) = self.order(now, shard, &server, want) {
            if let Some(row) = self.rows.get_mut(shard) {
                row.sent.insert(server.clone(), want);
            }
            self.batch.entry(server).or_default().push(order);
        }
    }

    /// Makes an order, and counts a grant as possibly accepted from now on.
    fn order(
        &mut self,
        now: Time,
        shard: &ShardId,
        server: &ServerId,
        want: Want,
    ) -> Option<Order> {
        let shard = shard.clone();
        let token = match want {
            Want::Grant(token) => token,
            Want::Revoke(token) => return Some(Order::Revoke { shard, token }),
            Want::Fence(term) => return Some(Order::Fence { shard, term }),
        };
        let policy = self.policy(&shard.service);
        let row = self.rows.get_mut(&shard)?;
        let deadline = policy.deadline(row.basis?);
        if deadline <= now && self.mechanisms.bound_by_authority {
            return None;
        }
        let known = self.servers.get(server)?;
        let run = known.run?;
        let bound = self.mechanisms.bound_by_authority.then_some(deadline);
        let bounds = known.grant(&self.limits, bound)?;
        if bounds.possible_end <= now {
            return None;
        }
        let id = LaneId {
            server: server.clone(),
            run,
        };
        let lane = row.lanes.entry(id).or_insert(Lane {
            token,
            possible_end: bounds.possible_end,
            certain_end: None,
            revoked: false,
            merged_end: Time(0),
        });
        if lane.token != token {
            lane.certain_end = None;
        }
        lane.token = token;
        lane.revoked = false;
        lane.possible_end = lane.possible_end.max(bounds.possible_end);
        Some(Order::Grant {
            shard,
            token,
            until: bounds.until,
            home: self.me.router.clone(),
            incarnation: run,
        })
    }

    /// Sends what was collected; each due server gets a message, if only as a probe.
    pub(super) fn flush(&mut self, now: Time, due: &[ServerId]) {
        let mut batch = std::mem::take(&mut self.batch);
        for id in due {
            batch.entry(id.clone()).or_default();
            if let Some(server) = self.servers.get_mut(id) {
                server.asked = Some(now);
            }
        }
        for (server, orders) in batch {
            self.actions.push(Action::Order { server, orders });
        }
    }

    /// Takes in a server's answer.
    pub(super) fn take_reply(
        &mut self,
        now: Time,
        sent: Time,
        orders: &[Order],
        reply: &OrderReply,
    ) {
        let Some(known) = self.servers.get_mut(&reply.server) else {
            return;
        };
        let former = known.run;
        if !known.hear(now, reply.incarnation, reply.clock) {
            return;
        }
        known.lost = false;
        known.draining = reply.load.draining;
        if former != known.run {
            self.end_former_runs(&reply.server, reply.incarnation);
            self.touch_server(&reply.server);
        }
        for (order, ack) in orders.iter().zip(&reply.acks) {
            let answer = Answer {
                server: &reply.server,
                run: reply.incarnation,
                clock: reply.clock,
                sent,
                order,
                ack,
            };
            self.take_ack(now, &answer);
        }
    }

    /// Ends the lanes of a server's former runs if the server does not check fencing: there is no
    /// end of a grant to wait for, and a name is used again only once its process has ended.
    fn end_former_runs(&mut self, server: &ServerId, run: Incarnation) {
        let policies = &self.policies;
        let unfenced = |row: &&mut Row| {
            let policy = policies.get(&row.stored.shard.service);
            policy.is_some_and(|policy| !policy.fencing)
        };
        for row in self.rows.values_mut().filter(unfenced) {
            row.lanes
                .retain(|id, _| id.server != *server || id.run >= run);
        }
    }

    /// Notes that rows with this server have to be looked at.
    pub(super) fn touch_server(&mut self, server: &ServerId) {
        let rows = self.rows.iter();
        let concerned = rows.filter(|(_, row)| row.servers().any(|id| id == server));
        self.touched
            .extend(concerned.map(|(shard, _)| shard.clone()));
    }

    fn take_ack(&mut self, now: Time, answer: &Answer<'_>) {
        let shard = &answer.ack.shard;
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        self.touched.insert(shard.clone());
        if !row.acting {
            self.take_round(answer);
            return;
        }
        let fencing = self.fences(row);
        if fencing && answer.ack.highest.term > row.token.term {
            self.supersede(now, shard);
            return;
        }
        if fencing {
            self.clear_by_server(answer);
        }
        match *answer.order {
            Order::Grant { .. } if answer.ack.accepted => self.take_granted(answer),
            Order::Grant { .. } => self.take_refused(answer),
            Order::Revoke { .. } => self.take_revoked(answer),
            Order::Fence { .. } => {}
        }
    }

    /// Takes in an accepted grant: until when it is certainly valid on our clock.
    fn take_granted(&mut self, answer: &Answer<'_>) {
        let Order::Grant { token, until, .. } = *answer.order else {
            return;
        };
        let limits = self.limits;
        let Some(row) = self.rows.get_mut(&answer.ack.shard) else {
            return;
        };
        let Some(lane) = row.lanes.get_mut(&answer.lane()) else {
            return;
        };
        if lane.token != token {
            return;
        }
        let left = millis(until.since(answer.clock));
        let certain = add_ms(answer.sent, limits.min_local_ms(left));
        let first = lane.certain_end.is_none();
        lane.certain_end = lane.certain_end.max(Some(certain));
        if first {
            self.emit(EventKind::Granted {
                shard: answer.ack.shard.clone(),
                server: answer.server.clone(),
                token,
            });
        }
    }

    /// Takes in a refused grant: a token that the server has closed is not used again.
    fn take_refused(&mut self, answer: &Answer<'_>) {
        let Some(row) = self.rows.get_mut(&answer.ack.shard) else {
            return;
        };
        let highest = answer.ack.highest;
        let closed = highest.term == row.token.term && highest >= row.token;
        if closed && row.serving == *answer.server && row.is_live() {
            row.token = highest.next_epoch();
        }
    }

    /// Takes in the answer to a revocation.
    fn take_revoked(&mut self, answer: &Answer<'_>) {
        let Order::Revoke { token, .. } = *answer.order else {
            return;
        };
        let Some(row) = self.rows.get_mut(&answer.ack.shard) else {
            return;
        };
        let Some(lane) = row.lanes.get_mut(&answer.lane()) else {
            return;
        };
        let ends = answer.ack.accepted && answer.ack.running == 0 && lane.token <= token;
        if ends && !lane.revoked {
            lane.revoked = true;
            lane.certain_end = None;
            self.emit(EventKind::Revoked {
                shard: answer.ack.shard.clone(),
                server: answer.server.clone(),
                token,
            });
        }
    }
}

impl Answer<'_> {
    fn lane(&self) -> LaneId {
        LaneId {
            server: self.server.clone(),
            run: self.run,
        }
    }
}
