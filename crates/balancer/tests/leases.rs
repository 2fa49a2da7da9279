//! Leases of fetches from the origin and of work at endpoints in warm-up: a lease limits what a node sends,
//! expires without a message, and never raises what the node would send without it.

mod support;

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use granitelb_balancer::settings::{Effect, Settings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{
    AttemptOutcome, AttemptResult, Balancer, ControlPlaneUpdate, EndpointUpdate, Lease, LocalReply, Request,
};
use support::{CACHE_KIND, ORIGIN_KIND, listed, request_class, settings};

const ORIGIN: EndpointId = EndpointId(9);
const COLD: EndpointId = EndpointId(3);
const START: Time = Time(1_000_000_000);
/// The time that the origin takes for an attempt, in milliseconds.
const ORIGIN_LATENCY_MS: u64 = 10;

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// An attempt in flight at the origin.
struct OriginAttempt {
    ends_at_ms: u64,
    id: RequestId,
    number: u8,
}

/// The numbers of attempts at the origin and at the cold cache.
struct AttemptCounts {
    origin: usize,
    cold: usize,
}

/// One node with two warm caches that miss every key, an origin that holds all keys, and a cold cache if
/// `cold_since_ms` is given.
struct Fixture {
    balancer: Balancer,
    now_ms: u64,
    requests: u64,
    at_origin: VecDeque<OriginAttempt>,
    /// The number of attempts of each request.
    attempts: BTreeMap<RequestId, u8>,
    rate_limited: usize,
}

impl Fixture {
    fn new(nodes: f64, cold_since_ms: Option<u64>) -> Fixture {
        let slo = Span::from_millis(200);
        let classes = vec![request_class(slo, Effect::Idempotent), request_class(slo, Effect::NonIdempotent)];
        let settings = Settings { nodes, ..settings(classes) };
        let mut list = vec![
            listed(EndpointId(1), CACHE_KIND),
            listed(EndpointId(2), CACHE_KIND),
            listed(ORIGIN, ORIGIN_KIND),
        ];
        if let Some(ms) = cold_since_ms {
            list.push(EndpointUpdate { started: Some(at(ms)), ..listed(COLD, CACHE_KIND) });
        }
        let mut balancer = Balancer::new(settings, 7, START);
        balancer.on_endpoints_update(START, &list, true);
        Fixture {
            balancer,
            now_ms: 0,
            requests: 0,
            at_origin: VecDeque::new(),
            attempts: BTreeMap::new(),
            rate_limited: 0,
        }
    }

    fn lease(&mut self, endpoint: EndpointId, quota: f64, duration_ms: u64, quota_after_expiry: f64) {
        let expires_at = at(self.now_ms + duration_ms);
        let leases = vec![(endpoint, Lease { quota, expires_at, quota_after_expiry })];
        let update = ControlPlaneUpdate { leases, ..ControlPlaneUpdate::default() };
        self.balancer.on_control_plane_update(at(self.now_ms), &update);
    }

    /// Runs until `until_ms` with a request every `every_ms`, and returns the numbers of attempts sent.
    fn run(&mut self, until_ms: u64, every_ms: u64, write: bool) -> AttemptCounts {
        let mut sent = AttemptCounts { origin: 0, cold: 0 };
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.finish_due_at_origin();
            if self.now_ms.is_multiple_of(every_ms) {
                self.request(write);
            }
            self.poll_attempts(&mut sent);
            while let Some((_, reply)) = self.balancer.poll_response(at(self.now_ms)) {
                self.rate_limited += usize::from(matches!(reply, LocalReply::RateLimited { .. }));
            }
        }
        sent
    }

    fn finish_due_at_origin(&mut self) {
        while self.at_origin.front().is_some_and(|attempt| attempt.ends_at_ms <= self.now_ms) {
            let attempt = self.at_origin.pop_front().expect("there is a front");
            let outcome = AttemptOutcome::Fulfilled;
            self.finish(attempt.id, attempt.number, ORIGIN, outcome, ORIGIN_LATENCY_MS);
        }
    }

    fn request(&mut self, write: bool) {
        self.requests += 1;
        let request = Request {
            request_class: RequestClassId(u16::from(write)),
            key: Key(self.requests),
            client_timeout: Span::from_millis(500),
            work: Some(Span::from_millis(4)),
            write,
        };
        self.balancer.on_request(at(self.now_ms), RequestId(self.requests), request);
    }

    fn poll_attempts(&mut self, sent: &mut AttemptCounts) {
        while let Some(attempt) = self.balancer.poll_attempt(at(self.now_ms)) {
            let count = self.attempts.entry(attempt.request).or_default();
            let number = *count;
            *count += 1;
            if attempt.endpoint == ORIGIN {
                sent.origin += 1;
                let ends_at_ms = self.now_ms + ORIGIN_LATENCY_MS;
                self.at_origin.push_back(OriginAttempt { ends_at_ms, id: attempt.request, number });
            } else {
                sent.cold += usize::from(attempt.endpoint == COLD);
                self.finish(attempt.request, number, attempt.endpoint, AttemptOutcome::CacheMiss, 0);
            }
        }
    }

    fn finish(
        &mut self,
        id: RequestId,
        number: u8,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        latency_ms: u64,
    ) {
        let result = AttemptResult {
            number: AttemptNumber(number),
            endpoint,
            outcome,
            latency: Span::from_millis(latency_ms),
            answered: outcome == AttemptOutcome::Fulfilled,
        };
        self.balancer.on_attempt_finished(at(self.now_ms), id, &result);
    }
}

