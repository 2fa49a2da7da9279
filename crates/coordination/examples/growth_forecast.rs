//! Backtests the forecast on simulated histories of several shapes, and prints how often the interval covers
//! the actual value, and the errors of the forecast, of the last value and of a straight line. Usage:
//! `growth_forecast [first seed] [seeds]`.

mod growth_histories;

use growth_histories::{SHAPES, backtest};

fn main() {
    let argument = |n, default| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default);
    let first_seed: u64 = argument(1, 1);
    let seeds: u64 = argument(2, 40);
    println!(
        "| shape | horizon | interval covers | error | last value | straight line | half width | unavailable |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for shape in SHAPES {
        for horizon in [14, 30] {
            let result = backtest(shape, first_seed..first_seed + seeds, horizon);
            let percent = |sum: f64| 100.0 * sum / result.forecasts.max(1) as f64;
            println!(
                "| {shape:?} | {horizon} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {} of {} |",
                percent(result.covered as f64),
                percent(result.error),
                percent(result.constant_error),
                percent(result.line_error),
                percent(result.half_width),
                result.unavailable,
                result.unavailable + result.forecasts
            );
        }
    }
}
