//! Splits of the slot table at the module: where a key's reads go at each step, and that a form costs misses alone.

use std::collections::BTreeMap;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{
    AttemptOutcome, AttemptResult, ControlPlaneUpdate, EndpointUpdate, MigrationPhase, Request, ShardMap,
    ShardSplit,
};
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::slot_table::shard_of;
use granitelb_balancer::time::{Span, Time};

const ORIGIN: EndpointId = EndpointId(99);
const READS: RequestClassId = RequestClassId(0);
const ONCE: RequestClassId = RequestClassId(1);

struct Node {
    balancer: Balancer,
    now: Time,
    calls: u64,
}

impl Node {
    fn new(max_attempts: u32) -> Node {
        let request_class = |effect| RequestClass {
            slo: Span::from_millis(400),
            billed_value: 1.0,
            value_after_slo: 0.0,
            offered: true,
            effect,
        };
        let settings = Settings {
            origin: Some(KindId(1)),
            request_classes: vec![request_class(Effect::Idempotent), request_class(Effect::NonIdempotent)],
            nodes: 3.0,
            list_on_request: false,
            max_poll_interval: Span::from_millis(10_000),
            only_draining_binds: false,
            cold_from: 0.2,
            warm_after: Span::from_millis(20_000),
            fall_multiple: 3.0,
            fall_window: Span::from_millis(2000),
            max_attempts: max_attempts as _,
            hedged_requests: false,
            may_cancel: true,
            max_retry_after: Span::from_millis(1500),
            value_by_work: false,
            steady_sizes: false,
        };
        let now = Time(1_000_000_000);
        let listing = |id: u64| EndpointUpdate {
            cache: EndpointId(id),
            kind: KindId(u16::from(EndpointId(id) == ORIGIN)),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started: None,
        };
        let mut balancer = Balancer::new(settings, 7, now);
        let listings: Vec<EndpointUpdate> = (0..20).chain([ORIGIN.0]).map(listing).collect();
        balancer.on_endpoints_update(now, &listings, true);
        Node { balancer, now, calls: 0 }
    }

    fn take(&mut self, version: u64, key: u64, bits: u8, moving: MigrationPhase) {
        let shards = BTreeMap::from([(shard_of(Key(key)), ShardSplit { bits, moving })]);
        let table = Some(ShardMap { version, shards });
        self.balancer.on_control_plane_update(
            self.now,
            &ControlPlaneUpdate { table, ..ControlPlaneUpdate::default() },
        );
    }

    /// Where a call's shots go, one after the other, if each ends as `ends` says.
    fn call(
        &mut self,
        request_class: RequestClassId,
        key: u64,
        write: bool,
        ends: impl Fn(EndpointId) -> AttemptOutcome,
    ) -> Vec<EndpointId> {
        self.calls += 1;
        self.now = self.now + Span::from_millis(50);
        let (id, budget) = (RequestId(self.calls), Span::from_millis(1000));
        self.balancer.on_request(
            self.now,
            id,
            Request { request_class, key: Key(key), budget, work: None, write },
        );
        let mut sent = Vec::new();
        while let Some(shot) = self.balancer.poll_attempt(self.now) {
            self.now = self.now + Span::from_millis(5);
            let number = AttemptNumber(sent.len() as u8);
            sent.push(shot.cache);
            let outcome = ends(shot.cache);
            let answered = outcome == AttemptOutcome::Fulfilled;
            let end =
                AttemptResult { number, cache: shot.cache, outcome, latency: Span::from_millis(5), answered };
            self.balancer.on_attempt_finished(self.now, id, &end);
        }
        while self.balancer.poll_response(self.now).is_some() {}
        sent
    }

    fn misses(&mut self, key: u64) -> Vec<EndpointId> {
        self.call(READS, key, false, |c| {
            if c == ORIGIN { AttemptOutcome::Fulfilled } else { AttemptOutcome::CacheMiss }
        })
    }
}

/// Where a key is read, whole and in halves, for one that moves.
fn moving_key() -> (u64, EndpointId, EndpointId) {
    let found = (0..1000).find_map(|key| {
        let old = Node::new(4).misses(key)[0];
        let mut split = Node::new(4);
        split.take(1, key, 0, MigrationPhase::Switched);
        let new = split.misses(key)[0];
        (old != new).then_some((key, old, new))
    });
    found.expect("half of them move")
}

