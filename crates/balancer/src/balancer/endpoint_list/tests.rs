use super::{EndpointList, REMOVED_ENDPOINT_TTL};
use crate::balancer::test_support::{ORIGIN, at, endpoints, listed, settings};
use crate::endpoint::{EndpointRole, EndpointUpdate};
use crate::ids::EndpointId;
use crate::seeded_hash::SeededRandom;
use crate::settings::{Effect, Settings};

fn settings_where_only_draining_excludes(only_draining_excludes: bool) -> Settings {
    Settings { only_draining_excludes, ..settings(Effect::Idempotent) }
}

fn apply(list: &mut EndpointList, ms: u64, updates: &[EndpointUpdate], complete: bool, settings: &Settings) {
    list.apply(at(ms), updates, complete, settings, &mut SeededRandom::new(7));
    list.update_removed_endpoints(at(ms));
}

/// The ids of the serving caches.
fn serving(list: &EndpointList) -> Vec<u64> {
    list.iter().filter(|endpoint| endpoint.is_serving()).map(|endpoint| endpoint.id().0).collect()
}

#[test]
fn roles_follow_the_kinds_and_the_origin_is_no_serving_cache() {
    let list = endpoints(2, &settings(Effect::Idempotent));
    assert_eq!(list.role(ORIGIN), EndpointRole::Origin);
    assert_eq!(list.role(EndpointId(0)), EndpointRole::Cache);
    assert_eq!(list.role(EndpointId(50)), EndpointRole::Cache, "unknown");
    assert_eq!(serving(&list), [0, 1]);
}

#[test]
fn unlisted_endpoints_leave_service_but_keep_state_while_attempts_are_in_flight() {
    let settings = settings_where_only_draining_excludes(false);
    let mut list = endpoints(3, &settings);
    list.get_mut(EndpointId(1)).expect("listed").limit.on_attempt_sent();
    apply(&mut list, 10, &[listed(EndpointId(0))], true, &settings);
    assert_eq!(serving(&list), [0]);
    assert!(list.get(EndpointId(1)).is_some() && list.get(EndpointId(2)).is_none());
}

#[test]
fn incomplete_list_leaves_other_endpoints_unchanged() {
    let settings = settings_where_only_draining_excludes(false);
    let mut list = endpoints(2, &settings);
    let draining = EndpointUpdate { ready: false, draining: true, ..listed(EndpointId(0)) };
    apply(&mut list, 10, &[draining], false, &settings);
    assert_eq!(serving(&list), [1]);
    apply(&mut list, 20, &[listed(EndpointId(0))], false, &settings);
    assert_eq!(serving(&list), [0, 1]);
}

#[test]
fn restart_under_the_same_id_drops_the_state_except_attempts_in_flight() {
    let settings = settings_where_only_draining_excludes(false);
    let mut list = endpoints(1, &settings);
    let endpoint = list.get_mut(EndpointId(0)).expect("listed");
    endpoint.limit.on_attempt_sent();
    endpoint.push = 1.0;
    let same = listed(EndpointId(0));
    apply(&mut list, 10, &[same], false, &settings);
    assert_eq!(list.get(EndpointId(0)).expect("listed").push, 1.0);
    apply(&mut list, 20, &[EndpointUpdate { started: Some(at(15)), ..same }], false, &settings);
    let restarted = list.get(EndpointId(0)).expect("listed");
    assert_eq!(restarted.push, 0.0);
    assert_eq!(restarted.limit.in_flight(), 1.0);
}

#[test]
fn removal_of_more_than_a_minority_takes_effect_after_the_ttl_only() {
    let settings = settings_where_only_draining_excludes(true);
    let mut list = endpoints(4, &settings);
    apply(
        &mut list,
        0,
        &[listed(EndpointId(0)), listed(EndpointId(1)), listed(EndpointId(2))],
        true,
        &settings,
    );
    assert_eq!(serving(&list), [0, 1, 2], "the removal of one cache of four is applied");
    assert!(list.get(ORIGIN).expect("remembered").listed.ready, "the removal of the origin is not applied");
    apply(&mut list, 0, &[listed(EndpointId(0))], true, &settings);
    assert_eq!(serving(&list), [0, 1, 2, 3]);
    list.update_removed_endpoints(at(0) + REMOVED_ENDPOINT_TTL);
    assert_eq!(serving(&list), [0]);
    assert!(list.get(ORIGIN).is_none());
}

#[test]
fn each_entry_takes_one_random_draw() {
    let settings = settings_where_only_draining_excludes(false);
    let mut random = SeededRandom::new(7);
    let mut list = EndpointList::default();
    let gone = EndpointUpdate { ready: false, ..listed(EndpointId(0)) };
    list.apply(at(0), &[listed(EndpointId(0)), gone, listed(EndpointId(1))], true, &settings, &mut random);
    let mut reference = SeededRandom::new(7);
    let draws: Vec<f64> = (0..4).map(|_| reference.next_unit_float()).collect();
    assert_eq!(random.next_unit_float(), draws[3]);
}
