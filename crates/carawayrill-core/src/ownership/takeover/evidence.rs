//! Gathers evidence that the old authority has ended, and decides whether it is sufficient.

use std::collections::BTreeMap;

use super::TakeoverTable;
use super::message::Action;
use super::pending::FenceAck;
use super::pending::PendingChange;
use crate::assignment::Assignment;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::order::Order;
use crate::order::OrderReply;
use crate::ownership::evidence::AssignmentRef;
use crate::ownership::evidence::ReleaseStatus;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::evidence::StandbyStatus;
use crate::ownership::limits::elapsed;
use crate::time::Time;

/// Questions and orders that are sent together.
#[derive(Debug, Default)]
struct Questions {
    releases: BTreeMap<RouterId, Vec<AssignmentRef>>,
    promises: BTreeMap<RouterId, Vec<AssignmentRef>>,
    orders: BTreeMap<ServerId, Vec<Order>>,
}

impl TakeoverTable {
    /// Asks homes, standby homes and servers for evidence.
    pub(super) fn gather_evidence(&mut self, now: Time) {
        let mut questions = Questions::default();
        let shards: Vec<ShardId> = self.pending_changes.keys().cloned().collect();
        for shard in shards {
            self.collect_questions(now, &shard, &mut questions);
        }
        for (router, rows) in questions.releases {
            self.actions.push(Action::AskRelease { router, rows });
        }
        for (router, rows) in questions.promises {
            self.actions.push(Action::AskPromise { router, rows });
        }
        for (server, orders) in questions.orders {
            self.actions.push(Action::Order { server, orders });
        }
    }

    fn collect_questions(&mut self, now: Time, shard: &ShardId, questions: &mut Questions) {
        let every = self.ask_interval_ms();
        let silence = self.limits.router_silence;
        let fencing = self.policy(&shard.service).fencing;
        let Some(row) = self.row(shard).cloned() else {
            return;
        };
        let Some(pending) = self.pending_changes.get_mut(shard) else {
            return;
        };
        let waits = pending
            .last_asked
            .is_some_and(|at| elapsed(now, at) < every);
        if pending.intent.is_none() || waits {
            return;
        }
        pending.last_asked = Some(now);
        let claimed = AssignmentRef {
            shard: shard.clone(),
            token: row.token,
        };
        let releases = &mut questions.releases;
        let rows = releases.entry(row.home.clone()).or_default();
        rows.push(claimed.clone());
        if let Some(standby_home) = &row.standby_home {
            if pending.evidence.standby_acted {
                let rows = releases.entry(standby_home.clone()).or_default();
                rows.push(claimed.clone());
            }
            if self.mechanisms.promise {
                let promises = questions.promises.entry(standby_home.clone()).or_default();
                promises.push(claimed);
            }
        }
        let home_lost =
            elapsed(now, pending.home_last_reply) > silence && !pending.keeps_home(&row);
        // A fence would interrupt a home that still sends. A home that has stopped is not affected.
        let may_fence = home_lost || pending.evidence.home_stopped;
        if fencing && may_fence && !pending.evidence.fenced {
            let order = Order::Fence {
                shard: shard.clone(),
                term: row.token.term.next_stored(),
            };
            for server in servers_of(&row) {
                let orders = questions.orders.entry(server.clone()).or_default();
                orders.push(order.clone());
            }
        }
    }

    /// Handles a router's answers about shards for which it is home or acted as home.
    pub(super) fn handle_release_statuses(
        &mut self,
        now: Time,
        from: &RouterIncarnation,
        statuses: &[ReleaseStatus],
    ) {
        for status in statuses {
            let shard = &status.claimed.shard;
            let Some(row) = self.row(shard).cloned() else {
                continue;
            };
            let Some(pending) = self.pending_changes.get_mut(shard) else {
                continue;
            };
            if row.token.term != status.claimed.token.term {
                continue;
            }
            if *from == home_of(&row) {
                pending.home_last_reply = now;
                pending.evidence.add_home_status(status);
                self.dirty.insert(pending.change.block.clone());
            } else if Some(from) == standby_home_of(&row).as_ref() {
                pending.evidence.standby_stopped |= status.stopped;
                self.dirty.insert(pending.change.block.clone());
            }
        }
    }

