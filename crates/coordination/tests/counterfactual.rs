//! The forwarder and planner components of off-policy evaluation: what they store and send, and what planners
//! estimate.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CacheStart, Comparison, ComparisonScale, CounterfactualError, CounterfactualMessage, Dataset,
    ForwarderComponent, OutcomeMeasure, PlannerComponent, ReportedRequest, SampledRequest, ServiceOutcome,
    Settings, is_sampled,
};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use proptest::prelude::*;
use test_case::test_case;

const PLANNER: Member = Member::Planner(PlannerId(1));
const ORIGIN: u64 = 99;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn from(forwarder: u64) -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(forwarder)), incarnation: Incarnation(1), sequence: 1 }
}

/// The hash of a sampled request; a different one for each `n`.
fn sampled_hash(n: u64) -> u64 {
    (n * 64..).find(|hash| is_sampled(*hash)).expect("one request in two is sampled")
}

/// The hash of a request that is not sampled.
fn unsampled_hash() -> u64 {
    (0..).find(|hash| !is_sampled(*hash)).expect("one request in two is sampled")
}

/// A request with three of four caches as candidates. Cache 0 takes `delay` tenths of a millisecond longer.
fn sampled_request(n: u64, delay: u32) -> SampledRequest {
    let candidates = [n % 4, (n + 1) % 4, (n + 2) % 4];
    let position = if (n / 4).is_multiple_of(3) { 1 } else { 0 };
    let cache_delay = if candidates[position] == 0 { delay } else { 0 };
    SampledRequest {
        request_hash: sampled_hash(n),
        key_hash: n as u32,
        request_class: 0,
        work_class: 0,
        candidates: candidates.to_vec(),
        position: position as u8,
        outcome: if n.is_multiple_of(11) { ServiceOutcome::Miss } else { ServiceOutcome::Hit },
        duration: 100 + (n * 7919 % 101) as u32 + cache_delay,
        slo: 500,
        in_flight: 0,
        age_ms: (n % 5000) as u32,
    }
}

fn settings() -> Settings {
    Settings { comparison_interval: Span::from_millis(10_000), ..Settings::default() }
}

fn planner_with(settings: Settings) -> PlannerComponent {
    PlannerComponent::new(settings, PlannerId(1), Incarnation(1), at(0))
}

fn planner() -> PlannerComponent {
    planner_with(settings())
}

fn forwarder_with(settings: Settings) -> ForwarderComponent {
    ForwarderComponent::new(settings, ForwarderId(1), Incarnation(1), at(0))
}

