//! Caches held against each other by the keys' lottery: calls that all went to their first candidate, as behind real nodes.

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, How, Measure, NoSupport, PlannerComponent, SampledRequest, Scale, Settings,
    Standing, is_sampled,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const CACHES: u64 = 6;
const ROUND_MS: u64 = 10_000;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn mix(n: u64) -> u64 {
    let x = (n ^ (n >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Of the SLO of 400 ms a hit takes 4; one call of 16 is a miss and takes ten times as long.
fn seen(n: u64) -> SampledRequest {
    let key = mix(n) >> 54;
    let first = mix(key + 7) % CACHES;
    let how = if mix(n + 3) >> 60 == 0 { How::Miss } else { How::Hit };
    let took = (20 + (mix(n + 1) >> 58)) as u32 * if how == How::Miss { 10 } else { 1 };
    SampledRequest {
        call: (n * 64..).find(|c| is_sampled(*c)).expect("one in two"),
        key: key as u32,
        request_class: 0,
        class: 0,
        candidates: (0..3).map(|place| (first + place) % CACHES).collect(),
        place: 0,
        how,
        took,
        slo: 4000,
        out: 0,
        ago: (n % 5000) as u32,
    }
}

/// Some rounds of calls by so many forwarders, each call told as `told` says.
fn rounds(n: u64, forwarders: u64, told: impl Fn(u64, &mut SampledRequest)) -> PlannerComponent {
    let settings = Settings { judges_every: Span::from_millis(ROUND_MS), ..Settings::default() };
    let mut planner = PlannerComponent::new(settings, PlannerId(1), Incarnation(1), at(0));
    for round in 1..=n {
        for n in round * 1200..round * 1200 + 1200 {
            let (from, mut seen) = (mix(n + 5) % forwarders, seen(n));
            told(from, &mut seen);
            let from = Sender {
                member: Member::Forwarder(ForwarderId(from)),
                incarnation: Incarnation(1),
                sequence: 1,
            };
            planner
                .on_message(at(round * ROUND_MS), from, CounterfactualMessage::Seen(vec![seen]))
                .expect("sound");
        }
        while planner.poll_message(at(round * ROUND_MS)).is_some() {}
    }
    planner
}

fn bold(planner: &PlannerComponent) -> Vec<(u64, Standing)> {
    let standing = |c| (c, planner.standing(c, 0, Scale::Times));
    let bold = |s: &(u64, Standing)| matches!(s.1, Standing::Worse | Standing::Better);
    (0..CACHES).map(standing).filter(bold).collect()
}

/// Behind real nodes next to nothing goes to second places: what weighs choices has no support, and says so.
#[test]
fn a_threefold_cache_far_under_the_slo_is_named_though_all_calls_went_to_their_first() {
    let slow = |_, seen: &mut SampledRequest| seen.took *= if seen.chosen() == 2 { 3 } else { 1 };
    let planner = rounds(2, 8, slow);
    assert_eq!(bold(&planner), [(2, Standing::Worse)]);
    assert_eq!(planner.book(0).beside_others(2, Measure::Waited), Err(NoSupport));
    let beside = planner.lottery(0).beside_others(2, 0.2).expect("enough keys");
    assert!((2.5..3.5).contains(&beside.estimate.mean.exp()), "{:?}", beside.estimate);
    assert!(bold(&rounds(12, 8, |_, _| ())).is_empty());
}

/// One forwarder says of a good cache that it takes 20 times as long, or of all others that they take none.
#[test_case(2, true; "one of two of one cache")]
#[test_case(5, true; "one of five of one cache")]
#[test_case(4, false; "one of four of all the others")]
fn a_forwarder_that_lies_names_nobody(forwarders: u64, of_one: bool) {
    let lies = |from, seen: &mut SampledRequest| {
        if from == 0 && (seen.chosen() == 2) == of_one {
            seen.took = if of_one { seen.took * 20 } else { 1 };
        }
    };
    assert_eq!(bold(&rounds(6, forwarders, lies)), []);
}

/// A hot key has a cache for its own: what it takes is the key's, and one key bears no interval.
#[test]
fn a_heavy_key_names_nobody() {
    let heavy = |_, seen: &mut SampledRequest| {
        if seen.call.is_multiple_of(3) {
            (seen.key, seen.candidates) = (1 << 20, vec![2, 3, 4]);
            seen.took *= 4;
        }
    };
    assert_eq!(bold(&rounds(6, 8, heavy)), []);
}

#[test]
fn two_caches_or_a_single_key_have_no_support() {
    let two = |_, seen: &mut SampledRequest| seen.candidates = vec![seen.chosen() % 2, 8, 9];
    let planner = rounds(1, 8, two);
    assert!((0..CACHES).all(|c| planner.lottery(0).beside_others(c, 0.2).is_err()));
    let planner = rounds(1, 8, |_, seen| seen.key = 1);
    assert!((0..CACHES).all(|c| planner.lottery(0).beside_others(c, 0.2).is_err()));
}
