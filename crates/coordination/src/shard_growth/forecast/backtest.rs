//! Replays the forecast on days of the past, each by what was known by then.

use super::fit::Fit;
use super::{MODELS, Model, Point};

/// The number of past forecasts that are compared with what followed, at most.
const MAX_BACKTESTS: usize = 40;

/// Past forecasts lie at least this many days apart: neighbours have similar errors.
pub(super) const BACKTEST_INTERVAL_DAYS: u32 = 4;

/// A past forecast is left out if the last day known then was older than this.
const MAX_GAP_DAYS: u32 = 2;

/// The bound of a relative error.
const MAX_ERROR: f64 = 1e6;

/// A more complex model has to be better by this factor: by chance it follows the last backtests a little closer.
const COMPLEX_MODEL_PENALTY: f64 = 1.05;

/// A past forecast and what followed.
pub(super) struct Backtest {
    level: f64,
    actual: f64,
    predictions: [f64; MODELS.len()],
}

impl Backtest {
    /// The error of a model relative to the level then: errors grow with the level.
    pub(super) fn error(&self, model: Model) -> f64 {
        let error = (self.actual - self.predictions[model as usize]) / self.level.max(f64::MIN_POSITIVE);
        error.clamp(-MAX_ERROR, MAX_ERROR)
    }
}

/// The mean absolute error of a model, with a penalty for complexity.
pub(super) fn mean_error(backtests: &[Backtest], model: Model) -> f64 {
    let sum: f64 = backtests.iter().map(|backtest| backtest.error(model).abs()).sum();
    let penalty = if model == Model::Constant { 1.0 } else { COMPLEX_MODEL_PENALTY };
    sum / backtests.len() as f64 * penalty
}

/// Forecasts from days of the past, the latest first.
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
