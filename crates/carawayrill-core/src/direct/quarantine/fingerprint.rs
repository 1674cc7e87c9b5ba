//! Recognises a request that comes again.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3;

use crate::Error;
use crate::number;

number! {
    /// A hash of what a request asks for, without its id and its deadline.
    Fingerprint;
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_invalid| Error::syntax("Fingerprint", text, "a hexadecimal number"))
    }
}

/// The parts of a request that stay the same if a caller sends it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The host that the request names. Case does not matter.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The query; empty if there is none.
    pub query: &'a str,
    /// The key of the caller, whether or not the service is keyed.
    pub key: Option<u16>,
    /// The body.
    pub body: &'a [u8],
}

/// The fingerprints by which a request is recognised.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fingerprints {
    /// The fingerprint of the whole content.
    pub exact: Fingerprint,
    /// The fingerprint without the query. Requests whose query changes from one to the next share
    /// it.
    pub any_query: Fingerprint,
}

impl Fingerprints {
    /// Returns the fingerprints without repetition.
    pub fn distinct(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        let any_query = (self.any_query != self.exact).then_some(self.any_query);
        std::iter::once(self.exact).chain(any_query)
    }
}

impl RequestContent<'_> {
    /// Returns the fingerprints of the request.
    #[must_use]
    pub fn fingerprints(&self) -> Fingerprints {
        let any_query = self.hash("");
        let exact = if self.query.is_empty() {
            any_query
        } else {
            self.hash(self.query)
        };
        Fingerprints { exact, any_query }
    }

    fn hash(&self, query: &str) -> Fingerprint {
        let mut hash = Xxh3::new();
        let host = self.host.to_ascii_lowercase();
        for part in [&host, self.method, self.path, query] {
            // The length keeps two neighbouring parts apart.
            hash.update(&part.len().to_le_bytes());
            hash.update(part.as_bytes());
        }
        let key = self.key.map_or(u32::MAX, u32::from);
        hash.update(&key.to_le_bytes());
        hash.update(self.body);
        Fingerprint(hash.digest())
    }
}
