//! Planners and followers.

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::{
    ForwarderComponent, HealthError, HealthMessage, MOST_CACHES, Part, PlannerComponent,
};
use granitelb_coordination::{
    Follower, ForwarderId, HealthStatus, Incarnation, Member, Plan, Planner, PlannerId, Report, Seen, Sender,
    Settings, Version,
};
use test_case::test_case;

const C: EndpointId = EndpointId(7);

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn report(number: u64, answered: f64, failed: f64) -> Report {
    let caches = vec![Seen { cache: C, answered, failed, out: 1.0 }];
    Report { number, part: Part::WHOLE, caches }
}

fn planner() -> Planner {
    Planner::new(Settings::default(), ms(0))
}

fn hear(planner: &mut Planner, at: Time, from: u64, report: &Report) -> Result<(), HealthError> {
    planner.on_message(at, ForwarderId(from), Incarnation(1), report)
}

/// What a planner says of the cache to whoever is due.
fn said(planner: &mut Planner, at: Time) -> Option<HealthStatus> {
    let (_, parts) = planner.next_plan(at).expect("somebody is due");
    parts[0].verdicts.iter().find(|(c, _)| *c == C).map(|(_, v)| *v)
}

#[test]
fn failures_that_two_saw_tell_of_an_ill_cache() {
    let mut p = planner();
    hear(&mut p, ms(0), 1, &report(1, 1.0, 0.0)).expect("sound");
    hear(&mut p, ms(0), 2, &report(1, 1.0, 0.0)).expect("sound");
    assert_eq!(said(&mut p, ms(0)), None);
    hear(&mut p, ms(500), 1, &report(2, 0.0, 4.0)).expect("sound");
    // One alone may be cut off by itself.
    assert_eq!(said(&mut p, ms(500)), None);
    hear(&mut p, ms(600), 2, &report(2, 0.0, 4.0)).expect("sound");
    assert_eq!(said(&mut p, ms(600)), Some(HealthStatus::Failing { ago: Span::ZERO }));
    // Two answers tell that it is there again; what they outweigh is forgotten within some seconds.
    hear(&mut p, ms(2500), 1, &report(3, 2.0, 0.0)).expect("sound");
    assert_eq!(said(&mut p, ms(2500)), Some(HealthStatus::Recovered { ago: Span::ZERO }));
    hear(&mut p, ms(6000), 1, &report(4, 0.0, 0.0)).expect("sound");
    assert_eq!(said(&mut p, ms(6000)), None);
}

#[test]
fn a_planner_that_knows_nothing_says_nothing() {
    let mut p = planner();
    assert!(p.next_plan(ms(0)).is_none());
    hear(&mut p, ms(0), 1, &report(1, 0.0, 0.0)).expect("sound");
    assert_eq!(said(&mut p, ms(0)), None);
    // Nobody is told twice in a beat, nor without having said anything since.
    hear(&mut p, ms(100), 1, &report(2, 0.0, 0.0)).expect("sound");
    assert!(p.next_plan(ms(100)).is_none());
    assert!(p.next_plan(ms(250)).is_some());
    assert!(p.next_plan(ms(900)).is_none());
}

#[test_case(report(2, -1.0, 0.0), HealthError::Figure; "a negative figure")]
#[test_case(report(2, 0.0, f64::NAN), HealthError::Figure; "no figure")]
#[test_case(report(2, 0.0, 1e300), HealthError::Figure; "a huge figure")]
#[test_case(report(1, 0.0, 1.0), HealthError::Old; "one that came before")]
fn nonsense_is_passed_over_whole(nonsense: Report, why: HealthError) {
    let mut p = planner();
    hear(&mut p, ms(0), 1, &report(1, 1.0, 0.0)).expect("sound");
    assert_eq!(hear(&mut p, ms(10), 1, &nonsense), Err(why));
    assert!((p.out(C) - 1.0).abs() < 1e-9);
}

