//! Leases of the origin's fetches and of cold caches' work at the module's door: they bind, end by themselves, and never
//! raise what a node sends by itself.

use std::collections::VecDeque;

use granitelb_balancer::balancer::Brain;
use granitelb_balancer::calls::{Advice, Answer, ApiCall, Lease, Listing, Outcome, ShotEnd};
use granitelb_balancer::ids::{ApiCallId, CacheId, CellId, Key, KindId, ProductId, ShotNumber, ZoneId};
use granitelb_balancer::settings::{Effect, Product, Settings};
use granitelb_balancer::time::{Span, Time};

const ORIGIN: CacheId = CacheId(9);
const COLD: CacheId = CacheId(3);
const START: Time = Time(1_000_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// One node before two warm caches that lack every key, an origin that has all, and a cold cache if asked for.
struct World {
    brain: Brain,
    now: u64,
    calls: u64,
    /// Shots out at the origin: when each ends, its call and its number.
    out: VecDeque<(u64, ApiCallId, u8)>,
    /// Shots of each call are counted here, by call.
    shots: std::collections::BTreeMap<ApiCallId, u8>,
    limited: usize,
}

impl World {
    fn new(nodes: f64, cold_at: Option<u64>) -> World {
        let product = |effect| Product {
            slo: Span::from_millis(200),
            billed_value: 1.0,
            late_value: 0.0,
            offered: true,
            effect,
        };
        let settings = Settings {
            origin: Some(KindId(1)),
            products: vec![product(Effect::Idempotent), product(Effect::NonIdempotent)],
            nodes,
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
            max_come_back: Span::from_millis(1500),
            value_by_work: false,
            steady_sizes: false,
        };
        let listing = |cache: CacheId, started: Option<Time>| Listing {
            cache,
            kind: KindId(u16::from(cache == ORIGIN)),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started,
        };
        let mut list: Vec<_> = [CacheId(1), CacheId(2), ORIGIN].map(|c| listing(c, None)).into();
        list.extend(cold_at.map(|ms| listing(COLD, Some(at(ms)))));
        let mut brain = Brain::new(settings, 7, START);
        brain.caches_listed(START, &list, true);
        World { brain, now: 0, calls: 0, out: VecDeque::new(), shots: Default::default(), limited: 0 }
    }

    fn lease(&mut self, cache: CacheId, most: f64, for_ms: u64, then: f64) {
        let leases = vec![(cache, Lease { most, until: at(self.now + for_ms), then })];
        self.brain.plan_heard(at(self.now), &Advice { leases, ..Advice::default() });
    }

    /// A call every `every` ms until then; how many shots went to the origin and to the cold cache.
    fn play(&mut self, until: u64, every: u64, write: bool) -> (usize, usize) {
        let mut sent = (0, 0);
        while self.now < until {
            self.now += 1;
            while self.out.front().is_some_and(|o| o.0 <= self.now) {
                let (_, id, number) = self.out.pop_front().expect("looked at");
                self.end(id, number, ORIGIN, Outcome::Fulfilled, 10);
            }
            if self.now.is_multiple_of(every) {
                self.calls += 1;
                let (product, key) = (ProductId(u16::from(write)), Key(self.calls));
                let budget = Span::from_millis(500);
                let call = ApiCall { product, key, budget, work: Some(Span::from_millis(4)), write };
                self.brain.api_call(at(self.now), ApiCallId(self.calls), call);
            }
            while let Some(shot) = self.brain.next_shot(at(self.now)) {
                let count = self.shots.entry(shot.api_call).or_default();
                let number = std::mem::replace(count, *count + 1);
                if shot.cache == ORIGIN {
                    sent.0 += 1;
                    self.out.push_back((self.now + 10, shot.api_call, number));
                } else {
                    sent.1 += usize::from(shot.cache == COLD);
                    self.end(shot.api_call, number, shot.cache, Outcome::Lacking, 0);
                }
            }
            while let Some((_, answer)) = self.brain.next_answer(at(self.now)) {
                self.limited += usize::from(matches!(answer, Answer::RateLimited { .. }));
            }
        }
        sent
    }

    fn end(&mut self, id: ApiCallId, number: u8, cache: CacheId, outcome: Outcome, ms: u64) {
        let (latency, answered) = (Span::from_millis(ms), outcome == Outcome::Fulfilled);
        let end = ShotEnd { number: ShotNumber(number), cache, outcome, latency, answered };
        self.brain.shot_ended(at(self.now), id, &end);
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
