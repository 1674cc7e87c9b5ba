//! One claim, and the claims of one shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::answer::claims::CLAIM_BYTES;
use crate::answer::claims::Claim;
use crate::answer::claims::ClaimKey;
use crate::answer::claims::ClaimState;
use crate::answer::claims::Fingerprint;
use crate::answer::claims::IdempotencyKey;
use crate::answer::claims::Lineage;
use crate::answer::claims::Repeat;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::id::Incarnation;
use crate::id::KeyHash;
use crate::id::RouterId;
use crate::time::Time;
use crate::token::Term;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Known {
    /// This router is the home under this term and knows all claims.
    All(Term),
    /// This router is the home under this term and may lack claims until then.
    SomeUntil(Term, Time),
    /// This router keeps copies for `from`.
    Copy {
        from: RouterId,
        incarnation: Incarnation,
        complete: Option<Lineage>,
    },
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
    pub(super) known: Known,
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
    pub(super) fn repeat(&self, fingerprint: Fingerprint) -> Repeat {
        if self.fingerprint != fingerprint {
            return Repeat::Refused(RefusalReason::BodyDiffers.into());
        }
        match &self.state {
            ClaimState::Answered(answer) => Repeat::First(Arc::clone(answer)),
            ClaimState::InProgress => Repeat::Refused(RefusalReason::InProgress.into()),
            ClaimState::NotKept => Repeat::Refused(RefusalReason::AnswerNotKept.into()),
            ClaimState::Lost => Repeat::Refused(RefusalReason::FirstAnswerLost.into()),
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
    pub(super) fn check_known(&mut self, now: Time) -> Result<(), Repeat> {
        match self.known {
            Known::All(_) => Ok(()),
            Known::SomeUntil(term, until) if until <= now => {
                self.known = Known::All(term);
                Ok(())
            }
            Known::SomeUntil(_, until) => {
                let refusal = Refusal::from(RefusalReason::ClaimsNotKnown);
                Err(Repeat::Refused(refusal.after(until.since(now))))
            }
            Known::Copy { .. } => Err(Repeat::Refused(RefusalReason::NotHome.into())),
        }
    }

    pub(super) fn is_copy_of(&self, home: &RouterId, run: Incarnation) -> bool {
        matches!(&self.known, Known::Copy { from, incarnation, .. }
            if from == home && *incarnation == run)
    }

    /// Returns the term under which this router is the home; none for a copy.
    pub(super) fn term(&self) -> Option<Term> {
        match self.known {
            Known::All(term) | Known::SomeUntil(term, _) => Some(term),
            Known::Copy { .. } => None,
        }
    }

    pub(super) fn is_complete(&self, lineage: Lineage) -> bool {
        matches!(&self.known, Known::Copy { complete, .. } if *complete == Some(lineage))
    }

    /// Records that no answer will come to what a former home had sent.
    pub(super) fn lose_running(&mut self) {
        for row in self.rows.values_mut() {
            if row.state == ClaimState::InProgress {
                row.state = ClaimState::Lost;
            }
        }
    }

    pub(super) fn expire(&mut self, now: Time) -> u64 {
        let copy = matches!(self.known, Known::Copy { .. });
        let gone = |_: &(KeyHash, IdempotencyKey), row: &mut Row| {
            row.expires <= now && (copy || row.state != ClaimState::InProgress)
        };
        let gone = self.rows.extract_if(.., gone);
        gone.map(|(name, row)| row_bytes((&name, &row))).sum()
    }
}

/// Returns the stated size of one claim.
pub(super) fn row_bytes((name, row): (&(KeyHash, IdempotencyKey), &Row)) -> u64 {
    let key = u64::try_from(name.1.as_str().len()).unwrap_or(u64::MAX);
    CLAIM_BYTES + key + row.state.bytes()
}
