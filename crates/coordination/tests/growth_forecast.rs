//! Tests of merging counters and sketches, and of forecasts on simulated histories.

#[path = "../examples/growth_histories/mod.rs"]
mod growth_histories;

use granitelb_coordination::shard_growth::accounting_day::{AccountingDay, DayOfMonth};
use granitelb_coordination::shard_growth::forecast::{
    ForecastUnavailable, Point, UnavailableReason, forecast,
};
use granitelb_coordination::shard_growth::shard_day::{ShardCounters, ShardDay};
use granitelb_coordination::shard_growth::sketch::DistinctCounter;
use granitelb_coordination::{ForwarderId, Incarnation};
use growth_histories::{Backtest, SHAPES, Shape, backtest, simulated_history};
use proptest::prelude::*;

fn hash(key: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes())
}

#[test]
fn distinct_keys_are_counted_within_four_standard_errors() {
    for count in [10, 300, 2_000, 3_000, 50_000, 1_000_000] {
        let mut sketch = DistinctCounter::default();
        for key in 0..count {
            sketch.add(hash(key));
        }
        let error = sketch.count() / count as f64 - 1.0;
        assert!(error.abs() < 0.13, "{count}: {error}");
    }
}

/// A report of one incarnation of a forwarder: `keys` reads, each of a different key.
#[derive(Clone, Copy, Debug)]
struct Report {
    forwarder: u64,
    incarnation: u64,
    keys: u64,
}

impl Report {
    fn as_shard_day(self) -> ShardDay {
        let mut day = ShardDay::default();
        for key in 0..self.keys {
            day.read.add(hash(key * (self.forwarder + 1)));
        }
        let counters = ShardCounters { reads: self.keys, ..ShardCounters::default() };
        day.raise(ForwarderId(self.forwarder), Incarnation(self.incarnation), &counters)
            .expect("there are few incarnations");
        day
    }
}

prop_compose! {
    fn report()(forwarder in 0u64..3, incarnation in 0u64..2, keys in 0u64..500) -> Report {
        Report { forwarder, incarnation, keys }
    }
}

proptest! {
    #[test]
    fn merging_is_idempotent_and_independent_of_order(
        reports in prop::collection::vec(report(), 1..40),
        repeated in prop::collection::vec(0usize..40, 0..40),
    ) {
        let mut merged_once = ShardDay::default();
        for report in &reports {
            merged_once.merge(&report.as_shard_day());
        }
        let mut merged_again = ShardDay::default();
        let repeated = repeated.iter().filter_map(|index| reports.get(*index));
        for report in reports.iter().rev().chain(repeated) {
            merged_again.merge(&report.as_shard_day());
        }
        prop_assert_eq!(&merged_once, &merged_again);
        let highest = |forwarder, incarnation| {
            let of_sender = reports
                .iter()
                .filter(|report| (report.forwarder, report.incarnation) == (forwarder, incarnation));
            of_sender.map(|report| report.keys).max().unwrap_or(0)
        };
        let sum: u64 = (0..3).flat_map(|forwarder| [highest(forwarder, 0), highest(forwarder, 1)]).sum();
        prop_assert_eq!(merged_once.total().reads, sum);
    }
}

#[test]
fn the_interval_covers_nine_of_ten_and_the_error_is_below_that_of_simple_forecasts() {
    let backtests = SHAPES.map(|shape| backtest(shape, 501..503, 30));
    let sum = |figure: fn(&Backtest) -> f64| backtests.iter().map(figure).sum::<f64>();
    let covered = sum(|b| b.covered as f64) / sum(|b| b.forecasts as f64);
    assert!((0.85..=0.95).contains(&covered), "{covered}");
    let best_simple_error = sum(|b| b.constant_error).min(sum(|b| b.line_error));
    assert!(sum(|b| b.error) < 0.8 * best_simple_error);
}

#[test]
fn a_short_history_has_no_forecast_and_says_when_there_will_be_one() {
    let history = simulated_history(Shape::Steady, 7, 120);
    let mut first_forecast = None;
    for length in 0..history.len() {
        match forecast(&history[..length], 30) {
            Ok(_) => first_forecast = first_forecast.or(Some(history[length - 1].day)),
            Err(ForecastUnavailable { available_from, .. }) => {
                assert!(length == 0 || available_from > history[length - 1].day);
            }
        }
    }
    // The first forecast day is announced after a few days already. It may move, since later days may be
    // missing.
    let announced = forecast(&history[..5], 30).expect_err("five days").available_from;
    let first_forecast = first_forecast.expect("120 days are enough");
    assert!(first_forecast.0.abs_diff(announced.0) < 14, "{first_forecast:?} {announced:?}");
    let last = history[119 - 10].day;
    let with_gap: Vec<Point> =
        history.iter().filter(|point| point.day.0 + 6 < last.0 || point.day == last).copied().collect();
    assert_eq!(forecast(&with_gap, 30).expect_err("a gap").reason, UnavailableReason::Gaps);
}

#[test]
fn a_day_has_its_place_in_the_month() {
    let in_month = |day: u32| AccountingDay(day).in_month();
    assert_eq!(in_month(0), DayOfMonth { day: 1, month_length: 31 });
    assert_eq!(in_month(19_782), DayOfMonth { day: 29, month_length: 29 }); // 29 February 2024
    assert_eq!(in_month(20_513), DayOfMonth { day: 1, month_length: 31 }); // 1 March 2026
}

/// Guards against forecasts of unbounded growth after a purge. Half of the bytes disappear on one day, as
/// when half of the forwarders are partitioned off; the purged bytes are more than the whole size two months
/// before.
#[test]
fn after_a_purge_no_growth_without_bound_is_forecast() {
    let without_purge =
        |n: u32| 1000.0 * 1.02f64.powi(n as i32) * (0.995 + 0.01 * f64::from(n * 7 % 10) / 10.0);
    for days_since in 8..14 {
        let value = |n: u32| without_purge(n) * if n < 110 { 1.0 } else { 0.5 };
        let history: Vec<Point> = (0..110 + days_since)
            .map(|n| Point { day: AccountingDay(20_000 + n), value: value(n) })
            .collect();
        let forecast = forecast(&history, 14).expect("enough is known");
        let actual = value(109 + days_since + 14);
        assert!(
            forecast.value < 1.5 * actual && forecast.high < 4.0 * actual,
            "{days_since}: {forecast:?}, actual value {actual}"
        );
    }
}