    /// Handles a standby home's answers about its reserved terms.
    pub(super) fn handle_standby_statuses(
        &mut self,
        from: &RouterIncarnation,
        statuses: &[StandbyStatus],
    ) {
        for status in statuses {
            let shard = &status.claimed.shard;
            let Some(row) = self.row(shard).cloned() else {
                continue;
            };
            let Some(pending) = self.pending_changes.get_mut(shard) else {
                continue;
            };
            let concerns = row.token.term == status.claimed.token.term
                && Some(from) == standby_home_of(&row).as_ref();
            if concerns {
                pending.evidence.standby_promised |= status.promised;
                pending.evidence.standby_acted |= status.acted;
                self.dirty.insert(pending.change.block.clone());
            }
        }
    }

    /// Handles a server's acknowledgements of fences.
    pub(super) fn handle_order_reply(
        &mut self,
        now: Time,
        sent: Time,
        orders: &[Order],
        reply: &OrderReply,
    ) {
        for (order, ack) in orders.iter().zip(&reply.acks) {
            let Order::Fence { shard, term } = order else {
                continue;
            };
            let Some(row) = self.row(shard).cloned() else {
                continue;
            };
            let Some(pending) = self.pending_changes.get_mut(shard) else {
                continue;
            };
            let asked = row.token.term.next_stored();
            if *term != asked || ack.highest.term != asked || sent <= pending.evidence.round_started
            {
                continue;
            }
            let ack = FenceAck {
                incarnation: reply.incarnation,
                held: ack.held.map(|held| held.token),
            };
            pending
                .evidence
                .round_acks
                .insert(reply.server.clone(), ack);
            finish_round(now, pending, &row);
            self.dirty.insert(pending.change.block.clone());
        }
    }

    /// Returns whether the evidence is sufficient to put the change in force.
    pub(super) fn is_sufficient(
        &self,
        now: Time,
        pending: &PendingChange,
        row: &Assignment,
    ) -> bool {
        let Some((_, since)) = pending.intent else {
            return false;
        };
        let policy = self.policy(&row.shard.service);
        let wait = self.limits.max_local_ms(policy.validity);
        let waited = elapsed(now, since) >= wait || !self.mechanisms.wait_for_authority;
        let evidence = &pending.evidence;
        let keeps = pending.keeps_home(row);
        // A home that the change keeps reads the intent and continues, so a delay is no evidence
        // about it.
        let home_ended = evidence.home_stopped || (keeps && evidence.pledged.is_some());
        let standby_ended = row.standby_home.is_none()
            || evidence.standby_promised
            || evidence.standby_stopped
            || waited
            || !self.mechanisms.promise;
        let by_routers = home_ended && standby_ended;
        let by_standby = evidence.standby_acted && evidence.standby_stopped;
        // A router that does not know of a split serves a hot key under its range, which these
        // fences don't affect.
        let by_servers = evidence.fenced && !matches!(row.shard.part, ShardPart::Hot(_));
        by_routers || by_standby || by_servers || (waited && !keeps)
    }
}

/// Ends a round once all servers have acknowledged it.
fn finish_round(now: Time, pending: &mut PendingChange, row: &Assignment) {
    let evidence = &mut pending.evidence;
    if evidence.fenced || !servers_of(row).all(|id| evidence.round_acks.contains_key(id)) {
        return;
    }
    if evidence.matches_previous_round() {
        evidence.fenced = true;
    } else {
        evidence.start_round(now);
        pending.last_asked = None;
    }
}

/// Returns the owner and the standby server of an assignment.
fn servers_of(row: &Assignment) -> impl Iterator<Item = &ServerId> {
    std::iter::once(&row.owner).chain(row.standby.as_ref())
}

fn home_of(row: &Assignment) -> RouterIncarnation {
    RouterIncarnation {
        router: row.home.clone(),
        incarnation: row.home_run,
    }
}

fn standby_home_of(row: &Assignment) -> Option<RouterIncarnation> {
    Some(RouterIncarnation {
        router: row.standby_home.clone()?,
        incarnation: row.standby_home_run,
    })
}
