//! Claims of idempotency keys: what makes a request run at most once.
//!
//! A home claims the key of a request before it sends it. A repeat finds the claim and gets the
//! first answer, or is told that the first request may still run. A claim goes only when its
//! window has passed or its request is proved not to have run. The same table holds the copies
//! that a standby home keeps for other homes.

mod copy;
mod key;
mod origin;
mod row;

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

pub use crate::answer::claims::key::ClaimKey;
pub use crate::answer::claims::key::Fingerprint;
pub use crate::answer::claims::key::IdempotencyKey;
pub use crate::answer::claims::origin::Lineage;
pub use crate::answer::claims::origin::Origin;
pub use crate::answer::claims::origin::origin_of;
use crate::answer::claims::row::Row;
use crate::answer::claims::row::Rows;
use crate::answer::claims::row::ShardClaims;
use crate::answer::claims::row::ShardRole;
use crate::answer::claims::row::row_bytes;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::answer::reply::Answer;
use crate::data;
use crate::id::KeyHash;
use crate::id::ShardId;
use crate::time::Time;
use crate::token::Term;

/// Bytes that a claim takes beside its idempotency key and its answer.
pub const CLAIM_OVERHEAD_BYTES: u64 = 256;

data! {
    /// What is known of a claimed request.
    pub enum ClaimState {
        /// It may run now.
        InProgress,
        /// It was answered, and this is its answer.
        Answered(Arc<Answer>),
        /// It was answered; the answer is too long to keep.
        NotKept,
        /// It may have run; its answer is lost.
        Lost,
    }
}

/// A claim as it is copied to another home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Which claim.
    pub key: ClaimKey,
    /// The request that it is for.
    pub fingerprint: Fingerprint,
    /// What is known of the request.
    pub state: ClaimState,
    /// Time left until the claim may be dropped.
    pub left: Duration,
}

/// Bounds of a table of claims.
///
/// # Examples
///
/// ```
/// use carawayrill_core::answer::claims::ClaimConfig;
///
/// let cfg = ClaimConfig::default().max_bytes(16 << 20);
/// assert_eq!(cfg.get_max_bytes(), 16 << 20);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ClaimConfig {
    max_bytes: u64,
    max_answer: u64,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            max_bytes: 32 << 20,
            max_answer: 16 << 10,
        }
    }
}

impl ClaimConfig {
    /// Sets the bytes of all claims with their answers. 32 MiB by default.
    #[must_use]
    pub fn max_bytes(mut self, bytes: u64) -> Self {
        self.max_bytes = bytes;
        self
    }

    /// Sets the bytes of the longest answer that is kept. 16 KiB by default.
    #[must_use]
    pub fn max_answer(mut self, bytes: u64) -> Self {
        self.max_answer = bytes;
        self
    }

    /// Returns the bytes of all claims with their answers.
    #[must_use]
    pub fn get_max_bytes(&self) -> u64 {
        self.max_bytes
    }
}

/// The claims that one router keeps.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    cfg: ClaimConfig,
    shards: BTreeMap<ShardId, ShardClaims>,
    bytes: u64,
    /// The shard at which the search for expired claims goes on.
    cursor: Option<ShardId>,
}

