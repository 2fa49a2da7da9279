//! A call keeps the terms that it was taken under, whatever settings follow while it is open.

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::{Span, Time};

const START: Time = Time(1_000_000_000);

fn settings(max_retry_after: Span) -> Settings {
    let request_class = RequestClass {
        slo: Span::from_millis(200),
        billed_value: 1.0,
        value_after_slo: 0.0,
        offered: true,
        effect: Effect::Idempotent,
    };
    Settings {
        origin: Some(KindId(1)),
        request_classes: vec![request_class],
        nodes: 1.0,
        list_on_request: false,
        max_poll_interval: Span::from_millis(10_000),
        only_draining_binds: false,
        cold_from: 0.2,
        warm_after: Span::from_millis(20_000),
        fall_multiple: 3.0,
        fall_window: Span::from_millis(2000),
        max_attempts: 3,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after,
        value_by_work: false,
        steady_sizes: false,
    }
}

/// What a call that no cache is there for is told, where the advice on coming back changes while it waits.
fn told(before: Span, after: Span) -> Option<LocalReply> {
    let mut balancer = Balancer::new(settings(before), 7, START);
    let call = Request {
        request_class: RequestClassId(0),
        key: Key(1),
        budget: Span::from_millis(400),
        work: None,
        write: false,
    };
    balancer.on_request(START, RequestId(1), call);
    assert!(balancer.poll_attempt(START).is_none());
    assert!(balancer.poll_response(START).is_none(), "it waits first");
    balancer.on_settings_update(START + Span::from_millis(10), settings(after));
    let later = START + Span::from_millis(190);
    assert!(balancer.poll_attempt(later).is_none());
    balancer.poll_response(later).map(|(_, answer)| answer)
}

#[test]
fn a_turned_away_client_hears_the_advice_of_its_own_terms() {
    let (short, long) = (Span::from_millis(100), Span::from_millis(700));
    assert_eq!(told(short, long), Some(LocalReply::RateLimited { retry_after: short }));
    assert_eq!(told(long, short), Some(LocalReply::RateLimited { retry_after: long }));
    assert_eq!(told(Span::ZERO, long), Some(LocalReply::RateLimited { retry_after: Span::ZERO }));
}

/// A repeat of a deduplicated call may begin in half of its window from the first shot that may have run, however long its
/// connection takes to come up.
#[test]
fn a_repeat_tells_until_when_it_may_begin() {
    let (window, at) = (Span::from_millis(300), |ms| START + Span::from_millis(ms));
    let mut settings = settings(Span::ZERO);
    settings.request_classes[0].effect = Effect::Deduplicated { scope: DedupScope::All, window };
    let mut balancer = Balancer::new(settings, 7, START);
    let listing = |cache| EndpointUpdate {
        cache: EndpointId(cache),
        kind: KindId(0),
        size: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        ready: true,
        draining: false,
        started: None,
    };
    balancer.on_endpoints_update(START, &[listing(1), listing(2)], true);
    let (request_class, key, budget) = (RequestClassId(0), Key(1), Span::from_millis(400));
    balancer.on_request(
        START,
        RequestId(1),
        Request { request_class, key, budget, work: None, write: false },
    );
    let first = balancer.poll_attempt(START).expect("a shot");
    assert_eq!(first.begin_within, first.give_up_after, "it repeats nothing");
    let (outcome, latency) = (AttemptOutcome::Reset, Span::from_millis(60));
    let end =
        AttemptResult { number: AttemptNumber(0), cache: first.cache, outcome, latency, answered: false };
    balancer.on_attempt_finished(at(60), RequestId(1), &end);
    let again = balancer.poll_attempt(at(60)).expect("a repeat");
    assert_eq!(again.begin_within, Span::from_millis(90));
    assert_eq!(again.give_up_after, Span::from_millis(340));
}
