//! Durations, sizes and rates whose text form contains the unit, such as `250ms` or `64MiB`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Splits a text such as `250ms` into the number and the unit.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(at);
    Some((number.parse().ok()?, unit.trim_start()))
}

/// Writes `value` in the largest unit that divides it.
fn write_in_units(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = |&&(_, size): &&(&str, u64)| value != 0 && value.is_multiple_of(size);
    let (unit, size) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    write!(f, "{}{unit}", value / size)
}

/// Parses a number followed by one of `units`, and returns it as a multiple of the smallest unit.
fn read_in_units(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let (_, size) = units.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*size)
}

macro_rules! quantity {
    ($($(#[$meta:meta])* $name:ident($inner:ty), $units:ident, $expected:literal,
        from $from:path, to $to:path;)+) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(pub $inner);

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write_in_units(f, $to(self.0), $units)
                }
            }

            impl FromStr for $name {
                type Err = Error;

                fn from_str(text: &str) -> Result<Self, Error> {
                    read_in_units(text, $units)
                        .map(|value| Self($from(value)))
                        .ok_or_else(|| Error::syntax(stringify!($name), text, $expected))
                }
            }

            impl TryFrom<String> for $name {
                type Error = Error;

                fn try_from(text: String) -> Result<Self, Error> {
                    text.parse()
                }
            }

            impl From<$name> for String {
                fn from(value: $name) -> Self {
                    value.to_string()
                }
            }
        )+
    };
}

/// Units of a [`Span`], in milliseconds.
const SPAN_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
/// Units of a [`ByteSize`], in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
/// Units of a [`BitRate`], in bits a second.
const BIT_RATE_UNITS: &[(&str, u64)] = &[
    ("bit/s", 1),
    ("kbit/s", 1_000),
    ("Mbit/s", 1_000_000),
    ("Gbit/s", 1_000_000_000),
];
/// Units of a [`Rate`], in events a second.
const RATE_UNITS: &[(&str, u64)] = &[("/s", 1)];

quantity! {
    /// A duration in whole milliseconds.
    Span(Duration), SPAN_UNITS, "a whole number with its unit: ms, s, min or h",
        from Duration::from_millis, to crate::time::millis;
    /// A number of bytes.
    ByteSize(u64), SIZE_UNITS, "a whole number with its unit: B, KiB, MiB or GiB",
        from std::convert::identity, to std::convert::identity;
    /// The bandwidth of a link, in bits a second.
    BitRate(u64), BIT_RATE_UNITS, "a whole number with its unit: bit/s, kbit/s, Mbit/s or Gbit/s",
        from std::convert::identity, to std::convert::identity;
    /// A rate, in events a second.
    Rate(u64), RATE_UNITS, "a whole number with its unit: /s",
        from std::convert::identity, to std::convert::identity;
}

impl Span {
    /// Creates a span from a number of milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}
