//! Planned release of shards, and promises of a standby home.

use super::HomeTable;
use super::message::Action;
use super::shard::Role;
use super::shard::ShardRow;
use super::shard::Stopping;
use crate::id::ShardId;
use crate::id::ShardPart;
use crate::ownership::evidence::AssignmentRef;
use crate::ownership::evidence::ReleaseStatus;
use crate::ownership::evidence::StandbyStatus;
use crate::time::Time;

impl HomeTable {
    /// Answers a release request. Only the intent in the store makes the router stop; the request
    /// alone stops nothing.
    pub(super) fn answer_release(&mut self, now: Time, ask: u64, rows: &[AssignmentRef]) {
        let released = rows
            .iter()
            .map(|claimed| self.release_status(now, claimed))
            .collect();
        self.actions.push(Action::AnswerRelease { ask, released });
    }

    fn release_status(&mut self, now: Time, claimed: &AssignmentRef) -> ReleaseStatus {
        self.pledge(now, &claimed.shard);
        let row = self.rows.get(&claimed.shard);
        let row = row.filter(|row| row.stored.token.term == claimed.token.term && row.acting);
        let Some(row) = row else {
            return not_released(claimed.clone());
        };
        let can_recover = self.candidate(now, row).is_some();
        let quiesced = row.stopping == Some(Stopping::Quiesced);
        let left = self.grant_left_ms(now, row);
        let grant = self
            .serving_incarnation(row)
            .and_then(|id| row.grants.get(&id));
        let released = ReleaseStatus {
            claimed: claimed.clone(),
            stopped: quiesced && row.grants_ended(now, self.has_fencing(row), None),
            pledged: row.pledged && row.is_live() && !can_recover,
            highest: row.token,
            server: Some(row.serving.clone()),
            revoked: grant.is_some_and(|grant| grant.revoked),
            grant_left: left,
        };
        let intent_unread = row.is_live() && !row.kept_by_intent;
        let block = row.block.clone();
        if intent_unread {
            self.request_read(now, &block);
        }
        released
    }

    /// Pledges to keep the owner if an intent asks for it.
    ///
    /// A home that can replace a failed owner does that first and does not pledge yet. A home that
    /// neither serves the shard nor can recover, for example because of an earlier pledge, has no
    /// owner to keep. It ends its role so that the change need not wait for it.
    fn pledge(&mut self, now: Time, shard: &ShardId) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        let grant = self
            .serving_incarnation(row)
            .and_then(|id| row.grants.get(&id));
        let end = grant.and_then(|grant| grant.certain_end);
        let owner = self.servers.get(&row.serving);
        let is_serving = end.is_some_and(|end| now < end) && owner.is_some_and(|owner| !owner.lost);
        let can_serve =
            self.is_trusted(row, &row.serving) && owner.is_some_and(|owner| !owner.lost);
        let can_recover = can_serve || self.candidate(now, row).is_some();
        let pledge_requested = row.kept_by_intent && row.is_live();
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if pledge_requested && is_serving {
            row.pledged = true;
        } else if pledge_requested && !can_recover {
            row.ended = true;
            row.stop();
            self.actions.push(Action::Quiesce {
                shard: shard.clone(),
            });
        }
    }

    /// Records that the shard has no more requests in flight on this router.
    pub(super) fn handle_quiesced(&mut self, shard: &ShardId) {
        if let Some(row) = self.rows.get_mut(shard)
            && row.stopping.is_some()
        {
            row.stopping = Some(Stopping::Quiesced);
            self.dirty.insert(shard.clone());
        }
    }

    /// Answers what this router did as standby home, and promises not to act if asked to.
    pub(super) fn answer_standby(&mut self, ask: u64, promise: bool, rows: &[AssignmentRef]) {
        let standings = rows
            .iter()
            .map(|claimed| self.standby_status(promise, claimed))
            .collect();
        self.actions.push(Action::AnswerStandby { ask, standings });
    }

    fn standby_status(&mut self, promise: bool, claimed: &AssignmentRef) -> StandbyStatus {
        let acts = |row: &ShardRow| row.acting && row.role == Role::Standby;
        let row = self.rows.get_mut(&claimed.shard);
        let row = row.filter(|row| row.stored.token.term == claimed.token.term);
        let acted = row.as_deref().is_some_and(acts);
        // A router that does not know of a split could serve the key under its range.
        let split_unknown = row.is_none() && matches!(claimed.shard.part, ShardPart::Hot(_));
        let promised = promise && !acted && !split_unknown;
        if promised {
            // The promise also covers an assignment that this router has not read yet.
            let term = claimed.token.term;
            let known = self.promised.entry(claimed.shard.clone()).or_insert(term);
            *known = (*known).max(term);
            if let Some(row) = row {
                row.ended |= row.role == Role::Standby;
            }
        }
        StandbyStatus {
            claimed: claimed.clone(),
            acted,
            promised,
        }
    }
}

/// Returns the answer of a router that has no authority for the shard.
fn not_released(claimed: AssignmentRef) -> ReleaseStatus {
    ReleaseStatus {
        claimed,
        stopped: false,
        pledged: false,
        highest: crate::token::Token::default(),
        server: None,
        revoked: false,
        grant_left: 0,
    }
}
