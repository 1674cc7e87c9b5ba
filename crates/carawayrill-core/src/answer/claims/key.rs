//! What names a claim, and what makes two requests the same.

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3;

use crate::Error;
use crate::id::KeyHash;
use crate::id::ShardId;
use crate::number;

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

number! {
    /// Identifies the request behind an idempotency key.
    Fingerprint;
}

impl Fingerprint {
    /// Hashes what makes two requests the same: method, path with query, and body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            // The length keeps two requests apart whose parts are only divided differently.
            hash.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

/// An idempotency key, as sent by a caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(CompactString);

impl IdempotencyKey {
    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
            let expected = "1 to 128 visible ASCII characters";
            return Err(Error::syntax("IdempotencyKey", text, expected));
        }
        Ok(Self(text.into()))
    }
}

/// Names a claim. The service's key is part of it, so that claims go along when a hot key is
/// split out of its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The shard that the service's key belongs to now.
    pub shard: ShardId,
    /// The service's key.
    pub key: KeyHash,
    /// The caller's idempotency key.
    pub idempotency: IdempotencyKey,
}
