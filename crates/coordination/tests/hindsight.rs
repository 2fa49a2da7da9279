//! Both sides of hindsight: what is kept and sent, whatever comes.

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    Book, CounterfactualError, CounterfactualMessage, ForwarderComponent, How, Measure, PlannerComponent,
    SampledRequest, Scale, Settings, Standing, is_sampled,
};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use proptest::prelude::*;
use test_case::test_case;

const PLANNER: Member = Member::Planner(PlannerId(1));

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn from(forwarder: u64) -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(forwarder)), incarnation: Incarnation(1), sequence: 1 }
}

/// The `n`th call that is sampled.
fn name(n: u64) -> u64 {
    (n * 64..).find(|c| is_sampled(*c)).expect("one in two")
}

/// Four caches; cache 0 is slower by `more` tenths of a millisecond.
fn observation(n: u64, more: u32) -> SampledRequest {
    let candidates = [n % 4, (n + 1) % 4, (n + 2) % 4];
    let place = if (n / 4).is_multiple_of(3) { 1 } else { 0 };
    let took = 100 + (n * 7919 % 101) as u32 + if candidates[place] == 0 { more } else { 0 };
    let how = if n.is_multiple_of(11) { How::Miss } else { How::Hit };
    SampledRequest {
        call: name(n),
        key: n as u32,
        request_class: 0,
        class: 0,
        candidates: candidates.to_vec(),
        place: place as u8,
        how,
        took,
        slo: 500,
        out: 0,
        ago: (n % 5000) as u32,
    }
}

fn settings() -> Settings {
    Settings { judges_every: Span::from_millis(10_000), ..Settings::default() }
}

fn planner() -> PlannerComponent {
    PlannerComponent::new(settings(), PlannerId(1), Incarnation(1), at(0))
}

