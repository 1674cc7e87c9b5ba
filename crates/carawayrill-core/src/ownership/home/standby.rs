//! Takeover by the standby home, under the reserved term and without the store.
//!
//! First both servers are asked whether the home still renews its grants there; it may be only us
//! who do not hear it. Then both are fenced in rounds. The evidence is complete once two rounds in
//! a row were acknowledged by the same runs: between the rounds both were fenced at one moment.
//! A server that restarts later is granted nothing by the old home, which has to ask the other one
//! first (see [`trust`](super::trust)).

use std::collections::BTreeMap;

use super::HomeTable;
use super::orders::Answer;
use super::row::Role;
use super::row::Row;
use super::row::Want;
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

/// The steps of a takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// The home is there.
    #[default]
    Idle,
    /// Servers are asked whether the home still renews.
    Asking,
    /// Servers are told to refuse the home's term.
    Fencing,
}

/// What one server said in a round.
#[derive(Debug, Clone, Copy)]
struct RoundAck {
    run: Incarnation,
    highest: Token,
    held: Option<Token>,
    /// Whether the home has renewed its grant lately.
    renewed: bool,
}

/// The progress of a takeover.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    phase: Phase,
    /// Whether a fence was ever sent under the present assignment. A home that learns of it ends
    /// its part, so that the takeover has to be completed even if the home is heard again.
    has_fenced: bool,
    opened: Time,
    acks: BTreeMap<ServerId, RoundAck>,
    before: BTreeMap<ServerId, RoundAck>,
}

impl Rounds {
    fn open(&mut self, now: Time, phase: Phase) {
        self.has_fenced |= phase == Phase::Fencing;
        self.phase = phase;
        self.opened = now;
        self.before = std::mem::take(&mut self.acks);
    }

    fn reset(&mut self) {
        *self = Self {
            has_fenced: self.has_fenced,
            ..Self::default()
        };
    }

    /// Returns whether a takeover is under way.
    pub(super) fn are_open(&self) -> bool {
        self.phase != Phase::Idle
    }

    /// Returns what the servers of a row with the stored term `term` are told.
    pub(super) fn want(&self, term: Term) -> Option<Want> {
        match self.phase {
            Phase::Idle => None,
            Phase::Asking => Some(Want::Fence(term)),
            Phase::Fencing => Some(Want::Fence(term.reserved())),
        }
    }

    /// Returns whether the round before had the same runs of the same servers.
    fn repeats(&self) -> bool {
        let runs = |acks: &BTreeMap<ServerId, RoundAck>| -> Vec<(ServerId, Incarnation)> {
            acks.iter().map(|(id, ack)| (id.clone(), ack.run)).collect()
        };
        runs(&self.acks) == runs(&self.before)
    }
}

impl HomeTable {
    /// Takes in an acknowledgement while this router only stands by.
    pub(super) fn take_round(&mut self, answer: &Answer<'_>) {
        let half_life = self.limits.grant_ttl / 2;
        let Some(row) = self.rows.get_mut(&answer.ack.shard) else {
            return;
        };
        if row.rounds.phase == Phase::Idle || answer.sent <= row.rounds.opened {
            return;
        }
        let term = row.stored.token.term;
        let renewed = answer.ack.held.is_some_and(|held| {
            held.token.term == term && millis(held.until.since(answer.clock)) > half_life
        });
        let ack = RoundAck {
            run: answer.run,
            highest: answer.ack.highest,
            held: answer.ack.held.map(|held| held.token),
            renewed,
        };
        row.rounds.acks.insert(answer.server.clone(), ack);
    }

    /// Advances the takeover of one row.
    pub(super) fn step_standby(&mut self, now: Time, shard: &ShardId) {
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
        let may = !row.ended && !row.blocked && self.fences(row) && self.has_authority(now, row);
        let lost = self.seems_lost(now, &home, row.named) || row.rounds.has_fenced;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        match row.rounds.phase {
            _ if !may => row.rounds.reset(),
            Phase::Idle if lost => row.rounds.open(now, Phase::Asking),
            Phase::Asking if !lost => row.rounds.reset(),
            Phase::Asking => self.end_asking(now, shard),
            Phase::Fencing => self.end_round(now, shard),
            Phase::Idle => {}
        }
    }

