use super::{InFlightAttempts, record_result};
use crate::attempt::{AttemptOutcome, AttemptResult};
use crate::balancer::test_support::{at, attempt, pending};
use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::pending_request::PendingRequest;
use crate::time::Span;

fn result(number: u8, endpoint: u64, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        number: AttemptNumber(number),
        endpoint: EndpointId(endpoint),
        outcome,
        latency: Span::from_millis(10),
        answered: false,
    }
}

/// A request whose only attempt, at cache 1, ended with this outcome.
fn request_after(outcome: AttemptOutcome) -> PendingRequest {
    let mut request = pending(vec![attempt(1, at(0))]);
    record_result(&mut request, &result(0, 1, outcome), false, false);
    request
}

#[test]
fn result_is_accepted_once_and_only_from_the_attempts_endpoint() {
    let id = RequestId(1);
    let mut attempts = InFlightAttempts::default();
    attempts.insert(id, AttemptNumber(0), attempt(1, at(0)));
    assert!(attempts.remove(id, &result(1, 1, AttemptOutcome::Reset)).is_none());
    assert!(attempts.remove(id, &result(0, 1, AttemptOutcome::Reset)).is_some());
    assert!(attempts.remove(id, &result(0, 1, AttemptOutcome::Reset)).is_none());
    attempts.insert(id, AttemptNumber(0), attempt(1, at(0)));
    assert!(attempts.remove(id, &result(0, 2, AttemptOutcome::Reset)).is_none());
}

#[test]
fn request_counts_as_not_executed_only_after_outcomes_that_prove_it() {
    for outcome in [
        AttemptOutcome::CacheMiss,
        AttemptOutcome::Rejected,
        AttemptOutcome::Unreachable,
        AttemptOutcome::NotSent,
    ] {
        assert_eq!(request_after(outcome).first_possible_execution(), None, "{outcome:?}");
    }
    for outcome in [
        AttemptOutcome::Fulfilled,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Errored,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        assert_eq!(request_after(outcome).first_possible_execution(), Some(0), "{outcome:?}");
    }
}

#[test]
fn first_possible_execution_is_the_earliest_attempt() {
    let mut request = pending(vec![attempt(1, at(0)), attempt(2, at(1))]);
    record_result(&mut request, &result(1, 2, AttemptOutcome::Reset), false, false);
    assert_eq!(request.may_have_executed, Some(1));
    assert_eq!(request.first_possible_execution(), Some(0), "the first attempt is in flight");
    record_result(&mut request, &result(0, 1, AttemptOutcome::Reset), false, false);
    assert_eq!(request.may_have_executed, Some(0));
}

#[test]
fn rejected_and_unsent_attempts_and_a_first_reset_exclude_no_endpoint() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::NotSent, AttemptOutcome::Reset] {
        assert!(request_after(outcome).excluded_endpoints.is_empty(), "{outcome:?}");
    }
    for outcome in [AttemptOutcome::CacheMiss, AttemptOutcome::Unreachable, AttemptOutcome::TimedOut] {
        assert_eq!(request_after(outcome).excluded_endpoints, [EndpointId(1)], "{outcome:?}");
    }
    let mut request = pending(vec![attempt(1, at(0)), attempt(1, at(1))]);
    record_result(&mut request, &result(1, 1, AttemptOutcome::Reset), false, false);
    assert_eq!(request.excluded_endpoints, [EndpointId(1)], "a second reset excludes");
}

#[test]
fn cancelled_attempt_excludes_its_endpoint_unless_it_was_overtaken() {
    let mut request = pending(vec![attempt(1, at(0))]);
    record_result(&mut request, &result(0, 1, AttemptOutcome::Cancelled), false, true);
    assert!(request.excluded_endpoints.is_empty());
    assert_eq!(request_after(AttemptOutcome::Cancelled).excluded_endpoints, [EndpointId(1)]);
}

#[test]
fn cache_miss_of_the_origin_is_no_miss_in_cache_and_excludes_no_endpoint() {
    assert!(request_after(AttemptOutcome::CacheMiss).missed_in_cache);
    let mut request = pending(vec![attempt(1, at(0))]);
    record_result(&mut request, &result(0, 1, AttemptOutcome::CacheMiss), true, false);
    assert!(!request.missed_in_cache && request.excluded_endpoints.is_empty());
}
