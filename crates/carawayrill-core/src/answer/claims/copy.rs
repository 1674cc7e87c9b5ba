//! Copies of claims of other homes, as kept by a standby home.

use crate::answer::claims::Claim;
use crate::answer::claims::ClaimKey;
use crate::answer::claims::ClaimTable;
use crate::answer::claims::Lineage;
use crate::answer::claims::row::CompleteCopy;
use crate::answer::claims::row::Row;
use crate::answer::claims::row::Rows;
use crate::answer::claims::row::ShardClaims;
use crate::answer::claims::row::ShardRole;
use crate::answer::claims::row::row_bytes;
use crate::id::Incarnation;
use crate::id::RouterId;
use crate::id::ShardId;
use crate::time::Time;

impl ClaimTable {
    /// Starts a copy of the claims of `shard` held by the home `from`. Has no effect if this router
    /// is itself the home of the shard.
    pub fn begin_copy(&mut self, shard: &ShardId, from: &RouterId, incarnation: Incarnation) {
        let home = |claims: &ShardClaims| claims.term().is_some();
        if self.shards.get(shard).is_some_and(home) {
            return;
        }
        self.remove_shard(shard);
        let claims = ShardClaims {
            role: ShardRole::Copy {
                from: from.clone(),
                incarnation,
                complete: None,
            },
            rows: Rows::new(),
        };
        self.shards.insert(shard.clone(), claims);
    }

    /// Stores a copy of a claim. Returns false if the table has no free space, or if this
    /// incarnation of the home has not started a copy. The home must not send the request then.
    #[must_use]
    pub fn keep_copy(
        &mut self,
        now: Time,
        claim: Claim,
        from: &RouterId,
        incarnation: Incarnation,
    ) -> bool {
        let Some(claims) = self.shards.get_mut(&claim.key.shard) else {
            return false;
        };
        if !claims.is_copy_of(from, incarnation) {
            return false;
        }
        let row_key = (claim.key.key, claim.key.idempotency);
        let row = Row {
            fingerprint: claim.fingerprint,
            state: claim.state,
            expires: now + claim.left,
            window: claim.left,
        };
        let bytes = row_bytes((&row_key, &row));
        let old = claims.rows.get(&row_key);
        let old_bytes = old.map_or(0, |row| row_bytes((&row_key, row)));
        if self.bytes - old_bytes + bytes > self.cfg.max_bytes {
            return false;
        }
        self.bytes = self.bytes - old_bytes + bytes;
        claims.rows.insert(row_key, row);
        true
    }

    /// Drops the copy of a claim whose request has not run.
    pub fn drop_copy(&mut self, key: &ClaimKey, from: &RouterId, incarnation: Incarnation) {
        let claims = self.shards.get(&key.shard);
        if claims.is_some_and(|claims| claims.is_copy_of(from, incarnation)) {
            self.remove_not_run(key);
        }
    }

    /// Records that the copy holds all claims that the home has under the assignment with this
    /// lineage. The home itself may lack claims until `missing_until`. Returns false if this
    /// incarnation of the home has not started a copy.
    #[must_use]
    pub fn complete_copy(
        &mut self,
        shard: &ShardId,
        from: &RouterId,
        incarnation: Incarnation,
        lineage: Lineage,
        missing_until: Time,
    ) -> bool {
        let Some(claims) = self.shards.get_mut(shard) else {
            return false;
        };
        if !claims.is_copy_of(from, incarnation) {
            return false;
        }
        if let ShardRole::Copy { complete, .. } = &mut claims.role {
            *complete = Some(CompleteCopy {
                lineage,
                missing_until,
            });
        }
        true
    }
}