#[test]
fn each_step_reads_where_it_says_and_a_miss_ends_at_the_origin() {
    let (key, old, new) = moving_key();
    let at = |bits, moving| {
        let mut node = Node::new(4);
        node.take(1, key, bits, moving);
        node.misses(key)
    };
    assert_eq!(at(0, MigrationPhase::Stable), [old, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::Copying { sixteenths: 16 }), [new, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::DualRead), [new, old, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::Switched), [new, ORIGIN]);
    assert_eq!(at(1, MigrationPhase::Stable), [new, ORIGIN]);
    // Withdrawn it goes back to the old place; an older form that comes late changes nothing.
    let mut node = Node::new(4);
    node.take(2, key, 0, MigrationPhase::DualRead);
    node.take(3, key, 0, MigrationPhase::Stable);
    assert_eq!(node.misses(key), [old, ORIGIN]);
    node.take(2, key, 0, MigrationPhase::Switched);
    assert_eq!(node.misses(key), [old, ORIGIN]);
    // With two shots in all, the second one is the origin's.
    let mut short = Node::new(2);
    short.take(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(short.misses(key), [new, ORIGIN]);
}

#[test]
fn about_half_of_a_shard_moves_and_copying_moves_it_part_by_part() {
    let shard = shard_of(Key(0));
    let keys: Vec<u64> = (0..40_000).filter(|k| shard_of(Key(*k)) == shard).collect();
    let firsts = |moving| {
        let mut node = Node::new(4);
        node.take(1, 0, 0, moving);
        keys.iter().map(|k| node.misses(*k)[0]).collect::<Vec<_>>()
    };
    let whole = firsts(MigrationPhase::Stable);
    let moved =
        |moving| firsts(moving).iter().zip(&whole).filter(|(a, b)| a != b).count() as f64 / keys.len() as f64;
    let (quarter, all) = (moved(MigrationPhase::Copying { sixteenths: 4 }), moved(MigrationPhase::Switched));
    assert!((0.35..0.6).contains(&all), "{all}");
    assert!((0.05..0.22).contains(&quarter), "{quarter}");
}

#[test]
fn a_split_sends_no_effect_twice_and_writes_to_the_origin_alone() {
    let (key, _, new) = moving_key();
    let mut node = Node::new(4);
    node.take(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(node.call(ONCE, key, true, |_| AttemptOutcome::Reset), [ORIGIN]);
    assert_eq!(node.call(ONCE, key, false, |_| AttemptOutcome::Errored), [new]);
    // What surely never ran may go on to the old place.
    assert_eq!(
        node.call(ONCE, key, false, |c| if c == new {
            AttemptOutcome::CacheMiss
        } else {
            AttemptOutcome::Errored
        })
        .len(),
        2
    );
}

#[test]
fn a_form_without_splits_or_out_of_all_reason_changes_nothing() {
    let play = |form: Option<ShardMap>| {
        let mut node = Node::new(4);
        let advice = ControlPlaneUpdate { table: form, ..ControlPlaneUpdate::default() };
        (0..400)
            .map(|n| {
                node.balancer.on_control_plane_update(node.now, &advice);
                let ends = move |c: EndpointId| {
                    if c.0 % 3 == n % 3 { AttemptOutcome::CacheMiss } else { AttemptOutcome::Fulfilled }
                };
                node.call(READS, n % 60, n % 7 == 0, ends)
            })
            .collect::<Vec<_>>()
    };
    let of = |split| Some(ShardMap { version: 9, shards: (0..=255).map(|s| (s, split)).collect() });
    assert_eq!(play(None), play(Some(ShardMap { version: 9, ..ShardMap::default() })));
    assert_eq!(play(None), play(of(ShardSplit { bits: 255, moving: MigrationPhase::Switched })));
    assert_eq!(play(None), play(of(ShardSplit::default())));
    assert_ne!(play(None), play(of(ShardSplit { bits: 0, moving: MigrationPhase::Switched })));
}
