//! The object `config/head`, and the digests that name the parts.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use carawayrill_core::data;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Generation;
use carawayrill_core::object::CONFIG_PARTS;
use carawayrill_core::time::WallTime;
use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::ConfigFiles;
use crate::accept::Error;

/// The digest of a part's content, which is also the part's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest(u128);

data! {
    /// The value of `config/head`, which lists the parts of the generation in force.
    pub struct Head {
        /// Number of the generation.
        pub generation: Generation,
        /// Digest of the edit that created the generation. Equal edits have equal digests.
        pub edit: Digest,
        /// Digest of the base file.
        pub base: Digest,
        /// Digest of each overlay, by site.
        pub sites: BTreeMap<DataCentreId, Digest>,
        /// Name of the operator that proposed the edit.
        pub by: CompactString,
        /// Time of acceptance, by the clock of the proposer.
        pub at: WallTime,
        /// Digest of the head that this one replaced.
        pub previous: Option<Digest>,
    }
}

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_128(bytes))
    }

    /// Returns the name of the object that holds the part.
    #[must_use]
    pub fn object_name(self) -> CompactString {
        format_compact!("{CONFIG_PARTS}{self}")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = carawayrill_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || carawayrill_core::Error::syntax("Digest", text, "32 hex digits");
        if text.len() != 32 {
            return Err(bad());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_err| bad())
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = carawayrill_core::Error;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        format_compact!("{digest}")
    }
}

impl Head {
    /// Returns the digests of all parts.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        std::iter::once(self.base).chain(self.sites.values().copied())
    }

    /// Returns whether this head refers to exactly these files.
    #[must_use]
    pub fn matches(&self, files: &ConfigFiles) -> bool {
        let (base, sites) = digests_of(files);
        self.base == base && self.sites == sites
    }

    /// Serializes the head as the value of its object.
    pub(crate) fn to_bytes(&self) -> Result<Bytes, Error> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|err| Error::corrupt(format!("could not serialize a head: {err}")))
    }

    /// Parses the value of the head object `name`.
    pub(crate) fn from_bytes(name: &str, bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes).map_err(|err| Error::corrupt(format!("{name}: {err}")))
    }
}

/// Returns the digest of the base file and of each overlay.
pub(crate) fn digests_of(files: &ConfigFiles) -> (Digest, BTreeMap<DataCentreId, Digest>) {
    let sites = files
        .sites
        .iter()
        .map(|(site, text)| (site.clone(), Digest::of(text.as_bytes())))
        .collect();
    (Digest::of(files.base.as_bytes()), sites)
}
