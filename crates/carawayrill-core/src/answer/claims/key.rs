//! Keys of claims and fingerprints of requests.

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3;

use crate::Error;
use crate::id::KeyHash;
use crate::id::ShardId;
use crate::number;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

number! {
    /// Hash of the request that first used an idempotency key.
    Fingerprint;
}

impl Fingerprint {
    /// Hashes the method, the path with query and the body of a request.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            // The length prefix keeps requests apart whose concatenated parts are equal.
            hash.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

/// An idempotency key sent by a caller: 1 to 128 visible ASCII characters.
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

/// The key of a claim. It contains the service's key, so that the claims of a hot key can be moved
/// when the key is split out of its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The shard that the service's key belongs to at present.
    pub shard: ShardId,
    /// The hash of the service's key.
    pub key: KeyHash,
    /// The caller's idempotency key.
    pub idempotency: IdempotencyKey,
}
