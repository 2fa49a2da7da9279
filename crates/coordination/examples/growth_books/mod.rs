//! Seeded books: what a shard keeps, day by day, in several shapes with a month's rhythm, bursts, voids and gaps.

use granitelb_coordination::shard_growth::forecast::{Point, forecast};
use granitelb_coordination::shard_growth::sketch::Day;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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

/// Days of a book, without those of gaps.
pub fn book(shape: Shape, seed: u64, days: u32) -> Vec<Point> {
    let drawn = |what: &str, n: u32| {
        let hash = xxh3_64_with_seed(format!("{shape:?} {what} {n}").as_bytes(), seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    };
    let normal = |what: &str, n: u32| {
        let radius: f64 = (-2.0_f64 * drawn(what, 2 * n).max(1e-12).ln()).sqrt();
        radius * (std::f64::consts::TAU * drawn(what, 2 * n + 1)).cos()
    };
    let start = Day(20_000 + (drawn("start", 0) * 300.0) as u32);
    let rate = match shape {
        Shape::Shrinking => -0.0005 - 0.002 * drawn("rate", 0),
        _ => 0.001 + 0.004 * drawn("rate", 0),
    };
    let season = if shape == Shape::Seasonal { 0.15 + 0.3 * drawn("season", 0) } else { 0.04 };
    let step_at = days / 4 + (drawn("step", 0) * f64::from(days) / 2.0) as u32;
    let (mut wander, mut burst) = (0.0, (0u32, 1.0));
    let mut points = Vec::new();
    for n in 0..days {
        let t = f64::from(n);
        // Each day's own growth differs, and stays.
        wander += 0.002 * normal("wander", n);
        let trend = match shape {
            Shape::Accelerating => (rate * t * 0.5 + rate * t * t / 800.0).exp(),
            Shape::Shrinking => (rate * t).exp(),
            _ => 1.0 + rate * t,
        };
        let stepped = if shape == Shape::Step && n >= step_at { 1.5 } else { 1.0 };
        let (day, length) = Day(start.0 + n).in_month();
        let rhythm = 1.0 + season * f64::from(u8::from(day <= 2 || day + 2 > length));
        let often = if shape == Shape::Bursty { 0.03 } else { 0.003 };
        if burst.0 == 0 && drawn("burst", n) < often {
            let void = drawn("void", n) < 0.4;
            burst = (1 + (drawn("long", n) * 3.0) as u32, if void { 0.3 } else { 1.5 + drawn("high", n) });
        }
        let bursts = if burst.0 > 0 { burst.1 } else { 1.0 };
        burst.0 = burst.0.saturating_sub(1);
        let value = 1e9 * trend * stepped * rhythm * bursts * f64::exp(wander + 0.015 * normal("noise", n));
        let gap = drawn("lost", n) < 0.02 || n / 6 > 0 && drawn("gap", n / 6) < 0.01;
        if !gap {
            points.push(Point { day: Day(start.0 + n), value });
        }
    }
    points
}

#[derive(Default)]
pub struct Backtest {
    pub forecasts: usize,
    pub not_yet: usize,
    pub held: usize,
    /// Sums of errors as parts of what came.
    pub error: f64,
    pub as_today: f64,
    pub line: f64,
    pub half_width: f64,
}

pub fn backtest(shape: Shape, seeds: std::ops::Range<u64>, horizon: u32) -> Backtest {
    let mut b = Backtest::default();
    for seed in seeds {
        let book = book(shape, seed, 400);
        for origin in (60..book.len()).step_by(23) {
            let known = &book[..origin];
            let last = known[origin - 1];
            let Some(came) = book.iter().find(|p| p.day.0 == last.day.0 + horizon) else { continue };
            let Ok(f) = forecast(known, horizon) else {
                b.not_yet += 1;
                continue;
            };
            b.forecasts += 1;
            b.held += usize::from((f.low..=f.high).contains(&came.value));
            b.error += (f.value - came.value).abs() / came.value;
            b.as_today += (last.value - came.value).abs() / came.value;
            b.line += (straight(&known[known.len().saturating_sub(56)..], came.day) - came.value).abs()
                / came.value;
            b.half_width += (f.high - f.low) / 2.0 / came.value;
        }
    }
    b
}

/// Least squares.
fn straight(points: &[Point], to: Day) -> f64 {
    let n = points.len() as f64;
    let day = |p: &Point| f64::from(p.day.0);
    let (x, y) = (points.iter().map(day).sum::<f64>() / n, points.iter().map(|p| p.value).sum::<f64>() / n);
    let up: f64 = points.iter().map(|p| (day(p) - x) * (p.value - y)).sum();
    let across: f64 = points.iter().map(|p| (day(p) - x).powi(2)).sum();
    y + up / across * (f64::from(to.0) - x)
}
