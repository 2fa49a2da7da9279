//! Removes level shifts from a history, since a bulk load or a purge is not part of the trend.

use super::Point;
use super::statistics::median;

/// The minimum size of a lasting shift that counts as a bulk load or a purge, as a multiple of the median
/// daily change.
const MIN_SHIFT_IN_DAILY_CHANGES: f64 = 8.0;

/// The number of days on each side of a day that are compared to detect a shift.
const COMPARED_DAYS: usize = 7;

/// The fraction of a shift that the change from the day before has to exceed.
const MIN_DAILY_CHANGE_FRACTION: f64 = 0.5;

/// The history with all days before each level shift moved to the level after the shift.
pub(super) fn without_level_shifts(points: &[Point]) -> Vec<Point> {
    let mut shifted = points.to_vec();
    let mut changes: Vec<f64> = points.windows(2).map(|days| (days[1].value - days[0].value).abs()).collect();
    let Some(median_daily_change) = median(&mut changes).filter(|change| *change > 0.0) else {
        return shifted;
    };
    let mut day = COMPARED_DAYS;
    while day + COMPARED_DAYS <= shifted.len() {
        if is_level_shift(&shifted, day, median_daily_change) {
            level_days_before(&mut shifted, day);
            day += COMPARED_DAYS;
        } else {
            day += 1;
        }
    }
    shifted
}

/// Whether the level shifts on this day: most of the shift is the change from the day before, and the values
/// before and after the shift do not overlap.
fn is_level_shift(points: &[Point], day: usize, median_daily_change: f64) -> bool {
    let before = &points[day - COMPARED_DAYS..day];
    let after = &points[day..day + COMPARED_DAYS];
    let (Some(level_before), Some(level_after)) = (median_value(before), median_value(after)) else {
        return false;
    };
    let shift = level_after - level_before;
    let daily_change = daily_change(points, day);
    let is_separated = if level_after > level_before {
        lowest(after) > highest(before)
    } else {
        highest(after) < lowest(before)
    };
    is_separated
        && shift.abs() > MIN_SHIFT_IN_DAILY_CHANGES * median_daily_change
        && daily_change * shift > 0.0
        && daily_change.abs() > MIN_DAILY_CHANGE_FRACTION * shift.abs()
        && level_before > 0.0
}

/// Moves the values of all days before `day` to the level after the shift on that day.
fn level_days_before(points: &mut [Point], day: usize) {
    let daily_change = daily_change(points, day);
    // The values before a purge are scaled. If the purged bytes were subtracted instead, a small value could
    // become zero or negative, and the growth since that day would be unbounded.
    let remaining_fraction = 1.0 + daily_change / points[day - 1].value;
    for point in &mut points[..day] {
        if daily_change < 0.0 {
            point.value *= remaining_fraction;
        } else {
            point.value += daily_change;
        }
    }
}

fn daily_change(points: &[Point], day: usize) -> f64 {
    points[day].value - points[day - 1].value
}

fn median_value(points: &[Point]) -> Option<f64> {
    let mut values: Vec<f64> = points.iter().map(|point| point.value).collect();
    median(&mut values)
}

fn lowest(points: &[Point]) -> f64 {
    points.iter().map(|point| point.value).fold(f64::MAX, f64::min)
}

fn highest(points: &[Point]) -> f64 {
    points.iter().map(|point| point.value).fold(0.0, f64::max)
}