/// All estimates of a planner, as text to compare planners by.
fn estimates(planner: &PlannerComponent) -> String {
    let dataset = planner.dataset(0);
    let measures = [OutcomeMeasure::WaitedShare, OutcomeMeasure::InTime];
    let effects = (0..4).map(|cache| measures.map(|measure| dataset.compare_cache(cache, measure)));
    let assignment = planner.randomized_assignment(0);
    let ratios = (0..4).map(|cache| {
        let comparison = assignment.compare_cache(cache, 0.2);
        comparison.map(|comparison| (comparison.estimate, comparison.e_value))
    });
    format!("{:?} {:?}", effects.collect::<Vec<_>>(), ratios.collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Messages that arrive in another order or twice lead to the same estimates, also if not all requests
    /// can be stored.
    #[test]
    fn order_and_repetition_of_messages_change_nothing(
        order in Just((0..40u64).collect::<Vec<_>>()).prop_shuffle(),
        twice in proptest::collection::vec(any::<bool>(), 40),
        max_requests in prop_oneof![Just(150usize), Just(100_000)],
        max_requests_per_forwarder in prop_oneof![Just(90usize), Just(100_000)],
    ) {
        let new_planner = || planner_with(Settings { max_requests, max_requests_per_forwarder, ..settings() });
        let message = |index: u64| {
            let requests = (index * 10..index * 10 + 10).map(|n| sampled_request(n, 100));
            CounterfactualMessage::Requests(requests.collect())
        };
        let mut in_order = new_planner();
        let mut shuffled = new_planner();
        for index in 0..40 {
            in_order.on_message(at(9000), from(index % 3), message(index)).expect("a valid message");
        }
        for index in order {
            for _ in 0..=u8::from(twice[index as usize]) {
                shuffled.on_message(at(9000), from(index % 3), message(index)).expect("a valid message");
            }
        }
        prop_assert_eq!(in_order.request_count(), shuffled.request_count());
        prop_assert_eq!(estimates(&in_order), estimates(&shuffled));
    }

    /// Whatever a forwarder observes, it stores and sends no more than its limits.
    #[test]
    fn a_forwarder_bounds_what_it_holds_and_sends(seed in any::<u64>(), planners in 1u8..5) {
        let settings =
            Settings { max_queued_requests: 300, max_pending_misses: 100, max_caches: 50, ..settings() };
        let mut forwarder = forwarder_with(settings.clone());
        let alive: Vec<Member> = (1..=planners).map(|p| Member::Planner(PlannerId(p))).collect();
        forwarder.on_membership_change(at(0), &alive);
        let outcomes = [AttemptOutcome::Fulfilled, AttemptOutcome::CacheMiss, AttemptOutcome::Cancelled];
        let mut bytes = 0;
        for ms in 0..4000u64 {
            for k in 0..3 {
                let n = seed.wrapping_add(ms * 3 + k);
                let attempt = finished_attempt(n, 0, outcomes[(n % 3) as usize], n % 3);
                forwarder.on_observation(at(ms), &Observation::AttemptFinished(Box::new(attempt)));
            }
            while let Some((_, message)) = forwarder.poll_message(at(ms)) {
                let size = postcard::to_allocvec(&message).expect("a message").len();
                prop_assert!(size <= settings.max_message_bytes, "{size}");
                bytes += size;
            }
            prop_assert!(forwarder.entries() <= 300 + 2 * 2000);
        }
        // The most that the byte budget may hold at first, and what it gains in four seconds.
        let allowed = 2.0 * settings.bytes_per_second + 4.0 * settings.bytes_per_second;
        prop_assert!((bytes as f64) < allowed, "{bytes} of {allowed}");
        prop_assert!(bytes > 4000 && forwarder.dropped_requests() > 0);
    }

    /// A planner stores requests of arbitrary values within its limits, or rejects the message as a whole.
    #[test]
    fn a_planner_bounds_what_it_holds(
        requests in proptest::collection::vec(any::<(u64, u8, u8, u32, u32, u32, u16)>(), 0..60),
    ) {
        let mut planner = planner_with(Settings { max_requests: 20, max_comparisons: 10, ..settings() });
        for (n, values) in requests.chunks(7).enumerate() {
            let requests = values.iter().map(|(request_number, position, class, duration, slo, age, request_class)| {
                SampledRequest {
                    request_hash: sampled_hash(request_number % 1_000_000),
                    position: position % 4,
                    work_class: class % 5,
                    duration: *duration,
                    slo: *slo,
                    age_ms: *age,
                    request_class: *request_class,
                    ..sampled_request(*request_number % 1000, 0)
                }
            });
            let now = at(n as u64 * 4000);
            let message = CounterfactualMessage::Requests(requests.collect());
            let _ = planner.on_message(now, from(n as u64), message);
            while planner.poll_message(now).is_some() {}
            prop_assert!(planner.request_count() <= 20 && planner.entries() <= 20 + 10 + 256);
        }
    }
}

/// The `number`th attempt of the sampled request `n`, sent to a cache or to the origin.
fn finished_attempt(n: u64, number: u8, outcome: AttemptOutcome, cache: u64) -> FinishedAttempt {
    FinishedAttempt {
        request_hash: sampled_hash(n % 1_000_000_000),
        number,
        key: Key(n),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache: EndpointId(cache),
        is_origin: cache == ORIGIN,
        candidates: vec![EndpointId(0), EndpointId(1), EndpointId(2)],
        outcome,
        latency: Span::from_millis(5),
        bytes: 0,
        in_flight_at_send: 0,
        slo: Span::from_millis(50),
    }
}

/// Returns the requests that a forwarder reports after these attempts, each with the time of its end in
/// milliseconds.
fn reports_of(attempts: &[(u64, FinishedAttempt)]) -> Vec<SampledRequest> {
    let mut forwarder = forwarder_with(settings());
    forwarder.on_membership_change(at(0), &[PLANNER]);
    for (ms, attempt) in attempts {
        let observation = Observation::AttemptFinished(Box::new(attempt.clone()));
        forwarder.on_observation(at(*ms), &observation);
    }
    let mut reports = Vec::new();
    while let Some((_, message)) = forwarder.poll_message(at(30_000)) {
        if let CounterfactualMessage::Requests(requests) = message {
            reports.extend(requests);
        }
    }
    reports
}

#[test]
fn a_miss_is_reported_with_the_time_until_the_origin_responded() {
    let first = finished_attempt(1, 0, AttemptOutcome::CacheMiss, 1);
    let fulfilled = finished_attempt(1, 1, AttemptOutcome::Fulfilled, ORIGIN);
    let reports = reports_of(&[(10, first.clone()), (25, fulfilled)]);
    let figures: Vec<_> = reports.iter().map(|r| (r.position, r.outcome, r.duration)).collect();
    assert_eq!(figures, [(1, ServiceOutcome::Miss, 200)]);
    // A request whose attempt at the origin is cancelled is reported as censored after the time until then.
    let cancelled = finished_attempt(1, 1, AttemptOutcome::Cancelled, ORIGIN);
    let reports = reports_of(&[(10, first.clone()), (25, cancelled)]);
    let figures: Vec<_> = reports.iter().map(|r| (r.outcome, r.duration)).collect();
    assert_eq!(figures, [(ServiceOutcome::Censored, 200)]);
    // Retries are not reported, as they depend on the outcome of the first attempt; nor are writes and
    // unsampled requests.
    let retry = finished_attempt(2, 1, AttemptOutcome::Fulfilled, 2);
    let write = FinishedAttempt { write: true, ..finished_attempt(3, 0, AttemptOutcome::Fulfilled, 0) };
    let unsampled = FinishedAttempt {
        request_hash: unsampled_hash(),
        ..finished_attempt(4, 0, AttemptOutcome::Fulfilled, 0)
    };
    assert_eq!(reports_of(&[(10, retry), (11, write), (12, unsampled)]), []);
}

#[test]
fn a_slow_cache_is_reported_and_forgotten_when_it_restarts() {
    let mut planner = planner();
    let forwarder = Member::Forwarder(ForwarderId(1));
    planner.on_membership_change(at(0), &[forwarder]);
    let mut effects = Vec::new();
    let mut time_ratios = Vec::new();
    for round in 1..=4u64 {
        let now = at(round * 10_000);
        for n in round * 400..round * 400 + 400 {
            let message = CounterfactualMessage::Requests(vec![sampled_request(n, 150)]);
            planner.on_message(now, from(n % 3), message).expect("a valid message");
        }
        while let Some((to, message)) = planner.poll_message(now) {
            assert_eq!(to, forwarder);
            match message {
                CounterfactualMessage::WaitedShareReports(reports) => {
                    effects.extend(reports.iter().map(|r| (round, r.cache, r.comparison)));
                }
                CounterfactualMessage::TimeRatioReports(reports) => {
                    time_ratios.extend(reports.iter().map(|r| (r.cache, r.comparison)));
                }
                CounterfactualMessage::Requests(_) | CounterfactualMessage::CacheStarts(_) => {
                    panic!("a planner sent a message of forwarders")
                }
            }
        }
    }
    // A comparison takes two findings in a row. Caches that are compared with the slow cache may be found
    // better.
    assert!(effects.contains(&(2, 0, Comparison::Worse)), "{effects:?}");
    assert!(!effects.iter().any(|(round, ..)| *round < 2), "{effects:?}");
    let only_slow = time_ratios.iter().all(|(cache, _)| *cache == 0);
    assert!(time_ratios.contains(&(0, Comparison::Worse)) && only_slow, "{time_ratios:?}");
    let started = CounterfactualMessage::CacheStarts(vec![CacheStart { cache: 0, age_ms: 1000 }]);
    planner.on_message(at(42_000), from(1), started).expect("a valid message");
    for scale in [ComparisonScale::WaitedShare, ComparisonScale::TimeRatio] {
        assert_eq!(planner.comparison(0, 0, scale), Comparison::NoSupport);
    }
    // The messages of the next round retract the comparison at the forwarders to which it was reported.
    let retracts = |message: &CounterfactualMessage| match message {
        CounterfactualMessage::TimeRatioReports(reports) => {
            reports.iter().any(|report| report.comparison == Comparison::NoSupport)
        }
        _ => false,
    };
    assert!(std::iter::from_fn(|| planner.poll_message(at(52_000))).any(|(_, message)| retracts(&message)));
    let late = SampledRequest { age_ms: 14_000, ..sampled_request(9999, 150) };
    let before = planner.request_count();
    planner
        .on_message(at(53_000), from(1), CounterfactualMessage::Requests(vec![late]))
        .expect("a valid message");
    assert!(!planner.dataset(0).caches().contains(&0) && planner.request_count() == before);
    planner.on_shard_map_change(at(54_000));
    assert_eq!(planner.request_count(), 0);
}

/// A forwarder that alone is cut off from a cache reports it as failing. The cache must not be compared as
/// worse, whether other forwarders use it or not.
#[test_case(3, false; "few forwarders and no other uses the cache")]
#[test_case(24, true; "many forwarders of which others use the cache")]
#[test_case(4, true; "few forwarders of which others use the cache")]
fn a_cache_is_not_worse_by_the_reports_of_a_single_forwarder(forwarders: u64, others_use_it: bool) {
    let mut planner = planner();
    for round in 1..=4u64 {
        let now = at(round * 10_000);
        for n in round * 2400..round * 2400 + 2400 {
            let mut request = sampled_request(n, 0);
            let mut sender = n / 12 % forwarders;
            if request.chosen_cache() == 0 && !others_use_it {
                sender = 0;
            }
            if request.chosen_cache() == 0 && sender == 0 {
                request.outcome = ServiceOutcome::Failed;
            }
            let message = CounterfactualMessage::Requests(vec![request]);
            planner.on_message(now, from(sender), message).expect("a valid message");
        }
        while planner.poll_message(now).is_some() {}
    }
    let estimate =
        planner.dataset(0).compare_cache(0, OutcomeMeasure::WaitedShare).expect("an estimate with support");
    assert!(estimate.low > 0.0, "{estimate:?}");
    assert_ne!(planner.comparison(0, 0, ComparisonScale::WaitedShare), Comparison::Worse);
}

#[test]
fn there_is_no_estimate_where_all_requests_went_to_their_first_candidate() {
    let requests: Vec<_> =
        (0..2000).map(|n| SampledRequest { position: 0, ..sampled_request(n, 100) }).collect();
    let dataset = Dataset::new(requests.iter().map(|request| ReportedRequest {
        request,
        forwarder: ForwarderId(request.request_hash % 9),
        time_bucket: 1,
    }));
    assert!(dataset.request_count() == 2000);
    for cache in 0..4 {
        assert!(dataset.compare_cache(cache, OutcomeMeasure::WaitedShare).is_err());
    }
}

#[test]
fn messages_for_the_other_role_and_unsampled_requests_are_refused() {
    let mut planner = planner();
    let unsampled = CounterfactualMessage::Requests(vec![
        sampled_request(1, 0),
        SampledRequest { request_hash: unsampled_hash(), ..sampled_request(2, 0) },
    ]);
    assert_eq!(planner.on_message(at(1), from(1), unsampled), Err(CounterfactualError::NotSampled));
    let invalid = CounterfactualMessage::Requests(vec![
        sampled_request(1, 0),
        SampledRequest { position: 7, ..sampled_request(2, 0) },
    ]);
    assert_eq!(planner.on_message(at(1), from(1), invalid), Err(CounterfactualError::InvalidValue));
    assert_eq!(
        planner.on_message(at(1), from(1), CounterfactualMessage::WaitedShareReports(Vec::new())),
        Err(CounterfactualError::WrongRole)
    );
    assert_eq!(planner.request_count(), 0);
}

#[test]
fn a_cache_start_is_reported_once() {
    let mut forwarder = forwarder_with(settings());
    forwarder.on_membership_change(at(0), &[PLANNER]);
    let endpoints = |started: u64| {
        let endpoint = ObservedEndpoint {
            cache: EndpointId(5),
            is_origin: false,
            zone: 0,
            size: 1.0,
            started: Some(at(started)),
            warm_after: Span::ZERO,
        };
        Observation::EndpointsChanged(vec![endpoint])
    };
    let mut reports = |ms: u64, started: u64| {
        forwarder.on_observation(at(ms), &endpoints(started));
        std::iter::from_fn(|| forwarder.poll_message(at(ms))).collect::<Vec<_>>()
    };
    let start = CacheStart { cache: 5, age_ms: 4000 };
    assert_eq!(reports(9000, 5000), [(PLANNER, CounterfactualMessage::CacheStarts(vec![start]))]);
    // The age in the endpoint list varies a little: a start 400 ms later is the same start.
    assert_eq!(reports(11_000, 5400), []);
    assert_eq!(reports(60_000, 59_000).len(), 1);
}
