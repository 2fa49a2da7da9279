//! Hindsight beside the truth, in worlds in which that is known. The figures over 100 worlds are the example's.

use granitelb_balancer::time::Span;
use granitelb_coordination::component::Event;
use granitelb_coordination::counterfactual::{Measure, Policy, Scale, Settings, Standing};
use granitelb_fleet_simulator::hindsight::{Make, Shape, World, tell};
use test_case::test_case;

fn small(shape: Shape, seed: u64) -> World {
    World::new(Make { shape, seed, nodes: 8, caches: 8, calls: 5000, seconds: 200.0, ..Make::default() })
}

/// Intervals asked, those that hold the truth, and those of plain means that do.
fn held(shape: Shape, seeds: std::ops::Range<u64>) -> (usize, usize, usize) {
    let (mut asked, mut held, mut naive) = (0, 0, 0);
    for seed in seeds {
        let world = small(shape, seed);
        let settings = Settings { judges_every: Span(u64::MAX), ..Settings::default() };
        let book = tell(&world, &settings).planner.book(0);
        let played = book.value(Policy::AsPlayed, Measure::InTime).expect("evidence");
        let truth = world
            .truth_of_policy(Measure::InTime, |c| std::array::from_fn(|p| f64::from(u8::from(p == c.place))));
        assert!((played.low..=played.high).contains(&truth), "{played:?} {truth}");
        for cache in 0..world.make.caches {
            let Ok(estimate) = book.beside_others(cache, Measure::Waited) else { continue };
            let truth = world.truth_beside_others(cache, &estimate.over, Measure::Waited);
            asked += 1;
            held += usize::from((estimate.low..=estimate.high).contains(&truth));
            let (mean, half) = world.naive(cache);
            naive += usize::from((mean - truth).abs() <= half);
        }
    }
    (asked, held, naive)
}

#[test_case(Shape::Slow; "slow")]
#[test_case(Shape::Cold; "cold")]
#[test_case(Shape::CutShort; "cut short")]
fn intervals_hold_the_truth(shape: Shape) {
    let (asked, held, _) = held(shape, 1..5);
    assert!(asked >= 24, "{asked}");
    assert!(held * 100 >= asked * 88, "{held} of {asked}");
}

#[test]
fn where_heavy_calls_go_to_quick_caches_plain_means_fail_and_hindsight_does_not() {
    let (asked, held, naive) = held(Shape::Confounded, 1..5);
    assert!(asked >= 24 && held * 100 >= asked * 88, "{held} of {asked}");
    assert!(naive * 2 < asked, "{naive} of {asked}");
}

#[test]
fn the_slow_cache_is_named_and_on_a_calm_day_nobody_is() {
    let longer = |shape, seed| {
        let make = Make { calls: 14_000, seconds: 300.0, ..small(Shape::Calm, 1).make };
        World::new(Make { shape, seed, ..make })
    };
    let settings = Settings { judges_every: Span::from_millis(75_000), ..Settings::default() };
    for seed in 11..13 {
        let slow = tell(&longer(Shape::Slow, seed), &settings);
        for scale in [Scale::Share, Scale::Times] {
            assert_eq!(slow.planner.standing(0, 0, scale), Standing::Worse);
        }
        // By choices and by the lottery, and in forwarders' logs once each, however often it is said.
        let named = |r: &&Event| r.name == "hindsight_worse";
        assert_eq!(slow.remarks.iter().filter(named).count(), 2);
        assert_eq!(slow.forwarders_remarks.iter().filter(named).count(), 2);
        let calm = tell(&longer(Shape::Calm, seed), &settings);
        assert!(calm.remarks.is_empty(), "{:?}", calm.remarks);
    }
}

#[test_case(Shape::Slow, 0.5; "slow")]
#[test_case(Shape::Hot, 0.0; "hot keys")]
#[test_case(Shape::CutShort, 0.5; "cut short")]
fn by_the_lottery_intervals_hold_the_truth(shape: Shape, slow: f64) {
    let (mut asked, mut held) = (0, 0);
    for seed in 21..26 {
        let world = small(shape, seed);
        let settings = Settings { judges_every: Span(u64::MAX), ..Settings::default() };
        let lottery = tell(&world, &settings).planner.lottery(0);
        assert!(world.truth_by_lottery(0) >= slow, "{}", world.truth_by_lottery(0));
        for cache in 0..world.make.caches {
            let Ok(beside) = lottery.beside_others(cache, 0.2) else { continue };
            let truth = world.truth_by_lottery(cache);
            asked += 1;
            held += usize::from((beside.estimate.low..=beside.estimate.high).contains(&truth));
        }
    }
    assert!(asked >= 30 && held * 100 >= asked * 85, "{held} of {asked}");
}
