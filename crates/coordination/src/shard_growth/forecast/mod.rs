//! Forecasts a shard's size, as a pure function of its history.
//!
//! Three simple models are backtested on the shard's own history. The forecast is made by the model with the
//! smallest errors in these backtests, and the interval is derived from the same errors.
//!
//! Invariant: the interval is based on errors that the chosen model made for this shard at this horizon, on
//! days that were not used to fit it. There is no forecast before there are enough such errors. A history
//! that no model fits therefore gets a wide interval, not a wrong one, as long as future errors are like past
//! errors.

mod backtest;
mod fit;
mod jumps;
mod statistics;

use backtest::{BACKTEST_INTERVAL_DAYS, backtests, mean_error};
use fit::Fit;
use statistics::quantile;

use super::accounting_day::AccountingDay;

/// The value of one day of a history. The days of a history are in ascending order; some may be missing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The day.
    pub day: AccountingDay,
    /// The value, which is not negative.
    pub value: f64,
}

/// The forecast for one day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The expected value.
    pub value: f64,
    /// The lower bound of the interval, which contains the actual value with a probability of 90%.
    pub low: f64,
    /// The upper bound of the interval.
    pub high: f64,
    /// The model with the smallest errors in the backtests.
    pub model: Model,
}

/// A model of growth. All models share the level and the seasonal pattern. The variants are in the order of
/// `MODELS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// The level stays constant.
    Constant,
    /// The level grows by the same amount each day.
    Linear,
    /// The level grows by the same factor each day.
    Compound,
}

const MODELS: [Model; 3] = [Model::Constant, Model::Linear, Model::Compound];

/// The reason why no forecast is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// Too few days are known.
    ShortHistory,
    /// Too many of the recent days are missing.
    Gaps,
    /// Too few past forecasts can be compared with actual values.
    TooFewBacktests,
}

/// The reason why no forecast is available yet, and the day from which one will be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastUnavailable {
    /// Why no forecast is available.
    pub reason: UnavailableReason,
    /// The first day with a forecast, if no further day is missing.
    pub available_from: AccountingDay,
}

/// The minimum number of known days among those over which the trend is fitted.
const MIN_DAYS: usize = 28;

/// The minimum number of past forecasts that are compared with actual values.
const MIN_BACKTESTS: usize = 12;

/// The fraction of past errors that lie within the interval before the interval is widened.
const COVERAGE: f64 = 0.9;

/// The fraction of the interval's width by which each side is widened, before the division by the square root
/// of the number of independent backtests. The value is based on simulated histories of seeds 1 to 40 and
/// 1001 to 1100, so its coverage has to be checked with other seeds.
const WIDENING: f64 = 0.23;

/// The greatest age in days of the history that is used.
const MAX_HISTORY_DAYS: u32 = 400;

/// Forecasts the value `horizon` days after the last day of a history.
///
/// # Errors
/// The history is too short or has too many gaps; the error states the first day with a forecast.
pub fn forecast(history: &[Point], horizon: u32) -> Result<Forecast, ForecastUnavailable> {
    let Some(last) = history.last().map(|point| point.day) else {
        let reason = UnavailableReason::ShortHistory;
        return Err(ForecastUnavailable { reason, available_from: AccountingDay(0) });
    };
    let oldest = history.partition_point(|point| point.day.0 + MAX_HISTORY_DAYS < last.0);
    let history = &history[oldest..];
    let available_from = first_forecast_day(history[0].day, horizon).max(AccountingDay(last.0 + 1));
    if history.len() < MIN_DAYS {
        return Err(ForecastUnavailable { reason: UnavailableReason::ShortHistory, available_from });
    }
    let Some(fit) = Fit::of(history) else {
        let available_from = AccountingDay(last.0 + MIN_DAYS as u32);
        return Err(ForecastUnavailable { reason: UnavailableReason::Gaps, available_from });
    };
    let backtests = backtests(history, horizon);
    if backtests.len() < MIN_BACKTESTS {
        return Err(ForecastUnavailable { reason: UnavailableReason::TooFewBacktests, available_from });
    }
    let model = MODELS
        .into_iter()
        .min_by(|a, b| mean_error(&backtests, *a).total_cmp(&mean_error(&backtests, *b)))
        .expect("there are three models");
    let mut errors: Vec<f64> = backtests.iter().map(|backtest| backtest.error(model)).collect();
    errors.sort_by(f64::total_cmp);
    let value = fit.predict(model, AccountingDay(last.0 + horizon));
    Ok(with_interval(model, value, fit.level, error_interval(&errors, horizon)))
}

/// The first day with a forecast if no day is missing: after the days of the first fit, the horizon, and the
/// days of the remaining backtests.
fn first_forecast_day(first: AccountingDay, horizon: u32) -> AccountingDay {
    let backtest_days = BACKTEST_INTERVAL_DAYS * (MIN_BACKTESTS as u32 - 1);
    AccountingDay(first.0 + MIN_DAYS as u32 + horizon + backtest_days)
}

/// The bounds of a forecast's error relative to the level.
struct ErrorInterval {
    low: f64,
    high: f64,
}

fn with_interval(model: Model, value: f64, level: f64, errors: ErrorInterval) -> Forecast {
    let level = level.max(f64::MIN_POSITIVE);
    let low = bounded(value + errors.low * level);
    let high = bounded(value + errors.high * level);
    let value = bounded(value);
    Forecast { value, low: low.min(value), high: high.max(value), model }
}

fn bounded(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { f64::MAX }
}

/// The quantiles of past errors, widened. Backtests overlap, so they hold less information than their number
/// suggests, and the next error may exceed all past errors.
fn error_interval(sorted_errors: &[f64], horizon: u32) -> ErrorInterval {
    let count = sorted_errors.len() as f64;
    // The number of backtests whose horizons do not overlap.
    let independent = (count * f64::from(BACKTEST_INTERVAL_DAYS)
        / f64::from(horizon.max(BACKTEST_INTERVAL_DAYS)))
    .max(1.0)
    .min(count);
    let tail = ((1.0 - COVERAGE) / 2.0 - 0.5 / count).max(0.0);
    let low = quantile(sorted_errors, tail);
    let high = quantile(sorted_errors, 1.0 - tail);
    let widening = (high - low) * WIDENING / independent.sqrt();
    ErrorInterval { low: low - widening, high: high + widening }
}