impl ClaimTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Returns whether this router was told that it is the home of `shard` under `term`.
    #[must_use]
    pub fn is_home_in_term(&self, shard: &ShardId, term: Term) -> bool {
        let home = self.shards.get(shard).and_then(ShardClaims::term);
        home == Some(term)
    }

    /// Takes in that this router is the home of `shard` under `term` from now on.
    ///
    /// `window` is the time within which claims of a former home may be used. Requests that must
    /// not run twice are refused for as long, unless all claims are known.
    pub fn set_home(
        &mut self,
        now: Time,
        shard: &ShardId,
        term: Term,
        origin: Origin,
        window: Duration,
    ) {
        let former = self.shards.get(shard).and_then(ShardClaims::term);
        if former.is_some_and(|former| was_home_throughout(former, term, origin)) {
            self.update_term(shard, term);
            return;
        }
        let claims = self.shards.entry(shard.clone()).or_insert(ShardClaims {
            role: ShardRole::HomeIncompleteUntil(term, now + window),
            rows: Rows::new(),
        });
        let complete = match origin {
            Origin::Initial => true,
            Origin::Appointed(lineage) | Origin::TakenOver(lineage) => {
                claims.is_complete_copy(lineage)
            }
        };
        claims.role = if complete {
            ShardRole::HomeComplete(term)
        } else {
            ShardRole::HomeIncompleteUntil(term, now + window)
        };
        claims.mark_running_lost();
    }

    /// This router was the home all the time, and only a record was made of it.
    fn update_term(&mut self, shard: &ShardId, term: Term) {
        if let Some(claims) = self.shards.get_mut(shard) {
            claims.role = match claims.role {
                ShardRole::HomeIncompleteUntil(_, until) => {
                    ShardRole::HomeIncompleteUntil(term, until)
                }
                _ => ShardRole::HomeComplete(term),
            };
        }
    }

    /// Returns whether this router keeps the claims of `shard` as its home.
    #[must_use]
    pub fn is_home(&self, shard: &ShardId) -> bool {
        let claims = self.shards.get(shard);
        claims.is_some_and(|claims| claims.term().is_some())
    }

    /// Returns the shards whose claims this router keeps as their home.
    pub fn home_shards(&self) -> impl Iterator<Item = &ShardId> {
        let homes = self
            .shards
            .iter()
            .filter(|(_, claims)| claims.term().is_some());
        homes.map(|(shard, _)| shard)
    }

    /// Drops a shard of which this router is neither home nor standby home any more.
    pub fn remove_shard(&mut self, shard: &ShardId) {
        if let Some(claims) = self.shards.remove(shard) {
            self.bytes -= claims.rows.iter().map(row_bytes).sum::<u64>();
        }
    }

    /// Claims the key of a request that must not run twice.
    ///
    /// # Errors
    ///
    /// Fails with the claim's state if there is one, and with a refusal if there is no room or if
    /// claims of the shard's former home may be missing.
    pub fn claim(
        &mut self,
        now: Time,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        window: Duration,
    ) -> Result<(), ClaimError> {
        let free_bytes = self.cfg.max_bytes.saturating_sub(self.bytes);
        let claims = self
            .shards
            .get_mut(&key.shard)
            .ok_or_else(|| ClaimError::Refused(RefusalReason::NotHome.into()))?;
        let row_key = (key.key, key.idempotency.clone());
        if let Some(row) = claims.rows.get(&row_key) {
            if row.expires > now || row.state == ClaimState::InProgress {
                return Err(row.claim_error(fingerprint));
            }
            let bytes = row_bytes((&row_key, row));
            claims.rows.remove(&row_key);
            self.bytes -= bytes;
        }
        claims.check_complete(now)?;
        let row = Row {
            fingerprint,
            state: ClaimState::InProgress,
            expires: now + window,
            window,
        };
        let bytes = row_bytes((&row_key, &row));
        if bytes > free_bytes {
            return Err(ClaimError::Refused(RefusalReason::ClaimTableFull.into()));
        }
        self.bytes += bytes;
        claims.rows.insert(row_key, row);
        Ok(())
    }

    /// Drops the claim of a request that is proved not to have run, so that a repeat may run.
    pub fn remove_not_run(&mut self, key: &ClaimKey) {
        let Some(claims) = self.shards.get_mut(&key.shard) else {
            return;
        };
        let row_key = (key.key, key.idempotency.clone());
        if let Some(row) = claims.rows.remove(&row_key) {
            self.bytes -= row_bytes((&row_key, &row));
        }
    }

    /// Keeps the first answer of a claimed request, if it is not too long.
    pub fn record_answer(&mut self, now: Time, key: &ClaimKey, answer: &Arc<Answer>) {
        let free_bytes = self.cfg.max_bytes.saturating_sub(self.bytes);
        let size = answer.size();
        let state = if size <= self.cfg.max_answer.min(free_bytes) {
            ClaimState::Answered(Arc::clone(answer))
        } else {
            ClaimState::NotKept
        };
        self.set_state(now, key, state);
    }

    /// Records that the answer of a claimed request is lost.
    pub fn record_loss(&mut self, now: Time, key: &ClaimKey) {
        self.set_state(now, key, ClaimState::Lost);
    }

    fn set_state(&mut self, now: Time, key: &ClaimKey, state: ClaimState) {
        let row_key = (key.key, key.idempotency.clone());
        let claims = self.shards.get_mut(&key.shard);
        let Some(row) = claims.and_then(|claims| claims.rows.get_mut(&row_key)) else {
            return;
        };
        if matches!(row.state, ClaimState::Answered(_) | ClaimState::NotKept) {
            return;
        }
        self.bytes -= row.state.bytes();
        row.state = state;
        row.expires = now + row.window;
        self.bytes += row.state.bytes();
    }

    /// Drops expired claims of some shards, looking at about `budget` claims. A claim in progress
    /// never expires: its request may still run.
    pub fn expire(&mut self, now: Time, budget: usize) {
        let mut seen = 0;
        while seen < budget {
            let from = self.cursor.take().map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.shards.range_mut((from, Bound::Unbounded)).next();
            let Some((shard, claims)) = next else {
                return;
            };
            seen += claims.rows.len().max(1);
            let freed = claims.expire(now);
            self.cursor = Some(shard.clone());
            self.bytes -= freed;
        }
    }

    /// Returns one claim as it is copied to another home.
    #[must_use]
    pub fn get(&self, now: Time, key: &ClaimKey) -> Option<Claim> {
        let row_key = (key.key, key.idempotency.clone());
        let row = self.shards.get(&key.shard)?.rows.get(&row_key)?;
        Some(row.export(now, key.clone()))
    }

    /// Returns all claims of a shard.
    #[must_use]
    pub fn export(&self, now: Time, shard: &ShardId) -> Vec<Claim> {
        let rows = self.shards.get(shard).map(|claims| &claims.rows);
        let export = |((key, idempotency), row): (&(KeyHash, IdempotencyKey), &Row)| {
            let key = ClaimKey {
                shard: shard.clone(),
                key: *key,
                idempotency: idempotency.clone(),
            };
            row.export(now, key)
        };
        rows.into_iter().flatten().map(export).collect()
    }

    /// Moves the claims of one hot key to its own shard, or back. Both have this router as home.
    pub fn move_key(&mut self, key: KeyHash, from: &ShardId, to: &ShardId) {
        let Some(source) = self.shards.get_mut(from) else {
            return;
        };
        let role = source.role.clone();
        let of_key = |(at, _): &(KeyHash, IdempotencyKey), _: &mut Row| *at == key;
        let moved: Rows = source.rows.extract_if(.., of_key).collect();
        let target = self.shards.entry(to.clone()).or_insert(ShardClaims {
            role: role.clone(),
            rows: Rows::new(),
        });
        if let ShardRole::HomeIncompleteUntil(..) = role {
            target.role = role;
        }
        target.rows.extend(moved);
    }

    /// Returns the bytes that all claims take, by the stated size of each.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.values().map(|claims| claims.rows.len()).sum()
    }

    /// Returns whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns whether a router that was the home under `former` was so until `term`.
///
/// That holds if its own takeover was recorded, and if it was appointed again by the next stored
/// assignment, as when only the standby home changes: such a change is stored only with proof that
/// the standby home has not acted under the reserved term between the two.
fn was_home_throughout(former: Term, term: Term, origin: Origin) -> bool {
    let again = matches!(origin, Origin::Appointed(_)) && former.next_stored() == term;
    former == term || former.is_recorded_as(term) || (again && former.reserved() != former)
}

/// Why a request was not claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// The answer to the first request with this key.
    AlreadyAnswered(Arc<Answer>),
    /// Another final answer.
    Refused(Refusal),
}
