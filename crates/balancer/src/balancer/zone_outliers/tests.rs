use super::ZoneOutlierDetector;
use crate::ids::{EndpointId, ZoneId};
use crate::time::Time;

const FAR: ZoneId = ZoneId(1);
const NEAR: ZoneId = ZoneId(0);

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 1000)
}

fn unresponsive() -> ZoneOutlierDetector {
    let mut detector = ZoneOutlierDetector::default();
    (0..3).for_each(|n| detector.on_no_response(at(n), FAR, EndpointId(n)));
    detector.on_response(at(10), NEAR);
    detector
}

#[test]
fn three_endpoints_without_response_mark_zone_while_another_zone_responds() {
    let mut detector = ZoneOutlierDetector::default();
    detector.on_response(at(0), NEAR);
    (1..4).for_each(|n| detector.on_no_response(at(n), FAR, EndpointId(n)));
    assert!(
        !detector.is_unresponsive(FAR),
        "no other zone responded since: the node itself may be disconnected"
    );
    detector.on_response(at(5), NEAR);
    assert!(detector.is_unresponsive(FAR));
    assert!(!detector.is_unresponsive(NEAR));
}

#[test]
fn two_endpoints_do_not_mark_zone_however_often_they_fail() {
    let mut detector = ZoneOutlierDetector::default();
    (0..30).for_each(|n| detector.on_no_response(at(n), FAR, EndpointId(n % 2)));
    detector.on_response(at(31), NEAR);
    assert!(!detector.is_unresponsive(FAR));
}

#[test]
fn unresponsive_zone_is_probed_once_a_second_and_recovers_with_first_response() {
    let mut detector = unresponsive();
    assert!(!detector.is_attempt_allowed(at(900), FAR));
    assert!(detector.is_attempt_allowed(at(1100), FAR));
    detector.on_attempt_sent(at(1100), FAR);
    assert!(!detector.is_attempt_allowed(at(1101), FAR), "only one request is sent as a probe");
    assert!(detector.is_attempt_allowed(at(2101), FAR));
    detector.on_response(at(2200), FAR);
    assert!(detector.is_attempt_allowed(at(2201), FAR));
    assert!(!detector.is_unresponsive(FAR));
}

#[test]
fn state_of_unlisted_zone_is_dropped() {
    let mut detector = unresponsive();
    detector.retain_zones(&[FAR, NEAR].into());
    assert!(detector.is_unresponsive(FAR), "a listed zone keeps its state");
    detector.retain_zones(&[NEAR].into());
    assert_eq!(detector.zones.len(), 1);
}