#[test]
fn origin_lease_limits_reads_and_expires_by_itself() {
    let mut fixture = Fixture::new(1.0, None);
    let without_lease = fixture.run(2_000, 10, false).origin;
    assert!(without_lease > 190, "{without_lease} of 200 without a lease");
    fixture.lease(ORIGIN, 10.0, 4_000, 1.0);
    let leased = fixture.run(5_000, 10, false).origin;
    // Ten fetches per second for three seconds, and up to ten more from a full budget.
    assert!((20..=41).contains(&leased), "{leased}");
    assert!(fixture.rate_limited > 150, "{} rate-limited", fixture.rate_limited);
    // The lease is neither revoked nor renewed: its quota falls before the expiry to one fetch per second,
    // which stays the quota after the expiry.
    fixture.run(7_000, 10, false);
    let expired = fixture.run(17_000, 10, false).origin;
    assert!((5..=11).contains(&expired), "{expired} in ten seconds");
}

#[test]
fn writes_are_not_limited_by_the_origin_lease() {
    let mut fixture = Fixture::new(1.0, None);
    fixture.lease(ORIGIN, 1.0, 60_000, 1.0);
    assert_eq!(fixture.run(2_000, 20, true).origin, 100);
    // Writes do not use the quota of reads either.
    assert!(fixture.run(6_000, 20, false).origin >= 3);
}

#[test]
fn lease_of_cold_cache_only_lowers_the_work_sent() {
    let sent = |lease: Option<f64>| {
        let mut fixture = Fixture::new(1.0, Some(0));
        if let Some(quota) = lease {
            fixture.lease(COLD, quota, 60_000, quota);
        }
        fixture.run(6_000, 2, false).cold
    };
    let without_lease = sent(None);
    assert_eq!(
        sent(Some(1e9)),
        without_lease,
        "a lease that is too high, as from a faulty planner, raises nothing"
    );
    let leased = sent(Some(0.05));
    // The quota of 0.05 s of work per second times a warm-up factor of 0.2 to 0.44, for six seconds at 4 ms
    // for each attempt, and the tokens that the budget holds for half an overload window.
    assert!(leased * 2 < without_lease && leased <= 40, "{leased} beside {without_lease}");
}
