//! Caches compared by randomized assignment, while all requests are sent to their first candidate, as at real
//! nodes.

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    Comparison, ComparisonScale, CounterfactualMessage, NoSupport, OutcomeMeasure, PlannerComponent,
    SampledRequest, ServiceOutcome, Settings, is_sampled,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const CACHES: u64 = 6;
const ROUND_MS: u64 = 10_000;
const REQUESTS_PER_ROUND: u64 = 1200;
/// The smallest effect to test for, as the logarithm of a ratio of times.
const MIN_EFFECT: f64 = 0.2;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn mix(n: u64) -> u64 {
    let x = (n ^ (n >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// The `n`th request. A hit takes 2 to 8.3 ms of an SLO of 400 ms; one request of 16 is a miss and takes ten
/// times as long.
fn sampled_request(n: u64) -> SampledRequest {
    let key = mix(n) >> 54;
    let first = mix(key + 7) % CACHES;
    let outcome = if mix(n + 3) >> 60 == 0 { ServiceOutcome::Miss } else { ServiceOutcome::Hit };
    let factor = if outcome == ServiceOutcome::Miss { 10 } else { 1 };
    SampledRequest {
        request_hash: (n * 64..).find(|hash| is_sampled(*hash)).expect("one request in two is sampled"),
        key_hash: key as u32,
        request_class: 0,
        work_class: 0,
        candidates: (0..3).map(|position| (first + position) % CACHES).collect(),
        position: 0,
        outcome,
        duration: (20 + (mix(n + 1) >> 58)) as u32 * factor,
        slo: 4000,
        in_flight: 0,
        age_ms: (n % 5000) as u32,
    }
}

/// A planner after `rounds` rounds of requests from `forwarders` forwarders; `alter` changes each request
/// before its forwarder, the first argument, reports it.
fn planner_after(rounds: u64, forwarders: u64, alter: impl Fn(u64, &mut SampledRequest)) -> PlannerComponent {
    let settings = Settings { comparison_interval: Span::from_millis(ROUND_MS), ..Settings::default() };
    let mut planner = PlannerComponent::new(settings, PlannerId(1), Incarnation(1), at(0));
    for round in 1..=rounds {
        let now = at(round * ROUND_MS);
        for n in round * REQUESTS_PER_ROUND..(round + 1) * REQUESTS_PER_ROUND {
            let forwarder = mix(n + 5) % forwarders;
            let mut request = sampled_request(n);
            alter(forwarder, &mut request);
            let from = Sender {
                member: Member::Forwarder(ForwarderId(forwarder)),
                incarnation: Incarnation(1),
                sequence: 1,
            };
            planner
                .on_message(now, from, CounterfactualMessage::Requests(vec![request]))
                .expect("a valid message");
        }
        while planner.poll_message(now).is_some() {}
    }
    planner
}

/// The caches that are compared as worse or better by the ratio of times.
fn differing_caches(planner: &PlannerComponent) -> Vec<(u64, Comparison)> {
    (0..CACHES)
        .map(|cache| (cache, planner.comparison(cache, 0, ComparisonScale::TimeRatio)))
        .filter(|(_, comparison)| matches!(comparison, Comparison::Worse | Comparison::Better))
        .collect()
}

/// Whether no cache can be compared by the randomized assignment.
fn has_no_support(planner: &PlannerComponent) -> bool {
    let assignment = planner.randomized_assignment(0);
    (0..CACHES).all(|cache| assignment.compare_cache(cache, MIN_EFFECT).is_err())
}

/// Real nodes send hardly any request to a second candidate, so estimates from the nodes' choices have no
/// support. The randomized assignment must still find the slow cache.
#[test]
fn a_threefold_slow_cache_far_below_the_slo_is_found_though_all_requests_went_to_their_first_candidate() {
    let slow = |_, request: &mut SampledRequest| {
        if request.chosen_cache() == 2 {
            request.duration *= 3;
        }
    };
    let planner = planner_after(2, 8, slow);
    assert_eq!(differing_caches(&planner), [(2, Comparison::Worse)]);
    assert_eq!(planner.dataset(0).compare_cache(2, OutcomeMeasure::WaitedShare), Err(NoSupport));
    let assignment = planner.randomized_assignment(0);
    let comparison = assignment.compare_cache(2, MIN_EFFECT).expect("enough keys");
    assert!((2.5..3.5).contains(&comparison.estimate.mean.exp()), "{:?}", comparison.estimate);
    assert!(differing_caches(&planner_after(12, 8, |_, _| ())).is_empty());
}

/// One forwarder falsely reports that a good cache takes 20 times as long, or that all other caches take no
/// time.
#[test_case(2, true; "one of two of one cache")]
#[test_case(5, true; "one of five of one cache")]
#[test_case(4, false; "one of four of all the others")]
fn false_reports_of_a_single_forwarder_make_no_cache_differ(forwarders: u64, of_one_cache: bool) {
    let falsify = |forwarder, request: &mut SampledRequest| {
        if forwarder == 0 && (request.chosen_cache() == 2) == of_one_cache {
            request.duration = if of_one_cache { request.duration * 20 } else { 1 };
        }
    };
    assert_eq!(differing_caches(&planner_after(6, forwarders, falsify)), []);
}

/// A hot key makes up most requests of a cache, so the cache's mean time is that of the key. A single key
/// gives no variance between keys, so the cache must not be compared as worse.
#[test]
fn a_slow_hot_key_does_not_make_its_cache_differ() {
    let hot_key = |_, request: &mut SampledRequest| {
        if request.request_hash.is_multiple_of(3) {
            request.key_hash = 1 << 20;
            request.candidates = vec![2, 3, 4];
            request.duration *= 4;
        }
    };
    assert_eq!(differing_caches(&planner_after(6, 8, hot_key)), []);
}

#[test]
fn two_caches_or_a_single_key_have_no_support() {
    let two_caches =
        |_, request: &mut SampledRequest| request.candidates = vec![request.chosen_cache() % 2, 8, 9];
    assert!(has_no_support(&planner_after(1, 8, two_caches)));
    let single_key = |_, request: &mut SampledRequest| request.key_hash = 1;
    assert!(has_no_support(&planner_after(1, 8, single_key)));
}
