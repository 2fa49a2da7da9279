//! A call keeps the terms that it was taken under, whatever settings follow while it is open.

use granitelb_balancer::balancer::Brain;
use granitelb_balancer::calls::{Answer, ApiCall, Listing, Outcome, ShotEnd};
use granitelb_balancer::ids::{ApiCallId, CacheId, CellId, Key, KindId, ProductId, ShotNumber, ZoneId};
use granitelb_balancer::settings::{DedupScope, Effect, Product, Settings};
use granitelb_balancer::time::{Span, Time};

const START: Time = Time(1_000_000_000);

fn settings(max_come_back: Span) -> Settings {
    let product = Product {
        slo: Span::from_millis(200),
        billed_value: 1.0,
        late_value: 0.0,
        offered: true,
        effect: Effect::Idempotent,
    };
    Settings {
        origin: Some(KindId(1)),
        products: vec![product],
        nodes: 1.0,
        list_on_request: false,
        must_ask_in: Span::from_millis(10_000),
        only_draining_binds: false,
        cold_from: 0.2,
        warm_after: Span::from_millis(20_000),
        fall_multiple: 3.0,
        fall_window: Span::from_millis(2000),
        max_shots: 3,
        second_copies: false,
        may_recall: true,
        max_come_back,
        value_by_work: false,
        steady_sizes: false,
    }
}

/// What a call that no cache is there for is told, where the advice on coming back changes while it waits.
fn told(before: Span, after: Span) -> Option<Answer> {
    let mut brain = Brain::new(settings(before), 7, START);
    let call = ApiCall {
        product: ProductId(0),
        key: Key(1),
        budget: Span::from_millis(400),
        work: None,
        write: false,
    };
    brain.api_call(START, ApiCallId(1), call);
    assert!(brain.next_shot(START).is_none());
    assert!(brain.next_answer(START).is_none(), "it waits first");
    brain.settings_changed(START + Span::from_millis(10), settings(after));
    let later = START + Span::from_millis(190);
    assert!(brain.next_shot(later).is_none());
    brain.next_answer(later).map(|(_, answer)| answer)
}

#[test]
fn a_turned_away_client_hears_the_advice_of_its_own_terms() {
    let (short, long) = (Span::from_millis(100), Span::from_millis(700));
    assert_eq!(told(short, long), Some(Answer::RateLimited { come_back: short }));
    assert_eq!(told(long, short), Some(Answer::RateLimited { come_back: long }));
    assert_eq!(told(Span::ZERO, long), Some(Answer::RateLimited { come_back: Span::ZERO }));
}

/// A repeat of a deduplicated call may begin in half of its window from the first shot that may have run, however long its
/// connection takes to come up.
#[test]
fn a_repeat_tells_until_when_it_may_begin() {
    let (window, at) = (Span::from_millis(300), |ms| START + Span::from_millis(ms));
    let mut settings = settings(Span::ZERO);
    settings.products[0].effect = Effect::Deduplicated { scope: DedupScope::All, window };
    let mut brain = Brain::new(settings, 7, START);
    let listing = |cache| Listing {
        cache: CacheId(cache),
        kind: KindId(0),
        size: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        ready: true,
        draining: false,
        started: None,
    };
    brain.caches_listed(START, &[listing(1), listing(2)], true);
    let (product, key, budget) = (ProductId(0), Key(1), Span::from_millis(400));
    brain.api_call(START, ApiCallId(1), ApiCall { product, key, budget, work: None, write: false });
    let first = brain.next_shot(START).expect("a shot");
    assert_eq!(first.begin_within, first.give_up_after, "it repeats nothing");
    let (outcome, latency) = (Outcome::Reset, Span::from_millis(60));
    let end = ShotEnd { number: ShotNumber(0), cache: first.cache, outcome, latency, answered: false };
    brain.shot_ended(at(60), ApiCallId(1), &end);
    let again = brain.next_shot(at(60)).expect("a repeat");
    assert_eq!(again.begin_within, Span::from_millis(90));
    assert_eq!(again.give_up_after, Span::from_millis(340));
}
