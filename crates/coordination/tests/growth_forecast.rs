//! Signals that merge, and forecasts held against books that were made up.

#[path = "../examples/growth_books/mod.rs"]
mod growth_books;

use granitelb_coordination::shard_growth::forecast::{NotYet, Point, Why, forecast};
use granitelb_coordination::shard_growth::sketch::{Counts, Day, Distinct, ShardDay};
use granitelb_coordination::{ForwarderId, Incarnation};
use growth_books::{SHAPES, Shape, backtest, book};
use proptest::prelude::*;

fn hash(key: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes())
}

#[test]
fn distinct_keys_are_counted_within_four_standard_errors() {
    for count in [10, 300, 2_000, 3_000, 50_000, 1_000_000] {
        let mut sketch = Distinct::default();
        (0..count).for_each(|k| _ = sketch.add(hash(k)));
        let error = sketch.count() / count as f64 - 1.0;
        assert!(error.abs() < 0.13, "{count}: {error}");
    }
}

proptest! {
    #[test]
    fn merging_is_idempotent_and_knows_no_order(
        told in prop::collection::vec((0u64..3, 0u64..2, 0u64..500), 1..40), twice in prop::collection::vec(0usize..40, 0..40),
    ) {
        let day = |(forwarder, incarnation, n): &(u64, u64, u64)| {
            let mut day = ShardDay::default();
            (0..*n).for_each(|k| _ = day.read.add(hash(k * (forwarder + 1))));
            day.raise(ForwarderId(*forwarder), Incarnation(*incarnation), &Counts { reads: *n, ..Counts::default() });
            day
        };
        let (mut once, mut doubled) = (ShardDay::default(), ShardDay::default());
        told.iter().for_each(|t| once.merge(&day(t)));
        let again = twice.iter().filter_map(|n| told.get(*n));
        told.iter().rev().chain(again).for_each(|t| doubled.merge(&day(t)));
        prop_assert_eq!(&once, &doubled);
        let most = |f, l| told.iter().filter(|t| (t.0, t.1) == (f, l)).map(|t| t.2).max().unwrap_or(0);
        let sum: u64 = (0..3).flat_map(|f| [most(f, 0), most(f, 1)]).sum();
        prop_assert_eq!(once.total().reads, sum);
    }
}

#[test]
fn the_interval_holds_nine_of_ten_and_the_error_is_under_plain_ways() {
    let all = SHAPES.map(|shape| backtest(shape, 501..503, 30));
    let sum = |of: fn(&growth_books::Backtest) -> f64| all.iter().map(of).sum::<f64>();
    let held = sum(|b| b.held as f64) / sum(|b| b.forecasts as f64);
    assert!((0.85..=0.95).contains(&held), "{held}");
    assert!(sum(|b| b.error) < 0.8 * sum(|b| b.as_today).min(sum(|b| b.line)));
}

#[test]
fn thin_evidence_gives_no_forecast_and_says_when() {
    let book = book(Shape::Steady, 7, 120);
    let mut first = None;
    for n in 0..book.len() {
        match forecast(&book[..n], 30) {
            Ok(_) => first = first.or(Some(book[n - 1].day)),
            Err(NotYet { when, .. }) => assert!(n == 0 || when > book[n - 1].day),
        }
    }
    // Told on the first day already, give or take days that were lost.
    let said = forecast(&book[..5], 30).expect_err("five days").when;
    assert!(first.expect("at last").0.abs_diff(said.0) < 14, "{first:?} {said:?}");
    let gap: Vec<Point> = book
        .iter()
        .filter(|p| p.day.0 + 6 < book[119 - 10].day.0 || p.day == book[119 - 10].day)
        .copied()
        .collect();
    assert_eq!(forecast(&gap, 30).expect_err("a gap").why, Why::Gaps);
}

#[test]
fn a_month_has_its_days() {
    assert_eq!(Day(0).in_month(), (1, 31));
    assert_eq!(Day(19_782).in_month(), (29, 29)); // 29 February 2024
    assert_eq!(Day(20_513).in_month(), (1, 31)); // 1 March 2026
}

/// Half of what is kept goes on one day, as when half of the forwarders are cut off: more than all that there was two months ago.
#[test]
fn after_a_purge_a_shard_is_not_said_to_grow_without_end() {
    let kept = |n: u32| 1000.0 * 1.02f64.powi(n as i32) * (0.995 + 0.01 * f64::from(n * 7 % 10) / 10.0);
    for since in 8..14 {
        let value = |n: u32| kept(n) * if n < 110 { 1.0 } else { 0.5 };
        let days: Vec<Point> =
            (0..110 + since).map(|n| Point { day: Day(20_000 + n), value: value(n) }).collect();
        let said = forecast(&days, 14).expect("enough is known");
        let comes = value(109 + since + 14);
        assert!(said.value < 1.5 * comes && said.high < 4.0 * comes, "{since}: {said:?}, {comes} comes");
    }
}