#[test]
fn a_planner_has_bounds_and_forgets_who_is_gone() {
    let settings = Settings { most_forwarders: 3, most_caches: 1, ..Settings::default() };
    let mut p = Planner::new(settings, ms(0));
    for n in 0..3 {
        hear(&mut p, ms(0), n, &report(1, 0.0, 0.0)).expect("room");
    }
    assert_eq!(hear(&mut p, ms(0), 3, &report(1, 0.0, 0.0)), Err(HealthError::TooMany));
    let mut other = report(2, 0.0, 0.0);
    other.caches.push(Seen { cache: EndpointId(8), ..other.caches[0] });
    assert_eq!(hear(&mut p, ms(0), 1, &other), Err(HealthError::TooMany));
    assert_eq!(p.entries(), 3 + 1 + 3);
    assert!((p.out(C) - 3.0).abs() < 1e-9);
    // One that starts again counts from one, and what its last life had out is gone.
    let mut again = |at, number| p.on_message(at, ForwarderId(1), Incarnation(2), &report(number, 0.0, 0.0));
    again(ms(9000), 1).expect("a new life");
    again(ms(11_000), 2).expect("sound");
    assert!((p.out(C) - 1.0).abs() < 1e-9, "{}", p.out(C));
    assert_eq!(p.entries(), 4);
}

fn plan(version: u64, verdict: HealthStatus) -> Plan {
    Plan { version: Version(version), part: Part::WHOLE, forwarders: 9, verdicts: vec![(C, verdict)] }
}

#[test]
fn of_two_planners_the_one_with_fresher_evidence_is_believed() {
    let (fails, answers) = (
        |ms| HealthStatus::Failing { ago: Span::from_millis(ms) },
        |ms| HealthStatus::Recovered { ago: Span::from_millis(ms) },
    );
    let mut f = Follower::new();
    assert!(f.plan_came(ms(1000), PlannerId(0), Incarnation(1), plan(1, fails(300))));
    assert!(f.plan_came(ms(1000), PlannerId(1), Incarnation(1), plan(1, answers(100))));
    assert_eq!(f.advice(ms(1000)).answering, vec![(C, ms(900))]);
    assert!(f.advice(ms(1000)).failing.is_empty());
    assert!(f.plan_came(ms(1200), PlannerId(0), Incarnation(1), plan(2, fails(0))));
    assert_eq!(f.advice(ms(1200)).failing, vec![(C, ms(1200))]);
    // Older ones change nothing, an earlier start's least of all; a new start's count from one.
    assert!(!f.plan_came(ms(1300), PlannerId(0), Incarnation(1), plan(1, answers(0))));
    assert!(f.plan_came(ms(1300), PlannerId(0), Incarnation(2), plan(1, fails(0))));
    assert!(!f.plan_came(ms(1300), PlannerId(0), Incarnation(1), plan(9, answers(0))));
    // Who says nothing for 2 s decides nothing.
    assert_eq!(f.advice(ms(3400)), granitelb_balancer::calls::ControlPlaneUpdate::default());
}

#[test]
fn a_report_tells_each_end_once() {
    let mut f = Follower::new();
    let ends = [
        (AttemptOutcome::Fulfilled, 20),
        (AttemptOutcome::TimedOut, 900),
        // Called off for silence, as a forwarder that may call off does with each shot at a hung cache.
        (AttemptOutcome::Cancelled, 310),
        (AttemptOutcome::Cancelled, 200),
        (AttemptOutcome::TimedOut, 100),
        (AttemptOutcome::NotSent, 0),
    ];
    for (outcome, ms) in ends {
        f.on_attempt_sent(C);
        f.on_attempt_finished(C, outcome, Span::from_millis(ms), Span::from_millis(600));
    }
    f.on_attempt_sent(C);
    let [first, second] = [f.report(), f.report()].map(|mut parts| parts.remove(0));
    assert_eq!(first.caches, vec![Seen { cache: C, answered: 1.0, failed: 2.0, out: 1.0 }]);
    assert_eq!(second.caches, vec![Seen { cache: C, answered: 0.0, failed: 0.0, out: 1.0 }]);
    assert!(second.number > first.number);
}

#[test]
fn who_is_due_first_is_told_first() {
    let mut p = planner();
    hear(&mut p, ms(0), 2, &report(1, 1.0, 0.0)).expect("sound");
    hear(&mut p, ms(10), 1, &report(1, 1.0, 0.0)).expect("sound");
    let told: Vec<_> = std::iter::from_fn(|| p.next_plan(ms(10))).map(|(to, _)| to.0).collect();
    assert_eq!(told, [2, 1]);
    // One that is forgotten is not told.
    hear(&mut p, ms(20), 2, &report(2, 1.0, 0.0)).expect("sound");
    assert!(p.next_plan(ms(20_000)).is_none());
}