    /// Goes on to fence if no server has seen the home lately.
    fn end_asking(&mut self, now: Time, shard: &ShardId) {
        let both = self.mechanisms.both_servers;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if !all_answered(row, both) {
            return;
        }
        if row.rounds.acks.values().any(|ack| ack.renewed) {
            row.rounds.open(now, Phase::Asking);
        } else {
            row.rounds.open(now, Phase::Fencing);
            row.rounds.before.clear();
        }
    }

    /// Ends a round of fencing, and takes over after the second.
    fn end_round(&mut self, now: Time, shard: &ShardId) {
        let both = self.mechanisms.both_servers;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let reserved = row.stored.token.term.reserved();
        let acks = row.rounds.acks.values();
        if acks.clone().any(|ack| ack.highest.term > reserved) {
            row.ended = true;
            let block = row.block.clone();
            self.want_read(now, &block);
            return;
        }
        let fenced = acks.clone().all(|ack| ack.highest.term == reserved);
        if !all_answered(row, both) || !fenced {
            return;
        }
        let complete = !both || row.rounds.repeats();
        if complete && self.knows_a_run(shard) && self.follows_range(shard) {
            self.take_over(shard);
        } else if let Some(row) = self.rows.get_mut(shard) {
            row.rounds.open(now, Phase::Fencing);
        }
    }

    /// Returns whether one of the runs in the round was known before the last good read. Had a
    /// controller fenced both servers before, this one would have told of it.
    fn knows_a_run(&self, shard: &ShardId) -> bool {
        let Some(row) = self.rows.get(shard) else {
            return false;
        };
        row.rounds.acks.iter().any(|(id, ack)| {
            self.servers.get(id).is_some_and(|known| {
                known.run == Some(ack.run) && row.basis.is_some_and(|basis| basis > known.run_seen)
            })
        })
    }

    /// Returns whether a hot key's shard may be taken over. The home knew of the split if a server
    /// holds a grant of it; else it may still serve the key under its range, which this router has
    /// to have taken over first, and its owner is the range's.
    fn follows_range(&mut self, shard: &ShardId) -> bool {
        if !matches!(shard.part, ShardPart::Hot(_)) {
            return true;
        }
        let taken = self.range_row(shard).filter(|range| range.acting);
        let owner = taken.map(|range| range.serving.clone());
        let Some(row) = self.rows.get_mut(shard) else {
            return false;
        };
        if row.rounds.acks.values().any(|ack| ack.held.is_some()) {
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
        let acks = &row.rounds.acks;
        let held = acks.iter().filter_map(|(id, ack)| Some((ack.held?, id)));
        let owner = held.max().map(|(_, id)| id.clone());
        let epochs = acks.values().map(|ack| ack.highest.epoch);
        let epoch = epochs.max().map_or(Epoch(1), Epoch::next);
        let runs: Vec<_> = acks.iter().map(|(id, ack)| (id.clone(), ack.run)).collect();
        row.acting = true;
        row.serving = owner.unwrap_or_else(|| row.serving.clone());
        row.token = Token {
            term: reserved,
            epoch,
        };
        row.cleared.extend(runs.clone());
        row.trusted.extend(runs);
        row.rounds.reset();
        let kind = EventKind::TookOver {
            shard: shard.clone(),
            from: row.stored.home.clone(),
            token: row.token,
        };
        self.emit(kind);
    }
}

/// Returns whether all servers of a row have answered in this round.
fn all_answered(row: &Row, both: bool) -> bool {
    let answered = |server: &ServerId| row.rounds.acks.contains_key(server);
    if both {
        row.servers().all(answered)
    } else {
        row.servers().any(answered)
    }
}
