//! Proof that a message comes from a front.
//!
//! Callers may send the header by which fronts mark the requests that they pass on, and any process
//! may join the granter's stream. A front trusts neither without a proof under a key that only those
//! who read the store know: a marked request is not passed on again, and a front that is named as a
//! peer receives callers' requests. A proof costs one HMAC for each request that is passed on, and one
//! for each join.
//!
//! Each granter makes a new key, which reaches the fronts within a few hundred milliseconds, one after
//! the other. The previous key stays valid, so that a request from a front that has not received the
//! new one verifies.

use std::fmt;

use compact_str::CompactString;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Sha256;

use crate::direct::knowledge::StoredVersion;

/// The length of a key and of a proof, in bytes.
const KEY_LEN: usize = 32;
/// What a proof is for; it is part of the message, so that one can't be used as the other.
const REQUEST: &[u8] = b"request";
const JOIN: &[u8] = b"join";

/// A key that the fronts share.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey([u8; KEY_LEN]);

impl PeerKey {
    /// Creates a key from random bytes.
    #[must_use]
    pub fn new(bytes: [u8; KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// Creates a key from the bytes of a message. Returns `None` if their number is wrong.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the key.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    fn mac(&self, purpose: &[u8], parts: [&str; 2]) -> Hmac<Sha256> {
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else {
            unreachable!("HMAC accepts keys of any length");
        };
        mac.update(purpose);
        for part in parts {
            // The length keeps the parts apart.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        mac
    }
}

/// The key is not written to logs.
impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl Serialize for PeerKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&encode_hex(&self.0))
    }
}

/// Decodes the key of a stored record. One that is not valid counts as none, since the record is
/// needed without it as well.
///
/// # Errors
///
/// Fails if the value can't be read at all.
pub fn deserialize_key<'de, D: Deserializer<'de>>(from: D) -> Result<Option<PeerKey>, D::Error> {
    let value = serde_json::Value::deserialize(from)?;
    let bytes = value.as_str().and_then(decode_hex);
    let key = bytes.and_then(|bytes| PeerKey::from_slice(&bytes));
    if key.is_none() && !value.is_null() {
        log::warn!("skipped an invalid key of the fronts in the stored lease");
    }
    Ok(key)
}

/// The keys that a front accepts.
#[derive(Debug, Default)]
pub struct PeerKeys {
    current: Option<PeerKey>,
    previous: Option<PeerKey>,
    version: StoredVersion,
}

impl PeerKeys {
    /// Records the key of the granter whose lease had this version. That of an older version than the
    /// last one is ignored.
    pub fn set(&mut self, key: &PeerKey, version: StoredVersion) {
        if version < self.version {
            return;
        }
        self.version = version;
        if self.current.as_ref() != Some(key) {
            self.previous = self.current.replace(key.clone());
        }
    }

    /// Returns the current key.
    #[must_use]
    pub fn current(&self) -> Option<&PeerKey> {
        self.current.as_ref()
    }

    /// Returns the value of the header that marks a request which `front` passes on, if a key is
    /// known.
    #[must_use]
    pub fn sign_request(&self, front: &str, id: &str) -> Option<String> {
        let mac = self.current.as_ref()?.mac(REQUEST, [id, front]);
        let proof = encode_hex(&mac.finalize().into_bytes());
        Some(format!("{front}.{proof}"))
    }

    /// Returns the front that has marked a request with this header value, if the proof is valid.
    #[must_use]
    pub fn verify_request<'a>(&self, value: &'a str, id: &str) -> Option<&'a str> {
        let (front, proof) = value.rsplit_once('.')?;
        let proof = decode_hex(proof)?;
        self.verify(REQUEST, [id, front], &proof).then_some(front)
    }

    /// Returns the proof with which `front` joins the granter, if a key is known.
    #[must_use]
    pub fn sign_join(&self, front: &str) -> Option<Vec<u8>> {
        let mac = self.current.as_ref()?.mac(JOIN, [front, ""]);
        Some(mac.finalize().into_bytes().to_vec())
    }

    /// Returns whether the proof with which `front` joins is valid.
    #[must_use]
    pub fn verify_join(&self, front: &str, proof: &[u8]) -> bool {
        self.verify(JOIN, [front, ""], proof)
    }

    fn verify(&self, purpose: &[u8], parts: [&str; 2], proof: &[u8]) -> bool {
        let mut keys = self.current.iter().chain(&self.previous);
        keys.any(|key| key.mac(purpose, parts).verify_slice(proof).is_ok())
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = CompactString::default();
    for byte in bytes {
        let _written = write!(text, "{byte:02x}");
    }
    text.into()
}

/// Decodes lower-case hexadecimal digits.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    };
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    let bytes = pairs
        .iter()
        .map(|[high, low]| Some(digit(*high)? << 4 | digit(*low)?));
    rest.is_empty().then(|| bytes.collect()).flatten()
}
