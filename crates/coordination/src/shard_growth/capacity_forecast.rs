//! Forecasts when a shard outgrows the capacity of its endpoints.

use super::forecast::{ForecastUnavailable, Point, forecast};

/// The horizons in days at which a shard's size is forecast. Between two horizons, the size is interpolated
/// linearly.
pub const HORIZONS: [u32; 4] = [7, 14, 30, 60];

/// The number of recent closed days by which a shard is judged to have outgrown its capacity.
const RECENT_DAYS: usize = 3;

/// The number of days, of the last [`RECENT_DAYS`], on which a shard that has outgrown its capacity reached
/// it.
const MIN_DAYS_OVER_CAPACITY: usize = 2;

/// The forecast of when a shard outgrows its capacity, in days since 1 January 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityForecast {
    /// The earliest day, by the upper bound of the forecast's interval. None if the day lies beyond all
    /// horizons.
    pub earliest: Option<f64>,
    /// The most likely day, by the expected value of the forecast. None if the day lies beyond all horizons.
    pub likely: Option<f64>,
    /// Why no forecast is available yet; none if there is a forecast.
    pub unavailable: Option<ForecastUnavailable>,
}

/// Forecasts when a shard outgrows a capacity in bytes. `points` are the shard's sizes in bytes on its closed
/// days, in ascending order of days.
pub fn forecast_capacity(points: &[Point], capacity_bytes: f64) -> CapacityForecast {
    let Some(last) = points.last() else { return CapacityForecast::default() };
    if has_outgrown(points, capacity_bytes) {
        // The capacity is exceeded already, so no forecast is needed.
        let today = Some(f64::from(last.day.0));
        return CapacityForecast { earliest: today, likely: today, unavailable: None };
    }
    forecast_crossings(points, last, capacity_bytes)
}

fn has_outgrown(points: &[Point], capacity_bytes: f64) -> bool {
    let recent = points.iter().rev().take(RECENT_DAYS);
    recent.filter(|point| point.value >= capacity_bytes).count() >= MIN_DAYS_OVER_CAPACITY
}

/// A point of the interpolated forecast: a number of days after the last closed day, and the size in bytes.
#[derive(Clone, Copy)]
struct LinePoint {
    days_ahead: f64,
    bytes: f64,
}

/// The days on which the interpolated forecast and its upper bound reach the capacity.
fn forecast_crossings(points: &[Point], last: &Point, capacity_bytes: f64) -> CapacityForecast {
    let today = f64::from(last.day.0);
    let start = LinePoint { days_ahead: 0.0, bytes: last.value };
    let mut likely_from = start;
    let mut upper_from = start;
    let mut crossings = CapacityForecast::default();
    for horizon in HORIZONS {
        let forecast = match forecast(points, horizon) {
            Ok(forecast) => forecast,
            Err(unavailable) => {
                // Longer horizons need a longer history; the forecasts of shorter horizons stay valid.
                if horizon == HORIZONS[0] {
                    crossings.unavailable = Some(unavailable);
                }
                break;
            }
        };
        let days_ahead = f64::from(horizon);
        let upper_to = LinePoint { days_ahead, bytes: forecast.high };
        let likely_to = LinePoint { days_ahead, bytes: forecast.value };
        if crossings.earliest.is_none() {
            crossings.earliest = crossing(upper_from, upper_to, capacity_bytes).map(|days| today + days);
        }
        if crossings.likely.is_none() {
            crossings.likely = crossing(likely_from, likely_to, capacity_bytes).map(|days| today + days);
        }
        likely_from = likely_to;
        upper_from = upper_to;
    }
    crossings
}

/// The number of days after the last closed day at which the line between two points reaches the capacity, if
/// any.
fn crossing(from: LinePoint, to: LinePoint, capacity_bytes: f64) -> Option<f64> {
    if from.bytes >= capacity_bytes {
        return Some(from.days_ahead);
    }
    if to.bytes < capacity_bytes {
        return None;
    }
    let days = to.days_ahead - from.days_ahead;
    Some(from.days_ahead + days * (capacity_bytes - from.bytes) / (to.bytes - from.bytes))
}
