//! Fits the level, trend and seasonal pattern of a history with robust statistics.

use super::jumps::without_level_shifts;
use super::statistics::median;
use super::{MIN_DAYS, Model, Point};
use crate::shard_growth::accounting_day::{AccountingDay, SEASON_COUNT};

/// The number of days over which the trend is fitted.
const TREND_DAYS: u32 = 56;

/// The number of days over which the seasonal pattern is fitted.
const SEASON_DAYS: u32 = 3 * TREND_DAYS;

/// The number of days whose median is the present level. A burst of a few days changes this median little.
const LEVEL_DAYS: u32 = 14;

/// The number of recent days of which at least [`MIN_RECENT_DAYS`] have to be known.
const RECENT_DAYS: u32 = 7;

/// The minimum number of known days among the last [`RECENT_DAYS`].
const MIN_RECENT_DAYS: usize = 4;

/// The minimum number of days between the two days of a slope.
const MIN_SLOPE_DAYS: f64 = 7.0;

/// The number of days on each side of a day whose median is the trend at that day. The seasonal pattern
/// cancels out over a whole month.
const HALF_MONTH_DAYS: u32 = 15;

/// The minimum number of days for the factor of a season, which takes at least two months. With fewer days,
/// the factor is 1.
const MIN_SEASON_DAYS: f64 = 4.0;

/// The weight, in days, of the prior factor 1 with which a season's factor is averaged.
const SEASON_PRIOR_DAYS: f64 = 2.0;

const MIN_SEASON_FACTOR: f64 = 0.2;
const MAX_SEASON_FACTOR: f64 = 5.0;

/// The lower bound of values before their logarithm is taken.
const MIN_VALUE: f64 = 1e-9;

/// The greatest absolute value of the exponent of a compound trend.
const MAX_EXPONENT: f64 = 20.0;

/// The level, trend and seasonal pattern fitted to the history up to one day.
pub(super) struct Fit {
    day: AccountingDay,
    /// The value on that day without the seasonal factor.
    pub(super) level: f64,
    /// The growth per day.
    linear_slope: f64,
    /// The growth of the logarithm per day.
    log_slope: f64,
    seasonal_factors: [f64; SEASON_COUNT],
}

impl Fit {
    /// Fits a history up to its last day; none if too many of the recent days are missing.
    pub(super) fn of(history: &[Point]) -> Option<Fit> {
        let day = history.last()?.day;
        if since(history, day, TREND_DAYS).len() < MIN_DAYS
            || since(history, day, RECENT_DAYS).len() < MIN_RECENT_DAYS
        {
            return None;
        }
        let leveled = without_level_shifts(since(history, day, SEASON_DAYS));
        let seasonal_factors = seasonal_factors(&leveled);
        let deseasoned: Vec<Point> = leveled
            .iter()
            .map(|point| Point { value: point.value / seasonal_factors[point.day.season()], ..*point })
            .collect();
        let window = since(&deseasoned, day, TREND_DAYS);
        let linear_slope = median_slope(window, |value| value)?;
        let log_slope = median_slope(window, |value| value.max(MIN_VALUE).ln())?;
        let mut levels: Vec<f64> = since(window, day, LEVEL_DAYS)
            .iter()
            .map(|point| point.value + linear_slope * f64::from(day.0 - point.day.0))
            .collect();
        let level = median(&mut levels)?.max(0.0);
        Some(Fit { day, level, linear_slope, log_slope, seasonal_factors })
    }

    /// The value on a later day, predicted by a model.
    pub(super) fn predict(&self, model: Model, day: AccountingDay) -> f64 {
        let days = f64::from(day.0.saturating_sub(self.day.0));
        let trend = match model {
            Model::Constant => self.level,
            Model::Linear => self.level + self.linear_slope * days,
            Model::Compound => self.level * (self.log_slope * days).clamp(-MAX_EXPONENT, MAX_EXPONENT).exp(),
        };
        trend.max(0.0) * self.seasonal_factors[day.season()]
    }
}

/// The part of an ordered history that is less than `days` older than `day`.
fn since(history: &[Point], day: AccountingDay, days: u32) -> &[Point] {
    &history[history.partition_point(|point| point.day.0 + days <= day.0)..]
}

/// The factor of each season relative to the trend; 1 for a season with too few known days.
fn seasonal_factors(points: &[Point]) -> [f64; SEASON_COUNT] {
    let mut factors_by_season: [Vec<f64>; SEASON_COUNT] = Default::default();
    for (index, point) in points.iter().enumerate() {
        if let Some(trend) = centered_median(points, index) {
            factors_by_season[point.day.season()].push(point.value / trend);
        }
    }
    factors_by_season.map(|mut factors| {
        let days = factors.len() as f64;
        let factor = median(&mut factors).unwrap_or(1.0);
        if days < MIN_SEASON_DAYS {
            1.0
        } else {
            (1.0 + (factor - 1.0) * days / (days + SEASON_PRIOR_DAYS))
                .clamp(MIN_SEASON_FACTOR, MAX_SEASON_FACTOR)
        }
    })
}

/// The median value of the month around a day; none if the history does not cover the whole month, or the
/// median is not positive.
fn centered_median(points: &[Point], index: usize) -> Option<f64> {
    let day = points[index].day.0;
    let first = points[0].day.0;
    let last = points[points.len() - 1].day.0;
    let is_covered = day >= first + HALF_MONTH_DAYS && last >= day + HALF_MONTH_DAYS;
    if !is_covered {
        return None;
    }
    let from = points[..index].partition_point(|point| point.day.0 + HALF_MONTH_DAYS < day);
    let to = points.partition_point(|point| point.day.0 <= day + HALF_MONTH_DAYS);
    let mut values: Vec<f64> = points[from..to].iter().map(|point| point.value).collect();
    median(&mut values).filter(|median| *median > 0.0)
}

/// The slope per day by the Theil–Sen estimator: the median of the slopes between all pairs of days that are
/// at least [`MIN_SLOPE_DAYS`] apart.
fn median_slope(points: &[Point], transform: impl Fn(f64) -> f64) -> Option<f64> {
    let values: Vec<(f64, f64)> =
        points.iter().map(|point| (f64::from(point.day.0), transform(point.value))).collect();
    let mut slopes = Vec::new();
    for (index, (day, value)) in values.iter().enumerate() {
        for (later_day, later_value) in &values[index + 1..] {
            if later_day - day >= MIN_SLOPE_DAYS {
                slopes.push((later_value - value) / (later_day - day));
            }
        }
    }
    median(&mut slopes)
}
