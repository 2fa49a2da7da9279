use super::{WarmupBudget, WarmupTraffic, warmup_factor};
use crate::balancer::response_times::ResponseTimes;
use crate::balancer::test_support::{at, read, settings};
use crate::endpoint::EndpointRole;
use crate::request::Request;
use crate::settings::{Effect, Settings};
use crate::time::{Span, Time};

/// A request that states this work, in seconds.
fn stated(seconds: f64) -> Request {
    Request { work: Some(Span::from_secs_f64(seconds)), ..read() }
}

fn response_times(settings: &Settings) -> ResponseTimes {
    ResponseTimes::new(&settings.request_classes, at(0))
}

fn work_per_size(traffic: &WarmupTraffic, settings: &Settings) -> f64 {
    traffic.work_per_size(at(0), &response_times(settings))
}

fn sent_work(traffic: &WarmupTraffic, now: Time, settings: &Settings) -> f64 {
    traffic.report(now, &response_times(settings)).sent_work
}

#[test]
fn warmup_factor_grows_linearly_until_the_endpoint_is_warm() {
    let mut settings = settings(Effect::Idempotent);
    let factor = |started, now_ms, settings: &_| warmup_factor(at(now_ms), started, settings);
    assert_eq!(factor(None, 0, &settings), 1.0);
    assert_eq!(factor(Some(at(0)), 0, &settings), 0.2);
    assert!((factor(Some(at(0)), 10_000, &settings) - 0.6).abs() < 1e-9);
    assert_eq!(factor(Some(at(0)), 20_000, &settings), 1.0);
    assert_eq!(factor(Some(at(0)), 90_000, &settings), 1.0);
    settings.warmup_duration = Span::ZERO;
    assert_eq!(factor(Some(at(0)), 0, &settings), 1.0);
}

#[test]
fn bucket_refills_at_its_rate_up_to_its_capacity() {
    let mut budget = WarmupBudget::new(0.5, at(0));
    assert_eq!(budget.available(at(0), 2.0, 5.0), 0.0);
    assert_eq!(budget.available(at(1000), 2.0, 5.0), 2.0);
    assert_eq!(budget.available(at(9000), 2.0, 5.0), 5.0);
    budget.set(at(9000), -1.0, 0.5);
    assert_eq!(budget.available(at(10_000), 2.0, 5.0), 1.0);
    budget.restart_refill(at(20_000));
    assert_eq!(budget.available(at(20_000), 2.0, 5.0), -1.0);
}

#[test]
fn demand_raises_the_work_per_size_within_a_limit() {
    let settings = settings(Effect::Idempotent);
    let mut traffic = WarmupTraffic::new(&settings, at(0));
    traffic.on_work_sent(at(0), &stated(8.0));
    traffic.on_learning_step(at(0), 2.0);
    // The mean of the sample, 4 s of work per unit of size, and of the initial zero.
    assert_eq!(work_per_size(&traffic, &settings), 2.0);
    traffic.on_work_requested(at(0), &stated(5.0));
    assert_eq!(work_per_size(&traffic, &settings), 2.5);
    traffic.on_work_requested(at(0), &stated(95.0));
    assert_eq!(work_per_size(&traffic, &settings), 3.0);
}

#[test]
fn sums_are_dropped_only_when_settings_change_their_meaning() {
    let old = settings(Effect::Idempotent);
    let mut traffic = WarmupTraffic::new(&old, at(0));
    traffic.on_work_sent(at(0), &stated(8.0));
    traffic.on_learning_step(at(0), 2.0);
    let mut new = old.clone();
    new.nodes = 5.0;
    traffic.on_settings_update(&old, &new, at(0));
    assert_eq!(work_per_size(&traffic, &old), 2.0);
    new.sizes_are_capacities = true;
    traffic.on_settings_update(&old, &new, at(0));
    assert_eq!(work_per_size(&traffic, &old), 0.0);
}

#[test]
fn average_is_unchanged_by_steps_without_a_serving_cache() {
    let settings = settings(Effect::Idempotent);
    let mut traffic = WarmupTraffic::new(&settings, at(0));
    traffic.on_work_sent(at(0), &stated(8.0));
    traffic.on_learning_step(at(0), 2.0);
    traffic.on_learning_step(at(0), 0.0);
    assert_eq!(work_per_size(&traffic, &settings), 2.0);
}

#[test]
fn work_that_is_not_accepted_is_subtracted_as_far_as_it_has_not_decayed() {
    let settings = settings(Effect::Idempotent);
    let mut traffic = WarmupTraffic::new(&settings, at(0));
    traffic.on_work_sent(at(0), &stated(3.0));
    traffic.on_work_sent(at(200), &stated(8.0));
    let accepted_alone = sent_work(&traffic, at(200), &settings) - 8.0;
    traffic.on_work_not_accepted(at(900), at(200), &stated(8.0));
    let left = sent_work(&traffic, at(900), &settings);
    let decay = (-0.7 / settings.overload_window.as_secs_f64()).exp();
    assert!((left - accepted_alone * decay).abs() < 1e-9, "{left}");
    // The sum does not become negative, even if more work is subtracted than was added.
    traffic.on_work_not_accepted(at(900), at(900), &stated(50.0));
    assert_eq!(sent_work(&traffic, at(900), &settings), 0.0);
}

#[test]
fn growth_with_demand_stays_within_the_overload_multiple() {
    let mut settings = settings(Effect::Idempotent);
    for (overload_multiple, expected) in [(1.2, 2.0), (2.0, 2.0), (2.5, 2.5), (3.0, 3.0), (9.0, 3.0)] {
        settings.overload_multiple = overload_multiple;
        let mut traffic = WarmupTraffic::new(&settings, at(0));
        traffic.on_work_sent(at(0), &stated(8.0));
        traffic.on_learning_step(at(0), 2.0);
        traffic.on_work_requested(at(0), &stated(100.0));
        assert_eq!(work_per_size(&traffic, &settings), expected, "{overload_multiple}");
    }
}

#[test]
fn unstated_work_is_converted_by_the_present_estimate() {
    let settings = settings(Effect::Idempotent);
    let unstated = Request { work: None, ..read() };
    let mut response_times = response_times(&settings);
    let mut traffic = WarmupTraffic::new(&settings, at(0));
    for _ in 0..100 {
        traffic.on_work_requested(at(0), &unstated);
        traffic.on_work_sent(at(0), &unstated);
    }
    traffic.on_learning_step(at(0), 2.0);
    let granted = |times: &ResponseTimes| traffic.work_per_size(at(0), times) / times.work(at(0), &unstated);
    let requests = granted(&response_times);
    for _ in 0..50 {
        response_times.record(at(0), unstated.request_class, EndpointRole::Cache, Span::from_millis(390));
    }
    // Longer answers do not change the number of requests that are granted.
    assert!((granted(&response_times) - requests).abs() < 1e-9 * requests);
}
