//! A pending request keeps the limits and deadlines of the settings at its arrival when the settings change.

mod support;

use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use granitelb_balancer::settings::{DedupScope, Effect, Settings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, Balancer, LocalReply, Request};
use support::{CACHE_KIND, listed, request_class};

const START: Time = Time(1_000_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn settings(max_retry_after: Span) -> Settings {
    let class = request_class(Span::from_millis(200), Effect::Idempotent);
    Settings { max_retry_after, ..support::settings(vec![class]) }
}

fn read() -> Request {
    Request {
        request_class: RequestClassId(0),
        key: Key(1),
        client_timeout: Span::from_millis(400),
        work: None,
        write: false,
    }
}

/// The response to a request without any cache in the list, if the longest `Retry-After` changes from
/// `before` to `after` while the request waits.
fn response_after_change(before: Span, after: Span) -> Option<LocalReply> {
    let mut balancer = Balancer::new(settings(before), 7, START);
    balancer.on_request(START, RequestId(1), read());
    assert!(balancer.poll_attempt(START).is_none());
    assert!(balancer.poll_response(START).is_none(), "the request waits first");
    balancer.on_settings_update(at(10), settings(after));
    let later = at(190);
    assert!(balancer.poll_attempt(later).is_none());
    balancer.poll_response(later).map(|(_, reply)| reply)
}

#[test]
fn rejected_client_gets_retry_after_by_the_settings_at_arrival() {
    let (short, long) = (Span::from_millis(100), Span::from_millis(700));
    let limited = |retry_after| Some(LocalReply::RateLimited { retry_after });
    assert_eq!(response_after_change(short, long), limited(short));
    assert_eq!(response_after_change(long, short), limited(long));
    assert_eq!(response_after_change(Span::ZERO, long), limited(Span::ZERO));
}

/// Guards against a deduplicated request that is executed twice because connecting took long. An attempt that
/// repeats the request may begin only within half of the deduplication window, counted from the first attempt
/// that may have executed the request.
#[test]
fn repeated_attempt_must_begin_within_half_of_the_deduplication_window() {
    let window = Span::from_millis(300);
    let mut settings = settings(Span::ZERO);
    settings.request_classes[0].effect = Effect::Deduplicated { scope: DedupScope::All, window };
    let mut balancer = Balancer::new(settings, 7, START);
    let list = [listed(EndpointId(1), CACHE_KIND), listed(EndpointId(2), CACHE_KIND)];
    balancer.on_endpoints_update(START, &list, true);
    balancer.on_request(START, RequestId(1), read());
    let first = balancer.poll_attempt(START).expect("an attempt");
    assert_eq!(first.begin_within, first.timeout, "the first attempt repeats nothing");
    let result = AttemptResult {
        number: AttemptNumber(0),
        endpoint: first.endpoint,
        outcome: AttemptOutcome::Reset,
        latency: Span::from_millis(60),
        answered: false,
    };
    balancer.on_attempt_finished(at(60), RequestId(1), &result);
    let repeat = balancer.poll_attempt(at(60)).expect("a repeat");
    assert_eq!(repeat.begin_within, Span::from_millis(90));
    assert_eq!(repeat.timeout, Span::from_millis(340));
}
