//! Leases of the origin's fetches and of cold caches' work at the module's door: they bind, end by themselves, and never
//! raise what a node sends by itself.

use std::collections::VecDeque;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{
    AttemptOutcome, AttemptResult, ControlPlaneUpdate, EndpointUpdate, Lease, LocalReply, Request,
};
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::time::{Span, Time};

const ORIGIN: EndpointId = EndpointId(9);
const COLD: EndpointId = EndpointId(3);
const START: Time = Time(1_000_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// One node before two warm caches that lack every key, an origin that has all, and a cold cache if asked for.
struct World {
    balancer: Balancer,
    now: u64,
    calls: u64,
    /// Shots out at the origin: when each ends, its call and its number.
    out: VecDeque<(u64, RequestId, u8)>,
    /// Shots of each call are counted here, by call.
    shots: std::collections::BTreeMap<RequestId, u8>,
    limited: usize,
}

impl World {
    fn new(nodes: f64, cold_at: Option<u64>) -> World {
        let request_class = |effect| RequestClass {
            slo: Span::from_millis(200),
            billed_value: 1.0,
            value_after_slo: 0.0,
            offered: true,
            effect,
        };
        let settings = Settings {
            origin: Some(KindId(1)),
            request_classes: vec![request_class(Effect::Idempotent), request_class(Effect::NonIdempotent)],
            nodes,
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
            max_retry_after: Span::from_millis(1500),
            value_by_work: false,
            steady_sizes: false,
        };
        let listing = |cache: EndpointId, started: Option<Time>| EndpointUpdate {
            cache,
            kind: KindId(u16::from(cache == ORIGIN)),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started,
        };
        let mut list: Vec<_> = [EndpointId(1), EndpointId(2), ORIGIN].map(|c| listing(c, None)).into();
        list.extend(cold_at.map(|ms| listing(COLD, Some(at(ms)))));
        let mut balancer = Balancer::new(settings, 7, START);
        balancer.on_endpoints_update(START, &list, true);
        World { balancer, now: 0, calls: 0, out: VecDeque::new(), shots: Default::default(), limited: 0 }
    }

    fn lease(&mut self, cache: EndpointId, most: f64, for_ms: u64, then: f64) {
        let leases = vec![(cache, Lease { most, until: at(self.now + for_ms), then })];
        self.balancer.on_control_plane_update(
            at(self.now),
            &ControlPlaneUpdate { leases, ..ControlPlaneUpdate::default() },
        );
    }

    /// A call every `every` ms until then; how many shots went to the origin and to the cold cache.
    fn play(&mut self, until: u64, every: u64, write: bool) -> (usize, usize) {
        let mut sent = (0, 0);
        while self.now < until {
            self.now += 1;
            while self.out.front().is_some_and(|o| o.0 <= self.now) {
                let (_, id, number) = self.out.pop_front().expect("looked at");
                self.end(id, number, ORIGIN, AttemptOutcome::Fulfilled, 10);
            }
            if self.now.is_multiple_of(every) {
                self.calls += 1;
                let (request_class, key) = (RequestClassId(u16::from(write)), Key(self.calls));
                let budget = Span::from_millis(500);
                let call = Request { request_class, key, budget, work: Some(Span::from_millis(4)), write };
                self.balancer.on_request(at(self.now), RequestId(self.calls), call);
            }
            while let Some(shot) = self.balancer.poll_attempt(at(self.now)) {
                let count = self.shots.entry(shot.request).or_default();
                let number = std::mem::replace(count, *count + 1);
                if shot.cache == ORIGIN {
                    sent.0 += 1;
                    self.out.push_back((self.now + 10, shot.request, number));
                } else {
                    sent.1 += usize::from(shot.cache == COLD);
                    self.end(shot.request, number, shot.cache, AttemptOutcome::CacheMiss, 0);
                }
            }
            while let Some((_, answer)) = self.balancer.poll_response(at(self.now)) {
                self.limited += usize::from(matches!(answer, LocalReply::RateLimited { .. }));
            }
        }
        sent
    }

    fn end(&mut self, id: RequestId, number: u8, cache: EndpointId, outcome: AttemptOutcome, ms: u64) {
        let (latency, answered) = (Span::from_millis(ms), outcome == AttemptOutcome::Fulfilled);
        let end = AttemptResult { number: AttemptNumber(number), cache, outcome, latency, answered };
        self.balancer.on_attempt_finished(at(self.now), id, &end);
    }
}

#[test]
fn an_origins_lease_binds_reads_and_ends_by_itself() {
    let mut world = World::new(1.0, None);
    let free = world.play(2_000, 10, false).0;
    assert!(free > 190, "{free} of 200 without a lease");
    world.lease(ORIGIN, 10.0, 4_000, 1.0);
    let leased = world.play(5_000, 10, false).0;
    // Ten a second for three seconds, and what a second saves up.
    assert!((20..=41).contains(&leased), "{leased}");
    assert!(world.limited > 150, "{} told when to come back", world.limited);
    // Nobody takes it back, and nobody renews it: its last part eases it down, and then what is the node's own is left.
    world.play(7_000, 10, false);
    let left = world.play(17_000, 10, false).0;
    assert!((5..=11).contains(&left), "{left} in ten seconds");
}

#[test]
fn writes_have_nowhere_else_to_go_and_are_not_leased() {
    let mut world = World::new(1.0, None);
    world.lease(ORIGIN, 1.0, 60_000, 1.0);
    assert_eq!(world.play(2_000, 20, true).0, 100);
    // Nor do they use up what reads have.
    assert!(world.play(6_000, 20, false).0 >= 3);
}

#[test]
fn a_cold_caches_lease_lowers_and_never_raises() {
    let sent = |lease: Option<f64>| {
        let mut world = World::new(1.0, Some(0));
        if let Some(most) = lease {
            world.lease(COLD, most, 60_000, most);
        }
        world.play(6_000, 2, false).1
    };
    let free = sent(None);
    assert_eq!(sent(Some(1e9)), free, "planners that lie raise nothing");
    let bound = sent(Some(0.05));
    // Six seconds at 0.2 to 0.44 of 0.05 s a second, at 4 ms each, and what half a window saves up.
    assert!(bound * 2 < free && bound <= 40, "{bound} beside {free}");
}