#[test]
fn a_few_have_the_turn_and_to_all_others_the_cache_fails() {
    let mut p = planner();
    let all: Vec<_> = (0..20).map(ForwarderId).collect();
    p.on_membership_change(all.clone(), 0);
    for from in 0..20 {
        hear(&mut p, ms(0), from, &report(1, 0.0, 4.0)).expect("sound");
    }
    let mut f = Follower::new();
    let mut tries = 0;
    while let Some((_, parts)) = p.next_plan(ms(0)) {
        let verdict = parts[0].verdicts[0].1;
        tries += usize::from(matches!(verdict, HealthStatus::Probe { .. }));
        f.plan_came(ms(0), PlannerId(0), Incarnation(1), parts[0].clone());
        assert_eq!(f.advice(ms(0)).failing.is_empty(), f.turns(ms(0)) == [C]);
    }
    // Hardly anything was seen of it before: an eighth of them to begin with.
    assert_eq!(tries, 3);
    // Another planner that says nothing of turns does not take it away.
    f.plan_came(ms(0), PlannerId(0), Incarnation(2), plan(1, HealthStatus::Probe { ago: Span::ZERO }));
    f.plan_came(ms(1), PlannerId(1), Incarnation(1), plan(1, HealthStatus::Failing { ago: Span::ZERO }));
    assert!(f.advice(ms(1)).failing.is_empty());
}

#[test]
fn many_caches_go_in_parts_of_which_none_makes_another_look_old() {
    let (p_id, f_id) = (PlannerId(0), ForwarderId(5));
    let mut p = PlannerComponent::new(Settings::default(), p_id, Incarnation(1), ms(0));
    let mut fs = [f_id, ForwarderId(6)]
        .map(|id| ForwarderComponent::new(Settings::default(), id, Incarnation(1), ms(0)));
    for f in &mut fs {
        f.on_membership_change(ms(0), &[Member::Planner(p_id)]);
        for cache in 0..MOST_CACHES as u64 + 50 {
            for _ in 0..4 {
                f.seen(
                    ms(0),
                    &granitelb_coordination::observation::Observation::AttemptSent {
                        cache: EndpointId(cache << 50 | cache),
                        is_origin: false,
                        write: false,
                    },
                );
            }
        }
    }
    // Whatever the order, and each twice: what is out is counted once.
    let mut parts: Vec<_> = std::iter::from_fn(|| fs[0].poll_message(ms(600))).collect();
    assert_eq!(parts.len(), MOST_CACHES.div_ceil(46));
    parts.reverse();
    let from = |member, number| Sender { member, incarnation: Incarnation(1), number };
    for (to, part) in &parts {
        assert_eq!(*to, Member::Planner(p_id));
        let bytes = postcard::to_stdvec(part).expect("written");
        assert!(bytes.len() < 1100, "{}", bytes.len());
        p.on_message(ms(600), from(Member::Forwarder(f_id), 1), part.clone()).expect("news");
        assert_eq!(
            p.on_message(ms(600), from(Member::Forwarder(f_id), 1), part.clone()),
            Err(HealthError::Old)
        );
    }
    let plan = p.poll_message(ms(600)).expect("a plan").1;
    assert!(matches!(plan, HealthMessage::Plan(_)));
    assert_eq!(p.on_message(ms(600), from(Member::Forwarder(f_id), 9), plan), Err(HealthError::NotItsWord));

    // A plan in two parts: until both are there, what the one before said of the rest stands.
    let said = |version, part, cache| {
        let verdicts = vec![(EndpointId(cache), HealthStatus::Failing { ago: Span::ZERO })];
        HealthMessage::Plan(Plan { version: Version(version), part, forwarders: 9, verdicts })
    };
    let mut hear = |at, plan| {
        fs[1].on_message(at, from(Member::Planner(p_id), 1), plan).map(|()| fs[1].advice(at).failing.len())
    };
    let (one, two) = (Part { index: 0, of: 2 }, Part { index: 1, of: 2 });
    assert_eq!(hear(ms(700), said(4, Part::WHOLE, 1)), Ok(1));
    assert_eq!(hear(ms(710), said(5, two, 2)), Ok(2));
    assert_eq!(hear(ms(711), said(5, two, 2)), Err(HealthError::Old));
    assert_eq!(hear(ms(712), said(4, Part::WHOLE, 3)), Err(HealthError::Old));
    assert_eq!(hear(ms(720), said(5, one, 4)), Ok(2));
    assert_eq!(hear(ms(730), said(6, Part { index: 7, of: 7 }, 4)), Err(HealthError::Part));
}
