//! The accounting days by which traffic is counted, and their position in the month.
//!
//! A planner derives the day from its own clock and sends the day to forwarders, so that forwarders' clocks
//! are never compared with a planner's.

use std::collections::BTreeSet;

use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// A day of the accounting calendar, counted from 1 January 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountingDay(pub u32);

/// The number of seasons into which [`AccountingDay::season`] divides a month.
pub const SEASON_COUNT: usize = 6;

/// The number of days that [`next_frozen_period`] searches for the first frozen day, and from that day for
/// the period's end.
const FROZEN_SEARCH_DAYS: u32 = 62;

/// The position of a day in its month.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DayOfMonth {
    /// The day's number in the month, from 1.
    pub day: u32,
    /// The number of days in the month.
    pub month_length: u32,
}

/// A period in which no split may advance, by its distance from the present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrozenPeriod {
    /// The time until the period begins; zero once the period has begun.
    pub begins_in: Span,
    /// The time until the period ends.
    pub ends_in: Span,
}

/// A moment in the accounting calendar.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CalendarMoment {
    /// The day.
    pub day: AccountingDay,
    /// The fraction of the day that has elapsed, from 0 to 1.
    pub elapsed_fraction: f64,
}

impl CalendarMoment {
    /// The moment as a number of days since 1 January 1970, with the elapsed fraction of the day.
    pub fn as_days(self) -> f64 {
        f64::from(self.day.0) + self.elapsed_fraction
    }
}

/// The relation between a planner's clock and the accounting calendar.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Calendar {
    /// A time of the planner's clock.
    pub at: Time,
    /// The accounting day at the time `at`.
    pub day: AccountingDay,
    /// The time since the beginning of `day` at the time `at`.
    pub elapsed_in_day: Span,
}

impl Calendar {
    /// The day, and the fraction of it that has elapsed, at the time `now`, where a day lasts `day_length`.
    pub fn moment(&self, day_length: Span, now: Time) -> CalendarMoment {
        let since_day_began = self.elapsed_in_day + (now - self.at);
        let length = day_length.0.max(1);
        let days_passed = (since_day_began.0 / length).min(u64::from(u32::MAX / 2)) as u32;
        CalendarMoment {
            day: AccountingDay(self.day.0.saturating_add(days_passed)),
            elapsed_fraction: (since_day_began.0 % length) as f64 / length as f64,
        }
    }
}

impl AccountingDay {
    /// The day's position in its month, by Howard Hinnant's `civil_from_days`.
    pub fn in_month(self) -> DayOfMonth {
        let shifted_days = u64::from(self.0) + 719_468;
        let day_of_era = shifted_days % 146_097;
        let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        let month_from_march = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
        let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
        let year = year_of_era + u64::from(month <= 2);
        DayOfMonth { day: day as u32, month_length: month_length(year, month) }
    }

    /// The index of the month's season that the day belongs to, below [`SEASON_COUNT`].
    ///
    /// The seasons of a month's last days are counted from the month's end, since months differ in length.
    pub fn season(self) -> usize {
        let DayOfMonth { day, month_length } = self.in_month();
        match day {
            _ if day + 2 > month_length => 0,
            _ if day + 5 > month_length => 1,
            1..=2 => 2,
            3..=6 => 3,
            7..=15 => 4,
            _ => 5,
        }
    }

    /// Whether the day is one of `frozen_days`: days of the month from 1, or from -1 backwards from the
    /// month's end.
    fn is_frozen(self, frozen_days: &BTreeSet<i8>) -> bool {
        let DayOfMonth { day, month_length } = self.in_month();
        let from_start = day as i32;
        let from_end = day as i32 - month_length as i32 - 1;
        frozen_days.iter().any(|frozen| i32::from(*frozen) == from_start || i32::from(*frozen) == from_end)
    }
}

fn month_length(year: u64, month: u64) -> u32 {
    let is_leap_year = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    match month {
        2 => 28 + u32::from(is_leap_year),
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

/// The frozen period that has begun, or else the next one; none if no day is frozen.
///
/// `frozen_days` are days of the month from 1, or from -1 backwards from the month's end; a day lasts
/// `day_length`.
pub fn next_frozen_period(
    frozen_days: &BTreeSet<i8>,
    now: CalendarMoment,
    day_length: Span,
) -> Option<FrozenPeriod> {
    let today = now.day.0;
    let is_frozen = |day: u32| AccountingDay(day).is_frozen(frozen_days);
    let begins = (today..today + FROZEN_SEARCH_DAYS).find(|day| is_frozen(*day))?;
    let ends = (begins..begins + FROZEN_SEARCH_DAYS)
        .find(|day| !is_frozen(*day))
        .unwrap_or(begins + FROZEN_SEARCH_DAYS);
    let time_until = |day: u32| day_length.scaled((f64::from(day - today) - now.elapsed_fraction).max(0.0));
    Some(FrozenPeriod { begins_in: time_until(begins), ends_in: time_until(ends) })
}
