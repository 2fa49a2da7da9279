//! Backtests of the forecast on seeded books of several shapes: how often the interval holds what came, and the error
//! beside "as today" and a straight line. `growth_forecast [first seed] [seeds]`.

mod growth_books;

use growth_books::{SHAPES, backtest};

fn main() {
    let figure = |n, or| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(or);
    let (first, seeds): (u64, u64) = (figure(1, 1), figure(2, 40));
    println!(
        "| book | horizon | interval covers | error | as today | straight line | half width | not yet |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for shape in SHAPES {
        for horizon in [14, 30] {
            let b = backtest(shape, first..first + seeds, horizon);
            let part = |sum: f64| 100.0 * sum / b.forecasts.max(1) as f64;
            println!(
                "| {shape:?} | {horizon} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {} of {} |",
                part(b.held as f64),
                part(b.error),
                part(b.as_today),
                part(b.line),
                part(b.half_width),
                b.not_yet,
                b.not_yet + b.forecasts
            );
        }
    }
}
