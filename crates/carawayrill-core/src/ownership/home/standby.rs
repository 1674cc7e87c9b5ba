//! Takeover by the standby home, under the reserved term and without the store.
//!
//! The standby home first asks both servers whether the home still renews its grants, because only
//! the link between the two routers may have failed. It then fences both servers in rounds. The
//! takeover is safe once the same incarnations have acknowledged two consecutive rounds, because
//! between the rounds both servers were fenced at the same time. A server that restarts later gets
//! no grant from the old home, which must first get evidence from the standby home or the other
//! server (see [`trust`](super::trust)).

use std::collections::BTreeMap;

use super::HomeTable;
use super::orders::ReceivedAck;
use super::shard::DesiredOrder;
use super::shard::Role;
use super::shard::ShardRow;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::ownership::evidence::RouterIncarnation;
use crate::time::Time;
use crate::time::millis;
use crate::token::Epoch;
use crate::token::Term;
use crate::token::Token;

/// The phase of a takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// The home is not suspected.
    #[default]
    Idle,
    /// The servers are asked whether the home still renews its grants.
    Asking,
    /// The servers are ordered to refuse the home's term.
    Fencing,
}

/// A server's acknowledgement in one round.
#[derive(Debug, Clone, Copy)]
struct RoundAck {
    incarnation: Incarnation,
    highest: Token,
    held: Option<Token>,
    /// Whether the home has renewed its grant recently.
    renewed: bool,
}

/// The progress of a takeover.
#[derive(Debug, Default)]
pub(super) struct StandbyTakeover {
    phase: Phase,
    /// Whether a fence was sent under the current assignment. A home that learns of the fence ends
    /// its role, so the takeover must complete even if heartbeats of the home resume.
    fence_sent: bool,
    round_started: Time,
    acks: BTreeMap<ServerId, RoundAck>,
    previous_acks: BTreeMap<ServerId, RoundAck>,
}

impl StandbyTakeover {
    fn start_round(&mut self, now: Time, phase: Phase) {
        self.fence_sent |= phase == Phase::Fencing;
        self.phase = phase;
        self.round_started = now;
        self.previous_acks = std::mem::take(&mut self.acks);
    }

    fn reset(&mut self) {
        *self = Self {
            fence_sent: self.fence_sent,
            ..Self::default()
        };
    }

    /// Returns whether a takeover is in progress.
    pub(super) fn in_progress(&self) -> bool {
        self.phase != Phase::Idle
    }

    /// Returns the order for the servers of a row with the stored term `term`.
    pub(super) fn desired_order(&self, term: Term) -> Option<DesiredOrder> {
        match self.phase {
            Phase::Idle => None,
            Phase::Asking => Some(DesiredOrder::Fence(term)),
            Phase::Fencing => Some(DesiredOrder::Fence(term.reserved())),
        }
    }

    /// Returns whether the same server incarnations acknowledged this round and the previous one.
    fn matches_previous_round(&self) -> bool {
        let incarnations = |acks: &BTreeMap<ServerId, RoundAck>| -> Vec<(ServerId, Incarnation)> {
            acks.iter()
                .map(|(id, ack)| (id.clone(), ack.incarnation))
                .collect()
        };
        incarnations(&self.acks) == incarnations(&self.previous_acks)
    }
}

impl HomeTable {
    /// Records an acknowledgement for a row in which this router is not acting.
    pub(super) fn record_round_ack(&mut self, received: &ReceivedAck<'_>) {
        let half_life = self.limits.grant_ttl / 2;
        let Some(row) = self.rows.get_mut(&received.ack.shard) else {
            return;
        };
        if row.takeover.phase == Phase::Idle || received.sent <= row.takeover.round_started {
            return;
        }
        let term = row.stored.token.term;
        let renewed = received.ack.held.is_some_and(|held| {
            held.token.term == term && millis(held.until.since(received.clock)) > half_life
        });
        let ack = RoundAck {
            incarnation: received.incarnation,
            highest: received.ack.highest,
            held: received.ack.held.map(|held| held.token),
            renewed,
        };
        row.takeover.acks.insert(received.server.clone(), ack);
    }

