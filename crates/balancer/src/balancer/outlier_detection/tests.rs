use super::EndpointHealth;
use crate::time::{Span, Time};

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

fn ejected_at_zero() -> EndpointHealth {
    let mut health = EndpointHealth::new();
    for _ in 0..3 {
        health.record(at(0), false);
    }
    health
}

#[test]
fn endpoint_is_ejected_below_three_successes_of_five() {
    let mut health = EndpointHealth::new();
    health.record(at(0), false);
    health.record(at(0), false);
    assert!(!health.is_ejected());
    health.record(at(0), true);
    health.record(at(0), false);
    assert!(health.is_ejected());
}

#[test]
fn probe_backoff_doubles_up_to_its_maximum() {
    let mut health = ejected_at_zero();
    let mut due_ms = 1000;
    for backoff_ms in [1000, 2000, 4000, 8000, 8000] {
        assert!(!health.is_probe_due(at(due_ms - 1)));
        assert!(health.is_probe_due(at(due_ms)));
        health.on_attempt_sent(at(due_ms));
        health.record(at(due_ms), false);
        due_ms += backoff_ms;
    }
}

#[test]
fn successful_probe_ends_the_ejection_and_clears_the_history() {
    let mut health = ejected_at_zero();
    health.record(at(1000), true);
    assert!(!health.is_ejected());
    health.record(at(1000), false);
    health.record(at(1000), false);
    assert!(!health.is_ejected(), "failures before the successful probe don't count");
}

#[test]
fn origin_is_never_ejected() {
    let mut health = EndpointHealth::new();
    for _ in 0..10 {
        health.record_without_ejection(false);
    }
    assert!(!health.is_ejected());
}

#[test]
fn reports_of_other_nodes_eject_and_reschedule_probes() {
    let mut health = EndpointHealth::new();
    health.on_reported_answering(at(0));
    assert!(!health.is_ejected());
    health.on_reported_failing(at(0));
    assert!(health.is_ejected() && !health.is_probe_due(at(999)));
    health.on_reported_failing(at(500));
    assert!(!health.is_probe_due(at(1499)), "another report of failures postpones the probe");
    health.on_reported_answering(at(600));
    assert!(health.is_ejected(), "only a probe ends an ejection");
    assert!(health.is_probe_due(at(600)));
}