fn estimate(planner: &PlannerComponent) -> String {
    let book = planner.book(0);
    let all = (0..4).map(|c| [Measure::Waited, Measure::InTime].map(|m| book.beside_others(c, m)));
    let lottery = planner.lottery(0);
    let drawn = (0..4).map(|c| lottery.beside_others(c, 0.2).map(|b| (b.estimate, b.evidence)));
    format!("{:?} {:?}", all.collect::<Vec<_>>(), drawn.collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Letters that come twice and in any order leave the same, also where there is not room for all.
    #[test]
    fn order_and_doubles_change_nothing(
        order in Just((0..40u64).collect::<Vec<_>>()).prop_shuffle(),
        twice in proptest::collection::vec(any::<bool>(), 40),
        most in prop_oneof![Just(150usize), Just(100_000)],
        most_from_one in prop_oneof![Just(90usize), Just(100_000)],
    ) {
        let made = || PlannerComponent::new(
            Settings { most_kept: most, most_from_one, ..settings() }, PlannerId(1), Incarnation(1), at(0));
        let batch = |b: u64| CounterfactualMessage::Seen((b * 10..b * 10 + 10).map(|n| observation(n, 100)).collect());
        let (mut plain, mut mixed) = (made(), made());
        for b in 0..40 {
            plain.on_message(at(9000), from(b % 3), batch(b)).expect("sound");
        }
        for b in order {
            for _ in 0..=u8::from(twice[b as usize]) {
                mixed.on_message(at(9000), from(b % 3), batch(b)).expect("sound");
            }
        }
        prop_assert_eq!(plain.support(), mixed.support());
        prop_assert_eq!(estimate(&plain), estimate(&mixed));
    }

    /// Whatever a forwarder sees, it keeps and sends no more than its bounds.
    #[test]
    fn a_flood_is_bounded(seed in any::<u64>(), planners in 1u8..5) {
        let settings = Settings { most_told: 300, most_missed: 100, most_caches: 50, ..settings() };
        let mut forwarder = ForwarderComponent::new(settings.clone(), ForwarderId(1), Incarnation(1), at(0));
        let alive: Vec<Member> = (1..=planners).map(|p| Member::Planner(PlannerId(p))).collect();
        forwarder.on_membership_change(at(0), &alive);
        let mut bytes = 0;
        for ms in 0..4000u64 {
            for k in 0..3 {
                let n = seed.wrapping_add(ms * 3 + k);
                let outcome = [AttemptOutcome::Fulfilled, AttemptOutcome::CacheMiss, AttemptOutcome::Cancelled][(n % 3) as usize];
                forwarder.seen(at(ms), &Observation::AttemptFinished(Box::new(ended(n, 0, outcome, n % 3))));
            }
            while let Some((_, message)) = forwarder.poll_message(at(ms)) {
                let size = postcard::to_allocvec(&message).expect("a letter").len();
                prop_assert!(size <= settings.letter, "{size}");
                bytes += size;
            }
            prop_assert!(forwarder.entries() <= 300 + 2 * 2000);
        }
        // What was saved up at first, and what four seconds give.
        let allowed = 2.0 * settings.bytes_a_second + 4.0 * settings.bytes_a_second;
        prop_assert!((bytes as f64) < allowed, "{bytes} of {allowed}");
        prop_assert!(bytes > 4000 && forwarder.shed() > 0);
    }

    /// Any letter at all is kept within bounds or refused whole.
    #[test]
    fn a_planner_takes_any_letter(calls in proptest::collection::vec(any::<(u64, u8, u8, u32, u32, u32, u16)>(), 0..60)) {
        let mut planner = PlannerComponent::new(
            Settings { most_kept: 20, most_standings: 10, ..settings() }, PlannerId(1), Incarnation(1), at(0));
        for (n, of) in calls.chunks(7).enumerate() {
            let seen = of.iter().map(|(call, place, class, took, slo, ago, request_class)| SampledRequest {
                call: name(call % 1_000_000), place: place % 4, class: class % 5, took: *took, slo: *slo,
                ago: *ago, request_class: *request_class, ..observation(*call % 1000, 0)
            });
            let _ = planner.on_message(at(n as u64 * 4000), from(n as u64), CounterfactualMessage::Seen(seen.collect()));
            while planner.poll_message(at(n as u64 * 4000)).is_some() {}
            prop_assert!(planner.support() <= 20 && planner.entries() <= 20 + 10 + 256);
        }
    }
}

fn ended(n: u64, number: u8, outcome: AttemptOutcome, cache: u64) -> FinishedAttempt {
    FinishedAttempt {
        request_hash: name(n % 1_000_000_000),
        number,
        key: Key(n),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache: EndpointId(cache),
        is_origin: cache == 99,
        candidates: vec![EndpointId(0), EndpointId(1), EndpointId(2)],
        outcome,
        latency: Span::from_millis(5),
        bytes: 0,
        in_flight_at_send: 0,
        slo: Span::from_millis(50),
    }
}

/// What a forwarder tells of these shots, each with the time of its end.
fn told(shots: &[(u64, FinishedAttempt)]) -> Vec<SampledRequest> {
    let mut forwarder = ForwarderComponent::new(settings(), ForwarderId(1), Incarnation(1), at(0));
    forwarder.on_membership_change(at(0), &[PLANNER]);
    for (ms, ended) in shots {
        forwarder.seen(at(*ms), &Observation::AttemptFinished(Box::new(ended.clone())));
    }
    let letters = std::iter::from_fn(|| forwarder.poll_message(at(30_000)));
    let seen = letters
        .filter_map(|(_, m)| if let CounterfactualMessage::Seen(seen) = m { Some(seen) } else { None });
    seen.flatten().collect()
}

#[test]
fn a_miss_is_told_with_the_time_until_the_origin_answered() {
    let first = ended(1, 0, AttemptOutcome::CacheMiss, 1);
    let seen = told(&[(10, first.clone()), (25, ended(1, 1, AttemptOutcome::Fulfilled, 99))]);
    assert_eq!(seen.iter().map(|o| (o.place, o.how, o.took)).collect::<Vec<_>>(), [(1, How::Miss, 200)]);
    // Called off at the origin, it is one cut short after that time.
    let seen = told(&[(10, first.clone()), (25, ended(1, 1, AttemptOutcome::Cancelled, 99))]);
    assert_eq!(seen.iter().map(|o| (o.how, o.took)).collect::<Vec<_>>(), [(How::Cut, 200)]);
    // Second tries are chosen for what became of the first, writes and unsampled calls are not told of.
    let second = ended(2, 1, AttemptOutcome::Fulfilled, 2);
    let write = FinishedAttempt { write: true, ..ended(3, 0, AttemptOutcome::Fulfilled, 0) };
    let other = (0..).find(|c| !is_sampled(*c)).expect("one in two");
    let unsampled = FinishedAttempt { request_hash: other, ..ended(4, 0, AttemptOutcome::Fulfilled, 0) };
    assert_eq!(told(&[(10, second), (11, write), (12, unsampled)]), []);
}

#[test]
fn a_slow_cache_is_named_and_a_restart_of_it_forgets() {
    let mut planner = planner();
    let forwarder = Member::Forwarder(ForwarderId(1));
    planner.on_membership_change(at(0), &[forwarder]);
    let (mut ends, mut by_times) = (Vec::new(), Vec::new());
    for round in 1..=4u64 {
        for n in round * 400..round * 400 + 400 {
            let seen = CounterfactualMessage::Seen(vec![observation(n, 150)]);
            planner.on_message(at(round * 10_000), from(n % 3), seen).expect("sound");
        }
        while let Some((to, message)) = planner.poll_message(at(round * 10_000)) {
            assert_eq!(to, forwarder);
            match message {
                CounterfactualMessage::Standing(said) => {
                    ends.extend(said.iter().map(|s| (round, s.cache, s.standing)))
                }
                CounterfactualMessage::Times(said) => {
                    by_times.extend(said.iter().map(|s| (s.cache, s.standing)))
                }
                CounterfactualMessage::Seen(_) | CounterfactualMessage::Started(_) => {
                    panic!("not for a forwarder")
                }
            }
        }
    }
    // Two findings in a row; where others are compared with the slow one they are better than it.
    assert!(ends.contains(&(2, 0, Standing::Worse)), "{ends:?}");
    assert!(!ends.iter().any(|(round, ..)| *round < 2), "{ends:?}");
    assert!(by_times.contains(&(0, Standing::Worse)) && by_times.iter().all(|s| s.0 == 0), "{by_times:?}");
    let started = CounterfactualMessage::Started(vec![(0, 1000)]);
    planner.on_message(at(42_000), from(1), started).expect("sound");
    for scale in [Scale::Share, Scale::Times] {
        assert_eq!(planner.standing(0, 0, scale), Standing::NoSupport);
    }
    // It moves: the next letters say so to those who were told otherwise.
    let forgets = |m: &CounterfactualMessage| matches!(m, CounterfactualMessage::Times(s) if s.iter().any(|s| s.standing == Standing::NoSupport));
    assert!(std::iter::from_fn(|| planner.poll_message(at(52_000))).any(|(_, m)| forgets(&m)));
    let late = CounterfactualMessage::Seen(vec![SampledRequest { ago: 14_000, ..observation(9999, 150) }]);
    let before = planner.support();
    planner.on_message(at(53_000), from(1), late).expect("passed over");
    assert!(!planner.book(0).caches().contains(&0) && planner.support() == before);
    // A new table forgets all.
    planner.new_table(at(54_000));
    assert_eq!(planner.support(), 0);
}

/// One that is cut off from a cache by itself, whether others are sent there as well or not.
#[test_case(3, false; "few and nobody else is sent there")]
#[test_case(24, true; "many of whom others are sent there")]
#[test_case(4, true; "few of whom others are sent there")]
fn one_forwarder_alone_names_nobody(many: u64, others_too: bool) {
    let mut planner = planner();
    for round in 1..=4u64 {
        for n in round * 2400..round * 2400 + 2400 {
            let mut seen = observation(n, 0);
            let mut sender = n / 12 % many;
            if seen.chosen() == 0 && !others_too {
                sender = 0;
            }
            if seen.chosen() == 0 && sender == 0 {
                seen.how = How::Refused;
            }
            planner
                .on_message(at(round * 10_000), from(sender), CounterfactualMessage::Seen(vec![seen]))
                .expect("sound");
        }
        while planner.poll_message(at(round * 10_000)).is_some() {}
    }
    let estimate = planner.book(0).beside_others(0, Measure::Waited).expect("evidence");
    assert!(estimate.low > 0.0, "{estimate:?}");
    assert_ne!(planner.standing(0, 0, Scale::Share), Standing::Worse);
}

#[test]
fn no_number_where_nobody_chose_otherwise() {
    let of: Vec<_> = (0..2000).map(|n| SampledRequest { place: 0, ..observation(n, 100) }).collect();
    let book = Book::of(of.iter().map(|o| (o, ForwarderId(o.call % 9), 1)));
    assert!(book.calls() == 2000);
    for cache in 0..4 {
        assert!(book.beside_others(cache, Measure::Waited).is_err());
    }
}

#[test]
fn letters_for_the_other_side_and_calls_not_sampled_are_refused() {
    let mut planner = planner();
    let other = (0..).find(|c| !is_sampled(*c)).expect("one in two");
    let unsampled = CounterfactualMessage::Seen(vec![
        observation(1, 0),
        SampledRequest { call: other, ..observation(2, 0) },
    ]);
    assert_eq!(planner.on_message(at(1), from(1), unsampled), Err(CounterfactualError::NotSampled));
    let unsound = CounterfactualMessage::Seen(vec![
        observation(1, 0),
        SampledRequest { place: 7, ..observation(2, 0) },
    ]);
    assert_eq!(planner.on_message(at(1), from(1), unsound), Err(CounterfactualError::Figure));
    assert_eq!(
        planner.on_message(at(1), from(1), CounterfactualMessage::Standing(Vec::new())),
        Err(CounterfactualError::WrongSide)
    );
    assert_eq!(planner.support(), 0);
}

#[test]
fn a_start_is_told_once() {
    let mut forwarder = ForwarderComponent::new(settings(), ForwarderId(1), Incarnation(1), at(0));
    forwarder.on_membership_change(at(0), &[PLANNER]);
    let listed = |started: u64| {
        let server = ObservedEndpoint {
            cache: EndpointId(5),
            is_origin: false,
            zone: 0,
            size: 1.0,
            started: Some(at(started)),
            warm_after: Span::ZERO,
        };
        Observation::EndpointsChanged(vec![server])
    };
    let mut starts = |ms: u64, started: u64| {
        forwarder.seen(at(ms), &listed(started));
        std::iter::from_fn(|| forwarder.poll_message(at(ms))).collect::<Vec<_>>()
    };
    assert_eq!(starts(9000, 5000), [(PLANNER, CounterfactualMessage::Started(vec![(5, 4000)]))]);
    // The list's ages waver.
    assert_eq!(starts(11_000, 5400), []);
    assert_eq!(starts(60_000, 59_000).len(), 1);
}
