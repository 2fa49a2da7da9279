//! Turns: even, steady when members come and go, and as many trials whatever the fleet's size.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::ForwarderId;
use granitelb_coordination::probe_scheduling::{Duty, Settings, Trials, Window, holders};
use test_case::test_case;

const C: EndpointId = EndpointId(7);
const WINDOW: u64 = 2000;

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn members(n: u64) -> Vec<ForwarderId> {
    let mut all: Vec<_> = (0..n).map(|k| ForwarderId::of_name(&format!("forwarder {k}"))).collect();
    all.sort_unstable();
    all
}

fn duties(n: u64) -> Vec<Duty> {
    (0..n).map(|c| if c % 3 == 0 { Duty::Open(EndpointId(c)) } else { Duty::Try(EndpointId(c)) }).collect()
}

/// Of how many times each member held a duty.
fn jain(counts: &[f64]) -> f64 {
    let (sum, squares) = counts.iter().fold((0.0, 0.0), |s, c| (s.0 + c, s.1 + c * c));
    sum * sum / (counts.len() as f64 * squares)
}

#[test_case(20, 20; "twenty duties of twenty")]
#[test_case(40, 60; "forty duties of sixty")]
#[test_case(30, 10; "thirty duties of ten")]
fn duties_are_even_over_a_minute(duty_count: u64, n: u64) {
    let all = members(n);
    let mut counts = vec![0.0; all.len()];
    for window in 500..530 {
        for duty in duties(duty_count) {
            for holder in holders(duty, Window(window), &all, 1) {
                counts[all.binary_search(&holder).expect("a member")] += 1.0;
            }
        }
    }
    let index = jain(&counts);
    assert!(index >= 0.9, "{index}");
}

#[test]
fn one_that_goes_or_comes_moves_its_own_duties_alone() {
    let (all, duties) = (members(25), duties(50));
    for window in 900..910 {
        let mut moved = 0;
        for gone in 0..all.len() {
            let mut rest = all.clone();
            let gone = rest.remove(gone);
            for duty in &duties {
                let (before, after) =
                    (holders(*duty, Window(window), &all, 2), holders(*duty, Window(window), &rest, 2));
                let stayed = before.iter().filter(|h| after.contains(h)).count();
                assert_eq!(stayed, if before.contains(&gone) { 1 } else { 2 });
                moved += 2 - stayed;
            }
        }
        // Each duty has two holders, so over all who go there are twice as many moves as duties: two in n of each.
        assert_eq!(moved, 2 * duties.len());
    }
}

#[test]
fn more_is_a_beginning_of_fewer_and_of_none_there_is_none() {
    let all = members(100);
    let ten = holders(Duty::List, Window(3), &all, 10);
    assert_eq!(holders(Duty::List, Window(3), &all, 4), ten[..4]);
    assert_eq!(holders(Duty::List, Window(3), &all, 1000).len(), 100);
    assert!(holders(Duty::List, Window(3), &all, 0).is_empty());
    assert!(holders(Duty::List, Window(3), &[], 3).is_empty());
    assert_ne!(holders(Duty::List, Window(4), &all, 10), ten);
}

fn holding(trials: &mut Trials, at: Time, all: &[ForwarderId]) -> Vec<ForwarderId> {
    all.iter().copied().filter(|m| trials.has(at, C, *m)).collect()
}

#[test]
fn holders_grow_without_trials_and_shrink_with_too_many() {
    let all = members(300);
    let mut trials = Trials::new(Settings::default(), ms(0));
    trials.on_membership_change(all.clone(), 0);
    trials.fell_ill(ms(0), C, 30.0);
    let many = |trials: &mut Trials, window: u64| holding(trials, ms(window * WINDOW), &all).len();
    // As many as together send what is wanted, by what they all sent it before.
    let first = (300.0 * Settings::default().wanted / 60.0).ceil() as usize;
    assert_eq!(many(&mut trials, 0), first);
    // What ends at first was sent before it was known.
    trials.tried(ms(100), C, 80.0, false);
    let grown = [1, 2, 3, 4, 5].map(|w| many(&mut trials, w));
    assert_eq!(grown[0], first);
    assert!(grown.windows(2).all(|w| w[0] < w[1] && w[1] <= 2 * w[0]), "{grown:?}");
    assert!(grown[4] >= 4 * first, "{grown:?}");
    // Too many trials.
    trials.tried(ms(5 * WINDOW + 10), C, 9.0, false);
    let fewer = many(&mut trials, 6);
    assert!(fewer < grown[4] / 2, "{fewer} of {grown:?}");
    // An answer wants another, at once, and is a reason once.
    trials.tried(ms(6 * WINDOW + 10), C, 1.0, true);
    trials.tried(ms(6 * WINDOW + 10), C, 1.0, true);
    assert_eq!(many(&mut trials, 6), 4 * fewer);
    trials.healed(C);
    assert_eq!(many(&mut trials, 6), 0);
}

