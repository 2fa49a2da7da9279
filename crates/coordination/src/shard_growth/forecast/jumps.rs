//! Removes level shifts from a history: a bulk load or a purge is no trend.

use super::Point;
use super::statistics::median;

/// A shift of this many usual daily changes that stays is a bulk load or a purge.
const MIN_SHIFT_IN_DAILY_CHANGES: f64 = 8.0;

/// The number of days on each side by which a shift is recognized.
const COMPARED_DAYS: usize = 7;

/// A day's own change has to make up more than this fraction of the shift.
const MIN_OWN_FRACTION: f64 = 0.5;

/// The history as if it had always been at the level after its last shift.
pub(super) fn without_jumps(points: &[Point]) -> Vec<Point> {
    let mut flat = points.to_vec();
    let mut changes: Vec<f64> = points.windows(2).map(|days| (days[1].value - days[0].value).abs()).collect();
    let Some(usual_change) = median(&mut changes).filter(|change| *change > 0.0) else { return flat };
    let mut day = COMPARED_DAYS;
    while day + COMPARED_DAYS <= flat.len() {
        if is_jump(&flat, day, usual_change) {
            level_days_before(&mut flat, day);
            day += COMPARED_DAYS;
        } else {
            day += 1;
        }
    }
    flat
}

/// Whether the level shifts on this very day: its own change makes up most of the shift, and all days after it lie
/// beyond all days before it.
fn is_jump(points: &[Point], day: usize, usual_change: f64) -> bool {
    let before = &points[day - COMPARED_DAYS..day];
    let after = &points[day..day + COMPARED_DAYS];
    let (Some(level_before), Some(level_after)) = (median_value(before), median_value(after)) else {
        return false;
    };
    let shift = level_after - level_before;
    let own_change = own_change(points, day);
    let is_separated = if level_after > level_before {
        lowest(after) > highest(before)
    } else {
        highest(after) < lowest(before)
    };
    is_separated
        && shift.abs() > MIN_SHIFT_IN_DAILY_CHANGES * usual_change
        && own_change * shift > 0.0
        && own_change.abs() > MIN_OWN_FRACTION * shift.abs()
        && level_before > 0.0
}

/// Moves all days before `day` to the level after it.
fn level_days_before(points: &mut [Point], day: usize) {
    let own_change = own_change(points, day);
    // A purge scales the days before it. If its bytes were subtracted, a day that was small would be left with nothing,
    // and the growth since then would have no bound.
    let remaining_fraction = 1.0 + own_change / points[day - 1].value;
    for point in &mut points[..day] {
        if own_change < 0.0 {
            point.value *= remaining_fraction;
        } else {
            point.value += own_change;
        }
    }
}

fn own_change(points: &[Point], day: usize) -> f64 {
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
