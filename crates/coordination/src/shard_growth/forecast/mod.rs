//! A forecast of a shard's size, as a pure function of its history.
//!
//! Three simple models are replayed on the history itself. The forecast is that of the model that would have had the
//! smallest errors, and the same replay gives the interval.
//!
//! Invariant: the interval is made of errors that the chosen model made on this very shard at this horizon, on days that
//! it had not seen; none is given before there are enough of them. So a shape that no model follows has a wide interval
//! rather than a wrong one, as long as future errors are like past ones.

mod backtest;
mod fit;
mod jumps;
mod statistics;

use backtest::{BACKTEST_INTERVAL_DAYS, backtests, mean_error};
use fit::Fit;
use statistics::quantile;

use super::accounting_day::AccountingDay;

/// The value of one day. Days are in ascending order and may be missing.
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
    /// The lower bound of the interval, which holds the actual value nine times of ten.
    pub low: f64,
    /// The upper bound of the interval.
    pub high: f64,
    /// The model that had the smallest errors.
    pub model: Model,
}

/// A model of growth. All models have the same level and seasonal pattern. The order of variants is that of `MODELS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// The level stays.
    Constant,
    /// The level grows by the same amount each day.
    Linear,
    /// The level grows by the same factor each day.
    Compound,
}

const MODELS: [Model; 3] = [Model::Constant, Model::Linear, Model::Compound];

/// Why there is no forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// Too few days are known.
    ShortHistory,
    /// Too many of the recent days are missing.
    Gaps,
    /// Too few past forecasts can be compared with what followed.
    TooFewBacktests,
}

/// There is no forecast yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastUnavailable {
    /// Why there is none.
    pub reason: UnavailableReason,
    /// From when on there is one, if no further day is missing.
    pub available_from: AccountingDay,
}

/// The number of days that have to be known of those over which a trend is fitted.
const MIN_DAYS: usize = 28;

/// The number of past forecasts that have to be compared with what followed.
const MIN_BACKTESTS: usize = 12;

/// The fraction of past errors that lies within the interval before it is widened.
const COVERAGE: f64 = 0.9;

/// By how much of its width the interval is widened on each side if no two backtests share a day. Set on simulated
/// histories of seeds 1 to 40 and 1001 to 1100.
const WIDENING: f64 = 0.23;

/// Days older than this are not used.
const MAX_HISTORY_DAYS: u32 = 400;

/// Forecasts the value `horizon` days after the last day of the history.
///
/// # Errors
/// The history is too short or has too many gaps; the error says from when on there is a forecast.
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

/// The first day with a forecast if no day is missing: the first fit, its horizon, and the backtests after that.
fn first_forecast_day(first: AccountingDay, horizon: u32) -> AccountingDay {
    let backtest_days = BACKTEST_INTERVAL_DAYS * (MIN_BACKTESTS as u32 - 1);
    AccountingDay(first.0 + MIN_DAYS as u32 + horizon + backtest_days)
}

/// Bounds of the relative error of a forecast.
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

/// Quantiles of past errors, widened: backtests overlap, so that they tell of fewer cases than there are, and the next
/// error may exceed all of them.
fn error_interval(sorted_errors: &[f64], horizon: u32) -> ErrorInterval {
    let count = sorted_errors.len() as f64;
    // The number of backtests that share no day with one another.
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
