//! Simulated histories of a shard's size by seed, in several shapes, with a monthly pattern, bursts, drops
//! and gaps.

use granitelb_coordination::shard_growth::accounting_day::{AccountingDay, DayOfMonth};
use granitelb_coordination::shard_growth::forecast::{Point, forecast};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The shape of a history. The names of variants are hashed by the seeded draws, so renaming one changes its
/// histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shape {
    Steady,
    Accelerating,
    Step,
    Seasonal,
    Shrinking,
    Bursty,
}

pub const SHAPES: [Shape; 6] =
    [Shape::Steady, Shape::Accelerating, Shape::Step, Shape::Seasonal, Shape::Shrinking, Shape::Bursty];

const INITIAL_BYTES: f64 = 1e9;
const GAP_BLOCK_DAYS: u32 = 6;

/// A burst or a drop of the size that lasts for some days.
struct Burst {
    remaining_days: u32,
    factor: f64,
}

/// The random draws of one history. Each draw is a hash of shape, purpose, index and seed.
struct Draws {
    shape: Shape,
    seed: u64,
}

impl Draws {
    /// A uniformly distributed draw from 0 to 1.
    fn uniform(&self, purpose: &str, index: u32) -> f64 {
        let hash = xxh3_64_with_seed(format!("{:?} {purpose} {index}", self.shape).as_bytes(), self.seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A draw from the standard normal distribution, by the Box–Muller transform.
    fn normal(&self, purpose: &str, index: u32) -> f64 {
        let radius: f64 = (-2.0_f64 * self.uniform(purpose, 2 * index).max(1e-12).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.uniform(purpose, 2 * index + 1)).cos()
    }

    fn is_gap(&self, day: u32) -> bool {
        let block = day / GAP_BLOCK_DAYS;
        self.uniform("lost", day) < 0.02 || block > 0 && self.uniform("gap", block) < 0.01
    }

    fn starts_burst(&self, day: u32) -> bool {
        let probability = if self.shape == Shape::Bursty { 0.03 } else { 0.003 };
        self.uniform("burst", day) < probability
    }

    fn burst(&self, day: u32) -> Burst {
        let is_drop = self.uniform("void", day) < 0.4;
        Burst {
            remaining_days: 1 + (self.uniform("long", day) * 3.0) as u32,
            factor: if is_drop { 0.3 } else { 1.5 + self.uniform("high", day) },
        }
    }
}

fn trend(shape: Shape, growth_rate: f64, day: u32) -> f64 {
    let days = f64::from(day);
    match shape {
        Shape::Accelerating => (growth_rate * days * 0.5 + growth_rate * days * days / 800.0).exp(),
        Shape::Shrinking => (growth_rate * days).exp(),
        _ => 1.0 + growth_rate * days,
    }
}

fn is_month_end(day: AccountingDay) -> bool {
    let DayOfMonth { day, month_length } = day.in_month();
    day <= 2 || day + 2 > month_length
}

/// A simulated history over `days` days, in which the days of gaps are missing.
pub fn simulated_history(shape: Shape, seed: u64, days: u32) -> Vec<Point> {
    let draws = Draws { shape, seed };
    let start = AccountingDay(20_000 + (draws.uniform("start", 0) * 300.0) as u32);
    let growth_rate = match shape {
        Shape::Shrinking => -0.0005 - 0.002 * draws.uniform("rate", 0),
        _ => 0.001 + 0.004 * draws.uniform("rate", 0),
    };
    let season = if shape == Shape::Seasonal { 0.15 + 0.3 * draws.uniform("season", 0) } else { 0.04 };
    let step_day = days / 4 + (draws.uniform("step", 0) * f64::from(days) / 2.0) as u32;
    let mut random_walk = 0.0;
    let mut burst = Burst { remaining_days: 0, factor: 1.0 };
    let mut points = Vec::new();
    for n in 0..days {
        // Each day adds a random change of the level, which stays.
        random_walk += 0.002 * draws.normal("wander", n);
        if burst.remaining_days == 0 && draws.starts_burst(n) {
            burst = draws.burst(n);
        }
        let day = AccountingDay(start.0 + n);
        let step_factor = if shape == Shape::Step && n >= step_day { 1.5 } else { 1.0 };
        let season_factor = 1.0 + season * f64::from(u8::from(is_month_end(day)));
        let burst_factor = if burst.remaining_days > 0 { burst.factor } else { 1.0 };
        burst.remaining_days = burst.remaining_days.saturating_sub(1);
        let noise = f64::exp(random_walk + 0.015 * draws.normal("noise", n));
        let value =
            INITIAL_BYTES * trend(shape, growth_rate, n) * step_factor * season_factor * burst_factor * noise;
        if !draws.is_gap(n) {
            points.push(Point { day, value });
        }
    }
    points
}

/// The comparison of forecasts with actual values. Errors and widths are fractions of the actual value,
/// summed over all forecasts.
#[derive(Default)]
pub struct Backtest {
    pub forecasts: usize,
    /// The number of days for which no forecast was available.
    pub unavailable: usize,
    /// The number of forecasts whose interval contains the actual value.
    pub covered: usize,
    /// The error of the forecast.
    pub error: f64,
    /// The error of using the last value as the forecast.
    pub constant_error: f64,
    /// The error of a straight line fitted to the last 56 known days.
    pub line_error: f64,
    /// Half of the interval's width.
    pub half_width: f64,
}

/// Backtests the forecast at a horizon in days on the histories of the given seeds.
pub fn backtest(shape: Shape, seeds: std::ops::Range<u64>, horizon: u32) -> Backtest {
    let mut result = Backtest::default();
    for seed in seeds {
        let history = simulated_history(shape, seed, 400);
        for origin in (60..history.len()).step_by(23) {
            let known = &history[..origin];
            let last = known[origin - 1];
            let Some(actual) = history.iter().find(|point| point.day.0 == last.day.0 + horizon) else {
                continue;
            };
            let Ok(forecast) = forecast(known, horizon) else {
                result.unavailable += 1;
                continue;
            };
            let relative_error = |value: f64| (value - actual.value).abs() / actual.value;
            let recent = &known[known.len().saturating_sub(56)..];
            result.forecasts += 1;
            result.covered += usize::from((forecast.low..=forecast.high).contains(&actual.value));
            result.error += relative_error(forecast.value);
            result.constant_error += relative_error(last.value);
            result.line_error += relative_error(least_squares(recent, actual.day));
            result.half_width += (forecast.high - forecast.low) / 2.0 / actual.value;
        }
    }
    result
}

/// The value on a day, predicted by a least-squares line.
fn least_squares(points: &[Point], on: AccountingDay) -> f64 {
    let count = points.len() as f64;
    let day = |point: &Point| f64::from(point.day.0);
    let mean_day = points.iter().map(day).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (day(point) - mean_day) * (point.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|point| (day(point) - mean_day).powi(2)).sum();
    mean_value + covariance / variance * (f64::from(on.0) - mean_day)
}
