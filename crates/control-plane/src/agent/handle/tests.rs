use granitelb_balancer::calls::{AttemptOutcome, AttemptResult};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};

use super::*;

fn note(n: u64) -> RawObservation {
    let (number, cache, outcome) = (AttemptNumber(0), EndpointId(1), AttemptOutcome::Fulfilled);
    let end = AttemptResult { number, cache, outcome, latency: Span::ZERO, answered: true };
    RawObservation::AttemptFinished { request: RequestId(n), end, bytes: 0 }
}

#[test]
fn a_courier_that_does_not_look_costs_notes_and_no_list() {
    let (mut desk, mut hatch) = open();
    let all = 50_000;
    for n in 0..all {
        desk.note(Time(n), note(n));
        if n % 100 == 0 {
            desk.note(Time(n), RawObservation::EndpointsChanged(Vec::new()));
        }
        desk.end_turn();
    }
    let (mut came, mut last_list) = (0, 0);
    let mut read = |hatch: &mut AgentChannel, last: &mut u64| {
        while let Ok(Some((at, note))) = hatch.next() {
            came += u64::from(!matches!(note, RawObservation::EndpointsChanged(_)));
            *last = if let RawObservation::EndpointsChanged(_) = note { at.0 } else { *last };
        }
    };
    read(&mut hatch, &mut last_list);
    desk.end_turn();
    read(&mut hatch, &mut last_list);
    assert_eq!(last_list, all - 100, "the last list");
    assert_eq!(came + hatch.take_dropped(), all);
    drop(desk);
    assert!(hatch.next().is_err());
}

#[test]
fn advice_is_the_last_one_given_once_and_not_when_it_is_old() {
    let (mut desk, hatch) = open();
    let of =
        |n| ControlPlaneUpdate { failing: vec![(EndpointId(n), Time(0))], ..ControlPlaneUpdate::default() };
    assert_eq!(desk.begin_turn(Time(0)), None);
    hatch.advise(Time(0), of(1));
    assert!(!hatch.is_taken(), "a turn is on that began without it");
    hatch.advise(Time(5), of(2));
    desk.end_turn();
    assert!(hatch.is_taken(), "whatever turn is next begins with it");
    assert_eq!(desk.begin_turn(Time(10)), Some(of(2)));
    desk.end_turn();
    assert_eq!(desk.begin_turn(Time(10)), None);
    desk.end_turn();
    hatch.advise(Time(10), of(3));
    assert!(hatch.is_taken());
    let old = desk.begin_turn(Time(10) + LASTS);
    assert_eq!(old, Some(ControlPlaneUpdate::default()), "the process was stopped meanwhile");
}
