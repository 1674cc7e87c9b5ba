//! Fencing tokens: a term and an epoch, compared in that sequence.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::counter;

counter! {
    /// The term of a home router. Even terms are stored with an assignment. The odd term after a
    /// stored one is reserved for the standby home.
    Term;
    /// The number of a shard's grant within one term.
    Epoch;
}

impl Term {
    /// Returns the term that the standby home may use without a controller after this stored term.
    #[must_use]
    pub const fn reserved(self) -> Self {
        Self((self.0 & !1) + 1)
    }

    /// Returns whether this is a reserved term and `stored` is the term under which a takeover of
    /// the standby home with this term is recorded.
    #[must_use]
    pub const fn is_recorded_as(self, stored: Self) -> bool {
        self.0 & 1 == 1 && stored.0 == self.0 + 1
    }

    /// Returns the term of the next stored change of home.
    #[must_use]
    pub const fn next_stored(self) -> Self {
        Self((self.0 & !1) + 2)
    }
}

/// The fencing token of a grant, ordered by term and then by epoch. The tokens of a shard only
/// increase.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Token {
    /// The term of the home that sends the grant.
    pub term: Term,
    /// The epoch of the shard within that term.
    pub epoch: Epoch,
}

impl Token {
    /// Creates a token from the numbers of its term and epoch.
    #[must_use]
    pub const fn new(term: u64, epoch: u64) -> Self {
        Self {
            term: Term(term),
            epoch: Epoch(epoch),
        }
    }

    /// Returns the token of the next grant in the same term.
    #[must_use]
    pub const fn next_epoch(self) -> Self {
        Self {
            term: self.term,
            epoch: self.epoch.next(),
        }
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.epoch)
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::syntax("Token", text, "`term.epoch`, as in `4.1`");
        let (term, epoch) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self {
            term: term.parse()?,
            epoch: epoch.parse()?,
        })
    }
}

impl TryFrom<String> for Token {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Token> for String {
    fn from(token: Token) -> Self {
        token.to_string()
    }
}
