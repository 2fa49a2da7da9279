use super::*;

const FAR: ZoneId = ZoneId(1);
const NEAR: ZoneId = ZoneId(0);

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 1000)
}

fn silent() -> Zones {
    let mut zones = Zones::default();
    (0..3).for_each(|n| zones.unanswered(at(n), FAR, EndpointId(n)));
    zones.heard(at(10), NEAR);
    zones
}

#[test]
fn three_caches_without_an_answer_tell_while_another_zone_answers() {
    let mut zones = Zones::default();
    zones.heard(at(0), NEAR);
    (1..4).for_each(|n| zones.unanswered(at(n), FAR, EndpointId(n)));
    assert!(!zones.is_silent(FAR), "nothing else was heard since: it may be the node itself");
    zones.heard(at(5), NEAR);
    assert!(zones.is_silent(FAR));
    assert!(!zones.is_silent(NEAR));
}

#[test]
fn one_cache_is_no_zone_however_often_it_is_silent() {
    let mut zones = Zones::default();
    (0..30).for_each(|n| zones.unanswered(at(n), FAR, EndpointId(n % 2)));
    zones.heard(at(31), NEAR);
    assert!(!zones.is_silent(FAR));
}

#[test]
fn a_silent_zone_is_tried_once_a_second_and_back_with_its_first_answer() {
    let mut zones = silent();
    assert!(!zones.may_try(at(900), FAR));
    assert!(zones.may_try(at(1100), FAR));
    zones.tried(at(1100), FAR);
    assert!(!zones.may_try(at(1101), FAR), "one trial, not all that wait");
    assert!(zones.may_try(at(2101), FAR));
    zones.heard(at(2200), FAR);
    assert!(zones.may_try(at(2201), FAR));
    assert!(!zones.is_silent(FAR));
}

#[test]
fn a_zone_that_nothing_is_in_is_forgotten() {
    let mut zones = silent();
    zones.keep(&[FAR, NEAR].into());
    assert!(zones.is_silent(FAR), "one that is listed stands");
    zones.keep(&[NEAR].into());
    assert_eq!(zones.0.len(), 1);
}