    /// Advances the takeover of one row.
    pub(super) fn advance_takeover(&mut self, now: Time, shard: &ShardId) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        if row.acting || row.role != Role::Standby {
            return;
        }
        let home = RouterIncarnation {
            router: row.stored.home.clone(),
            incarnation: row.stored.home_run,
        };
        let may_take_over =
            !row.ended && !row.blocked && self.has_fencing(row) && self.has_authority(now, row);
        let home_suspected =
            self.is_suspected(now, &home, row.first_read) || row.takeover.fence_sent;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        match row.takeover.phase {
            _ if !may_take_over => row.takeover.reset(),
            Phase::Idle if home_suspected => row.takeover.start_round(now, Phase::Asking),
            Phase::Asking if !home_suspected => row.takeover.reset(),
            Phase::Asking => self.finish_asking(now, shard),
            Phase::Fencing => self.finish_fence_round(now, shard),
            Phase::Idle => {}
        }
    }

    /// Starts to fence if no server has recently got a renewal from the home.
    fn finish_asking(&mut self, now: Time, shard: &ShardId) {
        let require_both = self.mechanisms.both_servers;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if !all_answered(row, require_both) {
            return;
        }
        if row.takeover.acks.values().any(|ack| ack.renewed) {
            row.takeover.start_round(now, Phase::Asking);
        } else {
            row.takeover.start_round(now, Phase::Fencing);
            row.takeover.previous_acks.clear();
        }
    }

    /// Ends a round of fences, and takes over after the second one.
    fn finish_fence_round(&mut self, now: Time, shard: &ShardId) {
        let require_both = self.mechanisms.both_servers;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let reserved = row.stored.token.term.reserved();
        let acks = row.takeover.acks.values();
        if acks.clone().any(|ack| ack.highest.term > reserved) {
            row.ended = true;
            let block = row.block.clone();
            self.request_read(now, &block);
            return;
        }
        let fenced = acks.clone().all(|ack| ack.highest.term == reserved);
        if !all_answered(row, require_both) || !fenced {
            return;
        }
        let complete = !require_both || row.takeover.matches_previous_round();
        if complete
            && self.acked_server_known_before_read(shard)
            && self.range_permits_takeover(shard)
        {
            self.take_over(shard);
        } else if let Some(row) = self.rows.get_mut(shard) {
            row.takeover.start_round(now, Phase::Fencing);
        }
    }

    /// Returns whether one of the incarnations in the round was known before the last read that
    /// gave authority. If a controller had fenced both servers before that, this incarnation would
    /// have reported the higher term.
    fn acked_server_known_before_read(&self, shard: &ShardId) -> bool {
        let Some(row) = self.rows.get(shard) else {
            return false;
        };
        row.takeover.acks.iter().any(|(id, ack)| {
            self.servers.get(id).is_some_and(|known| {
                known.incarnation == Some(ack.incarnation)
                    && row
                        .last_valid_read
                        .is_some_and(|read| read > known.incarnation_seen_at)
            })
        })
    }

    /// Returns whether a hot key's shard may be taken over. If a server holds a grant for it, the
    /// home knew of the split. Otherwise the home may still serve the key under its range. Then
    /// this router must have taken over the range first, and the shard gets the owner of the range.
    fn range_permits_takeover(&mut self, shard: &ShardId) -> bool {
        if !matches!(shard.part, ShardPart::Hot(_)) {
            return true;
        }
        let acting_range = self.range_row(shard).filter(|range| range.acting);
        let owner = acting_range.map(|range| range.serving.clone());
        let Some(row) = self.rows.get_mut(shard) else {
            return false;
        };
        if row.takeover.acks.values().any(|ack| ack.held.is_some()) {
            return true;
        }
        if let Some(owner) = &owner {
            row.serving.clone_from(owner);
        }
        owner.is_some()
    }

    /// Acts as home under the reserved term from now on.
    fn take_over(&mut self, shard: &ShardId) {
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let reserved = row.stored.token.term.reserved();
        let acks = &row.takeover.acks;
        let held = acks.iter().filter_map(|(id, ack)| Some((ack.held?, id)));
        let owner = held.max().map(|(_, id)| id.clone());
        let epochs = acks.values().map(|ack| ack.highest.epoch);
        let epoch = epochs.max().map_or(Epoch(1), Epoch::next);
        let incarnations: Vec<_> = acks
            .iter()
            .map(|(id, ack)| (id.clone(), ack.incarnation))
            .collect();
        row.acting = true;
        row.serving = owner.unwrap_or_else(|| row.serving.clone());
        row.token = Token {
            term: reserved,
            epoch,
        };
        row.cleared.extend(incarnations.clone());
        row.trusted.extend(incarnations);
        row.takeover.reset();
        let kind = EventKind::TookOver {
            shard: shard.clone(),
            from: row.stored.home.clone(),
            token: row.token,
        };
        self.emit(kind);
    }
}

/// Returns whether the servers of a row have acknowledged this round: all of them if `require_both`
/// is set, otherwise at least one.
fn all_answered(row: &ShardRow, require_both: bool) -> bool {
    let answered = |server: &ServerId| row.takeover.acks.contains_key(server);
    if require_both {
        row.servers().all(answered)
    } else {
        row.servers().any(answered)
    }
}
