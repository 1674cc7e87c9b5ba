//! Text format of wall clock times.

use carawayrill_core::time::WallTime;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Formats a time, for example as `2026-12-03T22:17:30.250Z`.
pub fn format_utc(at: WallTime) -> String {
    let (year, month, day) = civil_date(at.0 / MILLIS_PER_DAY);
    let rest = at.0 % MILLIS_PER_DAY;
    let (seconds, millis) = (rest / 1_000, rest % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day of the Gregorian calendar. The
/// calculation uses years that begin in March, so that a leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
