//! The book's calendar: days, and where in its month one lies. A planner's host tells the day by its own clock; forwarders
//! are told it, and compare no clock.

use std::collections::BTreeSet;

use granitelb_balancer::time::Span;

use super::sketch::Day;

impl Day {
    /// The day of the month from 1, and how many days the month has (by Hinnant's `civil_from_days`).
    pub fn in_month(self) -> (u32, u32) {
        let z = u64::from(self.0) + 719_468;
        let day_of_era = z % 146_097;
        let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        let shifted = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * shifted + 2) / 5 + 1;
        let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
        let year = year_of_era + u64::from(month <= 2);
        let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
        let days = match month {
            2 => 28 + u32::from(leap),
            4 | 6 | 9 | 11 => 30,
            _ => 31,
        };
        (day as u32, days)
    }

    /// Which part of the month's rhythm it belongs to: the month's two ends are told apart, which move with its length.
    pub fn rhythm(self) -> usize {
        match self.in_month() {
            (day, days) if day + 2 > days => 0,
            (day, days) if day + 5 > days => 1,
            (1..=2, _) => 2,
            (3..=6, _) => 3,
            (7..=15, _) => 4,
            _ => 5,
        }
    }
}

pub const RHYTHMS: usize = 6;

/// The frozen time that is now or comes next: when it begins and ends from now, in days so long.
pub fn frozen(frozen: &BTreeSet<i8>, today: Day, into: f64, day: Span) -> Option<(Span, Span)> {
    let is_frozen = |day: u32| {
        let (n, days) = Day(day).in_month();
        let from_end = n as i32 - days as i32 - 1;
        frozen.iter().any(|f| i32::from(*f) == n as i32 || i32::from(*f) == from_end)
    };
    let begins = (today.0..today.0 + 62).find(|d| is_frozen(*d))?;
    let ends = (begins..begins + 62).find(|d| !is_frozen(*d)).unwrap_or(begins + 62);
    let from_now = |at: u32| day.scaled((f64::from(at - today.0) - into).max(0.0));
    Some((from_now(begins), from_now(ends)))
}
