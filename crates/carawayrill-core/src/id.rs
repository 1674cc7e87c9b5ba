//! Identifiers of services, processes, requests, shards and stored versions.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::Error;
use crate::counter;
use crate::number;
use crate::small_data;
use crate::text_id;

/// The longest identifier, in bytes.
const MAX_ID_BYTES: usize = 63;

text_id! {
    /// Identifies a service that operators declare.
    ServiceId;
    /// Identifies a server, which owns shards of one service.
    ServerId;
    /// Identifies a router process.
    RouterId;
    /// Identifies a controller process.
    ControllerId;
    /// Identifies any process of the system in events.
    NodeId;
    /// Identifies a data centre, which is one site of the configuration.
    DataCentreId;
    /// Identifies a region, a group of data centres with short round trips between them.
    RegionId;
    /// Identifies a request from a caller, uniquely over all routers.
    RequestId;
}

counter! {
    /// Distinguishes runs of the same router or server. It is higher at each start.
    Incarnation;
    /// The number of an accepted configuration.
    Generation;
    /// The version of one object in the store; 0 means that there is no such object.
    Version;
    /// A point in the history of the whole store, from which a watch can start. Revisions of
    /// different eras can't be compared.
    Revision;
    /// Counts how often the store was restored from an older copy. A restore loses the latest
    /// writes, and later writes reuse their revisions.
    Era;
}

/// Checks that `text` is a valid identifier of the type named `what`.
///
/// # Errors
///
/// Fails if the text is empty, longer than 63 bytes or contains a character outside `a-z0-9-_`.
pub fn check_text(what: &'static str, text: &str) -> Result<(), Error> {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
    };
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(allowed) {
        return Err(Error::syntax(
            what,
            text,
            "1 to 63 characters out of a-z, 0-9, - and _",
        ));
    }
    Ok(())
}

number! {
    /// The stable hash of a key. All routers compute the same value for the same bytes.
    KeyHash;
}

small_data! {
    /// The part of a service's keys that a shard holds.
    pub enum ShardPart {
        /// The hash range with this index.
        Range(u32),
        /// One hot key that was split out of its range.
        Hot(KeyHash),
    }
}

impl KeyHash {
    /// Computes the hash of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the index of the hash range that contains this key, among `ranges` equal ranges.
    ///
    /// It scales the hash instead of taking a remainder, so that each range is one interval and can
    /// be halved without moving a key to another range.
    #[must_use]
    pub fn range_of(self, ranges: u32) -> u32 {
        let scaled = (u128::from(self.0) * u128::from(ranges)) >> 64;
        u32::try_from(scaled).unwrap_or(u32::MAX)
    }
}

/// Identifies a shard, the unit of ownership: a hash range of a service's keys, or one hot key.
///
/// The text form is `forms/17` for a range and `forms/h00000000000000ff` for a hot key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ShardId {
    /// The service of the keys.
    pub service: ServiceId,
    /// The part of the service's keys.
    pub part: ShardPart,
}

impl ShardId {
    /// Returns the id of the shard for hash range `index` of `service`.
    #[must_use]
    pub fn range(service: ServiceId, index: u32) -> Self {
        Self {
            service,
            part: ShardPart::Range(index),
        }
    }

    /// Returns the id of the shard for one hot key of `service`.
    #[must_use]
    pub fn hot(service: ServiceId, key: KeyHash) -> Self {
        Self {
            service,
            part: ShardPart::Hot(key),
        }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.part {
            ShardPart::Range(index) => write!(f, "{}/{index}", self.service),
            ShardPart::Hot(key) => write!(f, "{}/h{:016x}", self.service, key.0),
        }
    }
}

impl FromStr for ShardId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::syntax(
                "ShardId",
                text,
                "`service/17` or `service/h` and 16 hex digits",
            )
        };
        let (service, part) = text.split_once('/').ok_or_else(bad)?;
        let service = service.parse()?;
        if let Some(hex) = part.strip_prefix('h') {
            let hash = u64::from_str_radix(hex, 16).map_err(|_err| bad())?;
            return Ok(Self::hot(service, KeyHash(hash)));
        }
        let index = part.parse().map_err(|_err| bad())?;
        Ok(Self::range(service, index))
    }
}

impl TryFrom<CompactString> for ShardId {
    type Error = Error;

    fn try_from(text: CompactString) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<ShardId> for CompactString {
    fn from(id: ShardId) -> Self {
        compact_str::format_compact!("{id}")
    }
}
