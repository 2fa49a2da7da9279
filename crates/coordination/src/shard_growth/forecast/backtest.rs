//! Backtests of the forecast: forecasts from past days, each based only on the history up to that day.

use super::fit::Fit;
use super::{MODELS, Model, Point};

/// The maximum number of past forecasts that are compared with actual values.
const MAX_BACKTESTS: usize = 40;

/// The minimum number of days between past forecasts, since forecasts of adjacent days have similar errors.
pub(super) const BACKTEST_INTERVAL_DAYS: u32 = 4;

/// The greatest gap in days between a past forecast's first day and the last known day before. A past
/// forecast with a greater gap is left out.
const MAX_GAP_DAYS: u32 = 2;

/// The greatest absolute value of a relative error.
const MAX_ERROR: f64 = 1e6;

/// The factor by which the mean error of a model with a trend is increased, since such a model fits the last
/// backtests slightly better by chance.
const COMPLEX_MODEL_PENALTY: f64 = 1.05;

/// The predictions of all models for a past day, and the actual value of that day.
pub(super) struct Backtest {
    level: f64,
    actual: f64,
    predictions: [f64; MODELS.len()],
}

impl Backtest {
    /// The error of a model relative to the level at the time of the forecast, since errors grow with the
    /// level.
    pub(super) fn error(&self, model: Model) -> f64 {
        let error = (self.actual - self.predictions[model as usize]) / self.level.max(f64::MIN_POSITIVE);
        error.clamp(-MAX_ERROR, MAX_ERROR)
    }
}

/// The mean absolute error of a model relative to the level, increased by a penalty for models with a trend.
pub(super) fn mean_error(backtests: &[Backtest], model: Model) -> f64 {
    let sum: f64 = backtests.iter().map(|backtest| backtest.error(model).abs()).sum();
    let penalty = if model == Model::Constant { 1.0 } else { COMPLEX_MODEL_PENALTY };
    sum / backtests.len() as f64 * penalty
}

/// The backtests of a history at a horizon in days, the latest first.
pub(super) fn backtests(history: &[Point], horizon: u32) -> Vec<Backtest> {
    let mut backtests = Vec::new();
    let mut latest_origin = u32::MAX;
    for (index, actual) in history.iter().enumerate().rev() {
        if backtests.len() >= MAX_BACKTESTS {
            break;
        }
        let Some(origin) = actual.day.0.checked_sub(horizon) else { break };
        if origin > latest_origin {
            continue;
        }
        let known_count = history[..index].partition_point(|point| point.day.0 <= origin);
        let known = &history[..known_count];
        let Some(last_known) = known.last() else { break };
        if last_known.day.0 + MAX_GAP_DAYS < origin {
            continue;
        }
        let Some(fit) = Fit::of(known) else { continue };
        latest_origin = origin.saturating_sub(BACKTEST_INTERVAL_DAYS);
        let predictions = MODELS.map(|model| fit.predict(model, actual.day));
        backtests.push(Backtest { level: fit.level, actual: actual.value, predictions });
    }
    backtests
}
