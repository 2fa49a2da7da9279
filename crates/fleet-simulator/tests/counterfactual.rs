//! Compares counterfactual estimates with the true values, in synthetic traces whose true values are known.
//! The example `counterfactual` gives figures over 100 traces.

use granitelb_balancer::time::Span;
use granitelb_coordination::component::Event;
use granitelb_coordination::counterfactual::{
    Comparison, ComparisonScale, OutcomeMeasure, SelectionPolicy, Settings,
};
use granitelb_fleet_simulator::counterfactual::{Scenario, Trace, TraceConfig, replay};
use test_case::test_case;

/// The smallest effect that a comparison looks for, as the logarithm of the ratio of times.
const MIN_EFFECT: f64 = 0.2;

fn small_config(scenario: Scenario, seed: u64) -> TraceConfig {
    TraceConfig {
        scenario,
        seed,
        nodes: 8,
        caches: 8,
        requests: 5000,
        seconds: 200.0,
        ..TraceConfig::default()
    }
}

fn settings_without_periodic_comparisons() -> Settings {
    Settings { comparison_interval: Span(u64::MAX), ..Settings::default() }
}

/// The number of estimated intervals, and how many of them contain the true value.
#[derive(Default)]
struct Coverage {
    estimated: usize,
    covered: usize,
    naively_covered: usize,
}

/// Returns the coverage of the intervals of all caches' effects.
fn effect_coverage(scenario: Scenario, seeds: std::ops::Range<u64>) -> Coverage {
    let mut coverage = Coverage::default();
    for seed in seeds {
        let trace = Trace::new(small_config(scenario, seed));
        let dataset = replay(&trace, &settings_without_periodic_comparisons()).planner.dataset(0);
        let observed =
            dataset.policy_value(SelectionPolicy::Observed, OutcomeMeasure::InTime).expect("support");
        let truth = trace.true_policy_value(OutcomeMeasure::InTime, |request| {
            std::array::from_fn(|position| f64::from(u8::from(position == request.position)))
        });
        assert!((observed.low..=observed.high).contains(&truth), "{observed:?} {truth}");
        for cache in 0..trace.config.caches {
            let Ok(estimate) = dataset.compare_cache(cache, OutcomeMeasure::WaitedShare) else { continue };
            let truth = trace.true_effect(cache, &estimate.strata, OutcomeMeasure::WaitedShare);
            coverage.estimated += 1;
            coverage.covered += usize::from((estimate.low..=estimate.high).contains(&truth));
            let naive = trace.naive_difference(cache);
            coverage.naively_covered += usize::from((naive.mean - truth).abs() <= naive.half_width);
        }
    }
    coverage
}

#[test_case(Scenario::Slow; "slow")]
#[test_case(Scenario::Cold; "cold")]
#[test_case(Scenario::CutShort; "cut short")]
fn intervals_of_effects_cover_the_truth(scenario: Scenario) {
    let Coverage { estimated, covered, .. } = effect_coverage(scenario, 1..5);
    assert!(estimated >= 24, "{estimated}");
    assert!(covered * 100 >= estimated * 88, "{covered} of {estimated}");
}

#[test]
fn with_a_confounder_intervals_of_effects_cover_the_truth_and_those_of_plain_means_do_not() {
    let Coverage { estimated, covered, naively_covered } = effect_coverage(Scenario::Confounded, 1..5);
    assert!(estimated >= 24 && covered * 100 >= estimated * 88, "{covered} of {estimated}");
    assert!(naively_covered * 2 < estimated, "{naively_covered} of {estimated}");
}

#[test]
fn slow_cache_is_reported_and_a_calm_trace_has_no_reports() {
    let trace = |scenario, seed| {
        let small = small_config(Scenario::Calm, 1);
        Trace::new(TraceConfig { scenario, seed, requests: 14_000, seconds: 300.0, ..small })
    };
    let settings = Settings { comparison_interval: Span::from_millis(75_000), ..Settings::default() };
    for seed in 11..13 {
        let slow = replay(&trace(Scenario::Slow, seed), &settings);
        for scale in [ComparisonScale::WaitedShare, ComparisonScale::TimeRatio] {
            assert_eq!(slow.planner.comparison(0, 0, scale), Comparison::Worse);
        }
        // The planner and the forwarder log the slow cache once on each scale, however often it is reported.
        let is_worse = |event: &&Event| event.name == "hindsight_worse";
        assert_eq!(slow.planner_events.iter().filter(is_worse).count(), 2);
        assert_eq!(slow.forwarder_events.iter().filter(is_worse).count(), 2);
        let calm = replay(&trace(Scenario::Calm, seed), &settings);
        assert!(calm.planner_events.is_empty(), "{:?}", calm.planner_events);
    }
}

#[test_case(Scenario::Slow, 0.5; "slow")]
#[test_case(Scenario::Hot, 0.0; "hot keys")]
#[test_case(Scenario::CutShort, 0.5; "cut short")]
fn intervals_by_randomized_assignment_cover_the_truth(scenario: Scenario, min_ratio_of_first: f64) {
    let mut coverage = Coverage::default();
    for seed in 21..26 {
        let trace = Trace::new(small_config(scenario, seed));
        let assignment =
            replay(&trace, &settings_without_periodic_comparisons()).planner.randomized_assignment(0);
        let of_first = trace.true_log_time_ratio(0);
        assert!(of_first >= min_ratio_of_first, "{of_first}");
        for cache in 0..trace.config.caches {
            let Ok(comparison) = assignment.compare_cache(cache, MIN_EFFECT) else { continue };
            let truth = trace.true_log_time_ratio(cache);
            let interval = comparison.estimate.low..=comparison.estimate.high;
            coverage.estimated += 1;
            coverage.covered += usize::from(interval.contains(&truth));
        }
    }
    let Coverage { estimated, covered, .. } = coverage;
    assert!(estimated >= 30 && covered * 100 >= estimated * 85, "{covered} of {estimated}");
}
