use super::PermissionGate;
use crate::balancer::endpoint_list::EndpointList;
use crate::balancer::response_times::ResponseTimes;
use crate::balancer::test_support::{ORIGIN, at, attempt, endpoints, pending, settings};
use crate::balancer::warmup::{WarmupGate, WarmupTraffic};
use crate::control_plane::Lease;
use crate::ids::{CellId, EndpointId, ZoneId};
use crate::pending_request::PendingRequest;
use crate::settings::{DedupScope, Effect, Settings};
use crate::time::{Span, Time};

const WINDOW: Span = Span::from_millis(300);

/// Runs a check with a gate over these settings and endpoints.
fn at_gate<T>(
    now: Time,
    settings: &Settings,
    endpoints: &EndpointList,
    check: impl Fn(&PermissionGate<'_>) -> T,
) -> T {
    let traffic = WarmupTraffic::new(settings, at(0));
    let response_times = ResponseTimes::new(&settings.request_classes, at(0));
    let warmup = WarmupGate { now, settings, traffic: &traffic, response_times: &response_times };
    check(&PermissionGate { now, settings, endpoints, warmup })
}

fn is_permitted(now: Time, settings: &Settings, request: &PendingRequest, endpoint: u64) -> bool {
    let list = endpoints(4, settings);
    let endpoint = list.get(EndpointId(endpoint)).expect("listed");
    at_gate(now, settings, &list, |gate| gate.is_permitted(request, endpoint))
}

/// A request whose only attempt, at cache 0, was reset and may have been executed.
fn possibly_executed() -> PendingRequest {
    let mut request = pending(vec![attempt(0, at(0))]);
    request.attempts[0].in_flight = false;
    request.may_have_executed = Some(0);
    request
}

#[test]
fn rule_1_permits_no_attempt_after_the_deadline_or_the_last_allowed_one() {
    let settings = settings(Effect::Idempotent);
    assert!(is_permitted(at(999), &settings, &pending(Vec::new()), 1));
    assert!(!is_permitted(at(1000), &settings, &pending(Vec::new()), 1));
    let mut request = possibly_executed();
    assert!(is_permitted(at(10), &settings, &request, 1));
    request.max_attempts = 1;
    assert!(!is_permitted(at(10), &settings, &request, 1));
}

#[test]
fn rule_2_allows_a_second_attempt_in_flight_only_as_hedged_request() {
    let mut settings = settings(Effect::Idempotent);
    let request = pending(vec![attempt(0, at(0))]);
    assert!(!is_permitted(at(10), &settings, &request, 1));
    settings.hedged_requests = true;
    assert!(is_permitted(at(10), &settings, &request, 1));
}

#[test]
fn rule_2_never_repeats_a_non_idempotent_effect() {
    let settings = settings(Effect::NonIdempotent);
    assert!(!is_permitted(at(10), &settings, &possibly_executed(), 1));
    assert!(is_permitted(at(10), &settings, &pending(Vec::new()), 1));
}

#[test]
fn rule_2_repeats_within_scope_and_first_half_of_the_window() {
    let within = |scope| settings(Effect::Deduplicated { scope, window: WINDOW });
    let request = possibly_executed();
    assert!(is_permitted(at(149), &within(DedupScope::All), &request, 1));
    assert!(!is_permitted(at(150), &within(DedupScope::All), &request, 1));
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        assert!(is_permitted(at(149), &within(scope), &request, 0), "{scope:?}");
        assert!(!is_permitted(at(149), &within(scope), &request, 1), "{scope:?}");
    }
}

#[test]
fn scope_compares_zone_or_cell() {
    let settings = settings(Effect::Deduplicated { scope: DedupScope::Zone, window: WINDOW });
    let mut list = endpoints(2, &settings);
    list.get_mut(EndpointId(1)).expect("listed").listed.zone = ZoneId(0);
    let request = possibly_executed();
    let may_repeat = |list: &EndpointList, settings: &Settings| {
        let endpoint = list.get(EndpointId(1)).expect("listed");
        at_gate(at(10), settings, list, |gate| gate.may_repeat(&request, endpoint))
    };
    assert!(may_repeat(&list, &settings));
    let mut by_cell = settings.clone();
    by_cell.request_classes[0].effect = Effect::Deduplicated { scope: DedupScope::Cell, window: WINDOW };
    assert!(!may_repeat(&list, &by_cell));
    list.get_mut(EndpointId(1)).expect("listed").listed.cell = CellId(0);
    assert!(may_repeat(&list, &by_cell));
}

#[test]
fn rule_3_sends_nothing_to_an_endpoint_that_is_not_ready() {
    let settings = settings(Effect::Idempotent);
    let mut list = endpoints(2, &settings);
    list.get_mut(EndpointId(1)).expect("listed").listed.ready = false;
    let endpoint = list.get(EndpointId(1)).expect("listed");
    assert!(!at_gate(at(10), &settings, &list, |gate| gate.is_permitted(&pending(Vec::new()), endpoint)));
}

#[test]
fn rule_4_limits_attempts_in_warm_up_and_at_the_leased_origin() {
    let settings = settings(Effect::Idempotent);
    let mut list = endpoints(2, &settings);
    let endpoint = list.get_mut(EndpointId(1)).expect("listed");
    endpoint.listed.started = Some(at(0));
    endpoint.warmup_budget.set(at(0), 0.0, 1.0);
    let mut request = pending(Vec::new());
    let permits = |list: &EndpointList, request: &PendingRequest, id, ms| {
        let endpoint = list.get(id).expect("listed");
        at_gate(at(ms), &settings, list, |gate| gate.is_permitted(request, endpoint))
    };
    // The budget refills at one second of work per second times the warm-up factor of 0.2, and an attempt
    // costs 10 ms.
    assert!(!permits(&list, &request, EndpointId(1), 49));
    assert!(permits(&list, &request, EndpointId(1), 51));
    let origin = list.get_mut(ORIGIN).expect("listed");
    origin.lease = Some(Lease { quota: 0.0, expires_at: at(60_000), quota_after_expiry: 0.0 });
    origin.warmup_budget.set(at(0), 0.0, 1.0);
    assert!(!permits(&list, &request, ORIGIN, 900));
    request.request.write = true;
    assert!(permits(&list, &request, ORIGIN, 900), "writes are not leased");
}

#[test]
fn repeat_must_begin_within_half_the_window_and_a_first_attempt_within_the_deadline() {
    let settings = settings(Effect::Deduplicated { scope: DedupScope::All, window: WINDOW });
    let list = endpoints(2, &settings);
    let deadline = |request| at_gate(at(10), &settings, &list, |gate| gate.begin_deadline(&request));
    assert_eq!(deadline(pending(Vec::new())), at(1000));
    assert_eq!(deadline(possibly_executed()), at(150));
}
