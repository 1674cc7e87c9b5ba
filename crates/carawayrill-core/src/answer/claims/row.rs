//! Rows of the claim table, grouped by shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::answer::claims::CLAIM_OVERHEAD_BYTES;
use crate::answer::claims::Claim;
use crate::answer::claims::ClaimError;
use crate::answer::claims::ClaimKey;
use crate::answer::claims::ClaimState;
use crate::answer::claims::Fingerprint;
use crate::answer::claims::IdempotencyKey;
use crate::answer::claims::Lineage;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::id::Incarnation;
use crate::id::KeyHash;
use crate::id::RouterId;
use crate::time::Time;
use crate::token::Term;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ShardRole {
    /// This router is the home under this term and knows all claims.
    HomeComplete(Term),
    /// This router is the home under this term and may lack claims until this time.
    HomeIncompleteUntil(Term, Time),
    /// This router is a standby home and holds copies for the home `from`.
    Copy {
        from: RouterId,
        incarnation: Incarnation,
        complete: Option<CompleteCopy>,
    },
}

/// A copy that holds all claims of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CompleteCopy {
    /// The assignment for which the copy is complete.
    pub(super) lineage: Lineage,
    /// Until when the home itself may lack claims of its predecessor.
    pub(super) missing_until: Time,
}

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: ClaimState,
    pub(super) expires: Time,
    pub(super) window: Duration,
}

pub(super) type Rows = BTreeMap<(KeyHash, IdempotencyKey), Row>;

#[derive(Debug, Clone)]
pub(super) struct ShardClaims {
    pub(super) role: ShardRole,
    pub(super) rows: Rows,
}

impl ClaimState {
    pub(super) fn bytes(&self) -> u64 {
        match self {
            Self::Answered(answer) => answer.size(),
            Self::InProgress | Self::NotKept | Self::Lost => 0,
        }
    }
}

impl Row {
    pub(super) fn claim_error(&self, fingerprint: Fingerprint) -> ClaimError {
        if self.fingerprint != fingerprint {
            return ClaimError::Refused(RefusalReason::BodyDiffers.into());
        }
        match &self.state {
            ClaimState::Answered(answer) => ClaimError::AlreadyAnswered(Arc::clone(answer)),
            ClaimState::InProgress => ClaimError::Refused(RefusalReason::InProgress.into()),
            ClaimState::NotKept => ClaimError::Refused(RefusalReason::AnswerNotKept.into()),
            ClaimState::Lost => ClaimError::Refused(RefusalReason::FirstAnswerLost.into()),
        }
    }

    pub(super) fn export(&self, now: Time, key: ClaimKey) -> Claim {
        Claim {
            key,
            fingerprint: self.fingerprint,
            state: self.state.clone(),
            left: match self.state {
                ClaimState::InProgress => self.window,
                _ => self.expires.since(now),
            },
        }
    }
}

impl ShardClaims {
    pub(super) fn check_complete(&mut self, now: Time) -> Result<(), ClaimError> {
        match self.role {
            ShardRole::HomeComplete(_) => Ok(()),
            ShardRole::HomeIncompleteUntil(term, until) if until <= now => {
                self.role = ShardRole::HomeComplete(term);
                Ok(())
            }
            ShardRole::HomeIncompleteUntil(_, until) => {
                let refusal = Refusal::from(RefusalReason::ClaimsNotKnown);
                Err(ClaimError::Refused(
                    refusal.with_retry_after(until.since(now)),
                ))
            }
            ShardRole::Copy { .. } => Err(ClaimError::Refused(RefusalReason::NotHome.into())),
        }
    }

    pub(super) fn is_copy_of(&self, home: &RouterId, run: Incarnation) -> bool {
        matches!(&self.role, ShardRole::Copy { from, incarnation, .. }
            if from == home && *incarnation == run)
    }

    /// Returns the term under which this router is the home, or `None` for a copy.
    pub(super) fn term(&self) -> Option<Term> {
        match self.role {
            ShardRole::HomeComplete(term) | ShardRole::HomeIncompleteUntil(term, _) => Some(term),
            ShardRole::Copy { .. } => None,
        }
    }

    /// Returns until when this router may lack claims if it becomes the home by the assignment with
    /// this lineage, or `None` if it has no complete copy for that.
    pub(super) fn copy_missing_until(&self, lineage: Lineage) -> Option<Time> {
        match &self.role {
            ShardRole::Copy { complete, .. } => complete
                .filter(|copy| copy.lineage == lineage)
                .map(|copy| copy.missing_until),
            ShardRole::HomeComplete(_) | ShardRole::HomeIncompleteUntil(..) => None,
        }
    }

    /// Returns for how long this router may lack claims as the home.
    pub(super) fn missing_for(&self, now: Time) -> Duration {
        match self.role {
            ShardRole::HomeIncompleteUntil(_, until) => until.since(now),
            ShardRole::HomeComplete(_) | ShardRole::Copy { .. } => Duration::ZERO,
        }
    }

    /// Marks claims in progress as lost: no answer will arrive for requests that a former home
    /// sent.
    pub(super) fn mark_running_lost(&mut self) {
        for row in self.rows.values_mut() {
            if row.state == ClaimState::InProgress {
                row.state = ClaimState::Lost;
            }
        }
    }

    pub(super) fn expire(&mut self, now: Time) -> u64 {
        let copy = matches!(self.role, ShardRole::Copy { .. });
        let expired = |_: &(KeyHash, IdempotencyKey), row: &mut Row| {
            row.expires <= now && (copy || row.state != ClaimState::InProgress)
        };
        let expired = self.rows.extract_if(.., expired);
        expired
            .map(|(row_key, row)| row_bytes((&row_key, &row)))
            .sum()
    }
}

/// Returns the charged size of one claim, in bytes.
pub(super) fn row_bytes((row_key, row): (&(KeyHash, IdempotencyKey), &Row)) -> u64 {
    let key = u64::try_from(row_key.1.as_str().len()).unwrap_or(u64::MAX);
    CLAIM_OVERHEAD_BYTES + key + row.state.bytes()
}
