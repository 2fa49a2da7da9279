use super::{ConcurrencyLimit, Congestion, LimitSample, MIN_LIMIT};
use crate::time::{Span, Time};

const LATENCY: Span = Span::from_millis(10);

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

fn sample(congestion: Congestion) -> LimitSample {
    LimitSample { latency: LATENCY, congestion, service_time: LATENCY, max_growth: 1.0 }
}

/// Sends attempts until the limit is reached, and returns the number sent.
fn fill(limit: &mut ConcurrencyLimit, now: Time) -> usize {
    let mut sent = 0;
    while limit.has_capacity(now) {
        limit.on_attempt_sent();
        sent += 1;
    }
    sent
}

#[test]
fn nodes_share_the_initial_limit_and_each_has_at_least_one_attempt() {
    assert_eq!(fill(&mut ConcurrencyLimit::new(1.0, 0.0, at(0)), at(0)), 12);
    assert_eq!(fill(&mut ConcurrencyLimit::new(3.0, 0.0, at(0)), at(0)), 4);
    assert_eq!(fill(&mut ConcurrencyLimit::new(500.0, 0.0, at(0)), at(0)), 1);
    assert_eq!(fill(&mut ConcurrencyLimit::new(3.0, 3.0, at(0)), at(0)), 1, "three are in flight already");
}

#[test]
fn one_episode_of_congestion_decreases_the_limit_once() {
    let mut limit = ConcurrencyLimit::new(1.0, 0.0, at(0));
    fill(&mut limit, at(0));
    limit.on_attempt_finished(at(10), &sample(Congestion::Congested));
    let decreased = limit.limit;
    assert!(decreased < 12.0);
    limit.on_attempt_finished(at(11), &sample(Congestion::Congested));
    assert_eq!(limit.limit, decreased, "an attempt sent before the decrease");
    limit.on_attempt_finished(at(20), &sample(Congestion::Congested));
    assert!(limit.limit < decreased);
}

#[test]
fn limit_grows_only_while_it_is_used() {
    let mut limit = ConcurrencyLimit::new(1.0, 0.0, at(0));
    limit.on_attempt_sent();
    limit.on_attempt_finished(at(10), &sample(Congestion::Uncongested));
    assert_eq!(limit.limit, 12.0);
    fill(&mut limit, at(10));
    limit.on_attempt_finished(at(20), &sample(Congestion::Unknown));
    assert_eq!(limit.limit, 12.0);
    limit.on_attempt_finished(at(20), &sample(Congestion::Uncongested));
    assert_eq!(limit.limit, 12.0 + 1.0 / 12.0);
}

#[test]
fn limit_below_one_pauses_between_attempts() {
    let mut limit = ConcurrencyLimit::new(100.0, 0.0, at(0));
    for n in 1..=10 {
        limit.on_attempt_sent();
        limit.on_attempt_finished(at(n * 100), &sample(Congestion::Congested));
    }
    assert_eq!(limit.limit, MIN_LIMIT);
    // With a limit of 0.25, a pause of three service times of 10 ms follows each attempt.
    assert!(!limit.has_capacity(at(1029)));
    assert!(limit.has_capacity(at(1030)));
    limit.pause_until(at(1050));
    assert!(!limit.has_capacity(at(1049)));
    limit.pause_until(at(1040));
    assert!(!limit.has_capacity(at(1049)), "a pause is never shortened");
}
