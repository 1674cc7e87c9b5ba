//! Points in time, with one type for each clock, so that readings of different clocks can't be
//! mixed.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use crate::number;

number! {
    /// A reading of this process's monotonic clock, in milliseconds since the process started.
    Time;

    /// A reading of the clock of one server incarnation, in milliseconds. It is only comparable
    /// with other readings of the same incarnation.
    ServerTime;

    /// A reading of the wall clock, in milliseconds since 1970. It is only displayed and never used
    /// for decisions.
    WallTime;
}

/// Converts a duration to whole milliseconds, saturating at [`u64::MAX`].
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds a float down to a whole number. Negative values and NaN become 0, and values above
/// [`u64::MAX`] saturate.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, as documented"
)]
pub fn floor_to_u64(value: f64) -> u64 {
    value as u64
}

macro_rules! clock_reading {
    ($($name:ident)+) => {
        $(
            impl Add<Duration> for $name {
                type Output = Self;

                fn add(self, duration: Duration) -> Self {
                    Self(self.0.saturating_add(millis(duration)))
                }
            }

            impl Sub<Duration> for $name {
                type Output = Self;

                fn sub(self, duration: Duration) -> Self {
                    Self(self.0.saturating_sub(millis(duration)))
                }
            }

            impl $name {
                /// Returns the time from `earlier` to this one, or zero if `earlier` is later.
                #[must_use]
                pub fn since(self, earlier: Self) -> Duration {
                    Duration::from_millis(self.0.saturating_sub(earlier.0))
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{}ms", self.0)
                }
            }
        )+
    };
}

clock_reading!(Time ServerTime WallTime);
