//! Ratios in whole thousandths, which compare and print the same on all platforms.

use std::fmt;
use std::str::FromStr;

use crate::Error;
use crate::number;

const THOUSANDTHS_PER_UNIT: u64 = 1_000;

number! {
    /// A ratio in thousandths, written with three decimals, as in `1.250`.
    Ratio;
}

impl Ratio {
    /// The ratio of equal numbers, 1.000.
    pub const ONE: Self = Self(THOUSANDTHS_PER_UNIT);

    /// Divides `part` by `whole`, rounded down. A zero divisor gives [`ONE`](Self::ONE).
    #[must_use]
    pub fn of(part: u64, whole: u64) -> Self {
        Self::of_wide(part.into(), whole.into())
    }

    /// Divides two 128-bit numbers, as [`of`](Self::of) does.
    #[must_use]
    pub fn of_wide(part: u128, whole: u128) -> Self {
        if whole == 0 {
            return Self::ONE;
        }
        let thousandths = part.saturating_mul(THOUSANDTHS_PER_UNIT.into()) / whole;
        Self(u64::try_from(thousandths).unwrap_or(u64::MAX))
    }

    /// Multiplies `number` by this ratio, rounded down.
    #[must_use]
    pub fn times(self, number: u64) -> u64 {
        let product = u128::from(number) * u128::from(self.0) / u128::from(THOUSANDTHS_PER_UNIT);
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}",
            self.0 / THOUSANDTHS_PER_UNIT,
            self.0 % THOUSANDTHS_PER_UNIT
        )
    }
}

impl FromStr for Ratio {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let syntax_error =
            || Error::syntax("Ratio", text, "a number with three decimals, as in `1.250`");
        let (whole, decimals) = text.split_once('.').ok_or_else(syntax_error)?;
        if decimals.len() != 3 {
            return Err(syntax_error());
        }
        let whole: u64 = whole.parse().map_err(|_err| syntax_error())?;
        let decimals: u64 = decimals.parse().map_err(|_err| syntax_error())?;
        whole
            .checked_mul(THOUSANDTHS_PER_UNIT)
            .and_then(|thousandths| thousandths.checked_add(decimals))
            .map(Self)
            .ok_or_else(syntax_error)
    }
}
