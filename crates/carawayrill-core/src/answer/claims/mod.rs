//! Claims of idempotency keys, which ensure that a request runs at most once.
//!
//! A home claims the idempotency key of a request before it sends the request. A request that
//! repeats the key finds the claim and gets the first answer, or a refusal if the first request may
//! still run. A claim is dropped only after its window has passed or once its request is known not
//! to have run. The same table holds the copies that a standby home keeps for other homes.

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

/// Bytes charged for a claim in addition to its idempotency key and its answer.
pub const CLAIM_OVERHEAD_BYTES: u64 = 256;

data! {
    /// The state of a claimed request.
    pub enum ClaimState {
        /// The request may be running.
        InProgress,
        /// The request was answered with this answer.
        Answered(Arc<Answer>),
        /// The request was answered; the answer is too long to keep.
        NotKept,
        /// The request may have run; its answer is lost.
        Lost,
    }
}

/// A claim as it is copied to another home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The key of the claim.
    pub key: ClaimKey,
    /// The fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// The state of the claimed request.
    pub state: ClaimState,
    /// Time left until the claim may be dropped.
    pub left: Duration,
}

/// Memory limits of a claim table.
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
    /// Sets the maximum size of all claims with their answers, in bytes. 32 MiB by default.
    #[must_use]
    pub fn max_bytes(mut self, bytes: u64) -> Self {
        self.max_bytes = bytes;
        self
    }

    /// Sets the maximum size of an answer that is kept, in bytes. 16 KiB by default.
    #[must_use]
    pub fn max_answer(mut self, bytes: u64) -> Self {
        self.max_answer = bytes;
        self
    }

    /// Returns the maximum size of all claims with their answers, in bytes.
    #[must_use]
    pub fn get_max_bytes(&self) -> u64 {
        self.max_bytes
    }
}

/// The claims that one router holds, as home and as standby home.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    cfg: ClaimConfig,
    shards: BTreeMap<ShardId, ShardClaims>,
    bytes: u64,
    /// The last shard that was scanned for expired claims.
    cursor: Option<ShardId>,
}

impl ClaimTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Returns whether this router is recorded as the home of `shard` under `term`.
    #[must_use]
    pub fn is_home_in_term(&self, shard: &ShardId, term: Term) -> bool {
        let home = self.shards.get(shard).and_then(ShardClaims::term);
        home == Some(term)
    }

    /// Records that this router is the home of `shard` under `term` from now on.
    ///
    /// `window` is how long claims of a former home stay valid. Unless all claims are known,
    /// requests that must not run twice are refused for that time.
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
        let missing_until = match origin {
            Origin::Initial => now,
            Origin::Appointed(lineage) | Origin::TakenOver(lineage) => {
                claims.copy_missing_until(lineage).unwrap_or(now + window)
            }
        };
        claims.role = if missing_until <= now {
            ShardRole::HomeComplete(term)
        } else {
            ShardRole::HomeIncompleteUntil(term, missing_until)
        };
        claims.mark_running_lost();
    }

    /// Returns for how long this router may lack claims of a shard whose home it is. A copy of its
    /// claims lacks them too.
    #[must_use]
    pub fn missing_for(&self, now: Time, shard: &ShardId) -> Duration {
        let claims = self.shards.get(shard);
        claims.map_or(Duration::ZERO, |claims| claims.missing_for(now))
    }

    /// Updates the term of a shard whose home this router has been throughout.
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

    /// Returns whether this router holds the claims of `shard` as its home.
    #[must_use]
    pub fn is_home(&self, shard: &ShardId) -> bool {
        let claims = self.shards.get(shard);
        claims.is_some_and(|claims| claims.term().is_some())
    }

    /// Returns the shards whose claims this router holds as their home.
    pub fn home_shards(&self) -> impl Iterator<Item = &ShardId> {
        let homes = self
            .shards
            .iter()
            .filter(|(_, claims)| claims.term().is_some());
        homes.map(|(shard, _)| shard)
    }

    /// Removes a shard for which this router is no longer home or standby home, with its claims.
    pub fn remove_shard(&mut self, shard: &ShardId) {
        if let Some(claims) = self.shards.remove(shard) {
            self.bytes -= claims.rows.iter().map(row_bytes).sum::<u64>();
        }
    }

    /// Claims the key of a request that must not run twice.
    ///
    /// # Errors
    ///
    /// Fails with the first answer if the claimed request was answered. Fails with a refusal if the
    /// request may still run, if the table is full, or if claims of the shard's former home may be
    /// missing.
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

    /// Removes the claim of a request that is known not to have run, so that a repeated request may
    /// run.
    pub fn remove_not_run(&mut self, key: &ClaimKey) {
        let Some(claims) = self.shards.get_mut(&key.shard) else {
            return;
        };
        let row_key = (key.key, key.idempotency.clone());
        if let Some(row) = claims.rows.remove(&row_key) {
            self.bytes -= row_bytes((&row_key, &row));
        }
    }

    /// Records the first answer of a claimed request. The answer itself is kept only if it fits the
    /// limits.
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

    /// Drops expired claims, one shard after another, until about `budget` claims have been
    /// scanned. A claim in progress never expires, because its request may still run.
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

    /// Returns one claim in the form in which it is copied to another home.
    #[must_use]
    pub fn get(&self, now: Time, key: &ClaimKey) -> Option<Claim> {
        let row_key = (key.key, key.idempotency.clone());
        let row = self.shards.get(&key.shard)?.rows.get(&row_key)?;
        Some(row.export(now, key.clone()))
    }

    /// Returns all claims of a shard in the form in which they are copied to another home.
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

    /// Moves the claims of one hot key from its shard to a shard of its own, or back. This router
    /// must be the home of both shards.
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

    /// Returns the charged size of all claims, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.values().map(|claims| claims.rows.len()).sum()
    }

    /// Returns whether the table holds no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns whether a router that became the home under `former` has been the home without
/// interruption until `term`.
///
/// This holds if the router's own takeover was recorded, or if the next stored assignment appoints
/// it again, for instance when only the standby home changes. Such an assignment is stored only
/// with proof that the standby home has not acted under the reserved term in between.
fn was_home_throughout(former: Term, term: Term, origin: Origin) -> bool {
    let again = matches!(origin, Origin::Appointed(_)) && former.next_stored() == term;
    former == term || former.is_recorded_as(term) || (again && former.reserved() != former)
}

/// The reason why a request was not claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// The request with this key was answered before, with this answer.
    AlreadyAnswered(Arc<Answer>),
    /// The request is refused.
    Refused(Refusal),
}
