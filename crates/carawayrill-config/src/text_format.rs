//! The text formats of [`KeySource`], [`Repeat`] and [`OnStoreOutage`].

use std::fmt;
use std::str::FromStr;

use carawayrill_core::Error;

use crate::deployment::KeySource;
use crate::deployment::OnStoreOutage;
use crate::deployment::Repeat;

/// Splits text such as `header x-form` into its two words.
fn two_words(text: &str) -> Option<(&str, &str)> {
    let (first, second) = text.split_once(' ')?;
    let second = second.trim();
    let is_word = !second.is_empty() && !second.contains(char::is_whitespace);
    is_word.then_some((first, second))
}

impl FromStr for KeySource {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::syntax(
                "KeySource",
                text,
                "`header NAME`, `query NAME` or `path NUMBER`",
            )
        };
        match two_words(text).ok_or_else(bad)? {
            ("header", name) => Ok(Self::Header(name.into())),
            ("query", name) => Ok(Self::Query(name.into())),
            ("path", segment) => segment.parse().map(Self::Path).map_err(|_err| bad()),
            _ => Err(bad()),
        }
    }
}

impl fmt::Display for KeySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header(name) => write!(f, "header {name}"),
            Self::Query(name) => write!(f, "query {name}"),
            Self::Path(segment) => write!(f, "path {segment}"),
        }
    }
}

impl FromStr for Repeat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "all" => Ok(Self::All),
            "safe_methods" => Ok(Self::SafeMethods),
            "never" => Ok(Self::Never),
            _ => Err(Error::syntax(
                "Repeat",
                text,
                "`all`, `safe_methods` or `never`",
            )),
        }
    }
}

impl fmt::Display for Repeat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::All => "all",
            Self::SafeMethods => "safe_methods",
            Self::Never => "never",
        })
    }
}

impl FromStr for OnStoreOutage {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text == "stop" {
            return Ok(Self::Stop);
        }
        match two_words(text) {
            Some(("hold", span)) => span.parse().map(Self::Hold),
            _ => Err(Error::syntax(
                "OnStoreOutage",
                text,
                "`stop` or `hold 15min`",
            )),
        }
    }
}

impl fmt::Display for OnStoreOutage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hold(span) => write!(f, "hold {span}"),
            Self::Stop => f.write_str("stop"),
        }
    }
}