/// Forwarders that are thousands of draws from one chance: how many trials a window brings in the long run.
#[test_case(3, 40.0; "three with many calls")]
#[test_case(30, 1.0; "thirty")]
#[test_case(300, 0.05; "three hundred with few")]
fn as_many_trials_whatever_the_fleet(n: u64, calls_a_window: f64) {
    let all = members(n);
    let settings = Settings::default();
    let mut trials = Trials::new(settings, ms(0));
    trials.on_membership_change(all.clone(), 0);
    trials.fell_ill(ms(0), C, n as f64 * calls_a_window / 2.0);
    let mut chance = 7_u64;
    let mut sum = 0.0;
    for window in 0..400 {
        for _ in holding(&mut trials, ms(window * WINDOW), &all) {
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            // A holder tries once in its turn, if it has a call.
            let tries = (chance >> 11) as f64 / (1_u64 << 53) as f64 > (-calls_a_window).exp();
            trials.tried(ms(window * WINDOW + 500), C, f64::from(u8::from(tries)), false);
            sum += f64::from(u8::from(tries));
        }
    }
    let mean = sum / 400.0;
    assert!((mean / settings.wanted - 1.0).abs() < 0.35, "{mean} a window");
}

#[test]
fn a_dead_holder_keeps_a_turn_no_longer_than_it_is_unknown() {
    let mut all = members(40);
    let mut trials = Trials::new(Settings::default(), ms(0));
    trials.on_membership_change(all.clone(), 0);
    trials.fell_ill(ms(0), C, 4000.0);
    for window in 0..50 {
        let now = ms(window * WINDOW);
        let [holder] = holding(&mut trials, now, &all)[..] else { panic!("one holds it") };
        if window % 2 == 0 {
            all.retain(|m| *m != holder);
            trials.on_membership_change(all.clone(), 0);
            assert_eq!(holding(&mut trials, now, &all).len(), 1, "at once, once it is known");
        }
        trials.tried(now + Span(1), C, 9.0, false);
    }
}

#[test]
fn a_planner_behind_another_stands_in_when_nobody_tries_and_steps_back() {
    let all = members(40);
    let mut second = Trials::new(Settings::default(), ms(0));
    second.on_membership_change(all.clone(), 1);
    second.fell_ill(ms(0), C, 4000.0);
    let many = |second: &mut Trials, window: u64| holding(second, ms(window * WINDOW), &all).len();
    for window in 0..6 {
        assert_eq!(many(&mut second, window), 0);
        second.tried(ms(window * WINDOW + 1), C, 1.0, false);
    }
    // The first says nothing of it any more.
    let stood_in = (6..12).find(|w| many(&mut second, *w) > 0);
    assert_eq!(stood_in, Some(8));
    // It does again: twice as many trials as are wanted.
    second.tried(ms(8 * WINDOW + 1), C, 4.0, false);
    assert_eq!(many(&mut second, 9), 0);
    // It died.
    second.on_membership_change(all.clone(), 0);
    assert_eq!(many(&mut second, 9), 1);
}

#[test]
fn failing_caches_are_bounded() {
    let settings = Settings { most_caches: 2, ..Settings::default() };
    let mut trials = Trials::new(settings, ms(0));
    trials.on_membership_change(members(3), 0);
    (0..9).for_each(|c| trials.fell_ill(ms(0), EndpointId(c), 0.0));
    assert_eq!(trials.entries(), 3 + 2 * 2);
}
