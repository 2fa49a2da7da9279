//! Splits of the slot table at the balancer: where a key's reads go at each phase of a migration, and that a shard map
//! costs cache misses and nothing else.

mod support;

use std::collections::BTreeMap;

use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use granitelb_balancer::settings::{Effect, Settings};
use granitelb_balancer::slot_table::shard_of;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{
    AttemptOutcome, AttemptResult, Balancer, ControlPlaneUpdate, MigrationPhase, Request, ShardMap,
    ShardSplit,
};
use support::{CACHE_KIND, ORIGIN_KIND, listed, request_class, settings};

const ORIGIN: EndpointId = EndpointId(99);
const CACHES: u64 = 20;
const IDEMPOTENT: RequestClassId = RequestClassId(0);
const NON_IDEMPOTENT: RequestClassId = RequestClassId(1);

struct Node {
    balancer: Balancer,
    now: Time,
    requests: u64,
}

impl Node {
    fn new(max_attempts: u8) -> Node {
        let slo = Span::from_millis(400);
        let classes = vec![request_class(slo, Effect::Idempotent), request_class(slo, Effect::NonIdempotent)];
        let settings = Settings { nodes: 3.0, max_attempts, ..settings(classes) };
        let now = Time(1_000_000_000);
        let mut balancer = Balancer::new(settings, 7, now);
        let mut list: Vec<_> = (0..CACHES).map(|id| listed(EndpointId(id), CACHE_KIND)).collect();
        list.push(listed(ORIGIN, ORIGIN_KIND));
        balancer.on_endpoints_update(now, &list, true);
        Node { balancer, now, requests: 0 }
    }

    fn split_shard_of(&mut self, version: u64, key: u64, bits: u8, migration: MigrationPhase) {
        let shards = BTreeMap::from([(shard_of(Key(key)), ShardSplit { bits, migration })]);
        let shard_map = Some(ShardMap { version, shards });
        self.balancer.on_control_plane_update(
            self.now,
            &ControlPlaneUpdate { shard_map, ..ControlPlaneUpdate::default() },
        );
    }

    /// Where a request's attempts go, one after the other, if each ends with its endpoint's `outcome_at`.
    fn request(
        &mut self,
        request_class: RequestClassId,
        key: u64,
        write: bool,
        outcome_at: impl Fn(EndpointId) -> AttemptOutcome,
    ) -> Vec<EndpointId> {
        self.requests += 1;
        self.now = self.now + Span::from_millis(50);
        let (id, client_timeout) = (RequestId(self.requests), Span::from_millis(1000));
        self.balancer.on_request(
            self.now,
            id,
            Request { request_class, key: Key(key), client_timeout, work: None, write },
        );
        let mut sent = Vec::new();
        while let Some(attempt) = self.balancer.poll_attempt(self.now) {
            self.now = self.now + Span::from_millis(5);
            let number = AttemptNumber(sent.len() as u8);
            sent.push(attempt.endpoint);
            let outcome = outcome_at(attempt.endpoint);
            let answered = outcome == AttemptOutcome::Fulfilled;
            let result = AttemptResult {
                number,
                endpoint: attempt.endpoint,
                outcome,
                latency: Span::from_millis(5),
                answered,
            };
            self.balancer.on_attempt_finished(self.now, id, &result);
        }
        while self.balancer.poll_response(self.now).is_some() {}
        sent
    }

    fn misses(&mut self, key: u64) -> Vec<EndpointId> {
        self.request(IDEMPOTENT, key, false, |c| {
            if c == ORIGIN { AttemptOutcome::Fulfilled } else { AttemptOutcome::CacheMiss }
        })
    }
}

/// A key that migrates when its shard is split, and where it is read before and after.
fn migrating_key() -> (u64, EndpointId, EndpointId) {
    let found = (0..1000).find_map(|key| {
        let old = Node::new(4).misses(key)[0];
        let mut split = Node::new(4);
        split.split_shard_of(1, key, 0, MigrationPhase::Switched);
        let new = split.misses(key)[0];
        (old != new).then_some((key, old, new))
    });
    found.expect("half of the keys migrate")
}

#[test]
fn each_phase_reads_at_its_endpoints_and_a_miss_ends_at_the_origin() {
    let (key, old, new) = migrating_key();
    let at = |bits, moving| {
        let mut node = Node::new(4);
        node.split_shard_of(1, key, bits, moving);
        node.misses(key)
    };
    assert_eq!(at(0, MigrationPhase::Stable), [old, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::Copying { sixteenths: 16 }), [new, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::DualRead), [new, old, ORIGIN]);
    assert_eq!(at(0, MigrationPhase::Switched), [new, ORIGIN]);
    assert_eq!(at(1, MigrationPhase::Stable), [new, ORIGIN]);
    // A withdrawn split reads at the old endpoint again; an older map that comes late changes nothing.
    let mut node = Node::new(4);
    node.split_shard_of(2, key, 0, MigrationPhase::DualRead);
    node.split_shard_of(3, key, 0, MigrationPhase::Stable);
    assert_eq!(node.misses(key), [old, ORIGIN]);
    node.split_shard_of(2, key, 0, MigrationPhase::Switched);
    assert_eq!(node.misses(key), [old, ORIGIN]);
    // With two attempts in all, the second one goes to the origin.
    let mut short = Node::new(2);
    short.split_shard_of(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(short.misses(key), [new, ORIGIN]);
}

#[test]
fn split_migrates_about_half_of_a_shard_and_copying_migrates_it_in_parts() {
    let shard = shard_of(Key(0));
    let keys: Vec<u64> = (0..40_000).filter(|k| shard_of(Key(*k)) == shard).collect();
    let firsts = |moving| {
        let mut node = Node::new(4);
        node.split_shard_of(1, 0, 0, moving);
        keys.iter().map(|k| node.misses(*k)[0]).collect::<Vec<_>>()
    };
    let unsplit = firsts(MigrationPhase::Stable);
    let migrated = |moving| {
        firsts(moving).iter().zip(&unsplit).filter(|(a, b)| a != b).count() as f64 / keys.len() as f64
    };
    let (quarter, all) =
        (migrated(MigrationPhase::Copying { sixteenths: 4 }), migrated(MigrationPhase::Switched));
    assert!((0.35..0.6).contains(&all), "{all}");
    assert!((0.05..0.22).contains(&quarter), "{quarter}");
}

#[test]
fn split_repeats_no_effect_and_writes_go_to_the_origin_alone() {
    let (key, _, new) = migrating_key();
    let mut node = Node::new(4);
    node.split_shard_of(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(node.request(NON_IDEMPOTENT, key, true, |_| AttemptOutcome::Reset), [ORIGIN]);
    assert_eq!(node.request(NON_IDEMPOTENT, key, false, |_| AttemptOutcome::Errored), [new]);
    // What was certainly not executed may go on to the old endpoint.
    assert_eq!(
        node.request(NON_IDEMPOTENT, key, false, |c| if c == new {
            AttemptOutcome::CacheMiss
        } else {
            AttemptOutcome::Errored
        })
        .len(),
        2
    );
}

#[test]
fn shard_map_without_splits_or_with_invalid_splits_changes_nothing() {
    let endpoints_under = |shard_map: Option<ShardMap>| {
        let mut node = Node::new(4);
        let update = ControlPlaneUpdate { shard_map, ..ControlPlaneUpdate::default() };
        (0..400)
            .map(|n| {
                node.balancer.on_control_plane_update(node.now, &update);
                let outcome_at = move |c: EndpointId| {
                    if c.0 % 3 == n % 3 { AttemptOutcome::CacheMiss } else { AttemptOutcome::Fulfilled }
                };
                node.request(IDEMPOTENT, n % 60, n % 7 == 0, outcome_at)
            })
            .collect::<Vec<_>>()
    };
    let for_all_shards =
        |split| Some(ShardMap { version: 9, shards: (0..=255).map(|s| (s, split)).collect() });
    assert_eq!(endpoints_under(None), endpoints_under(Some(ShardMap { version: 9, ..ShardMap::default() })));
    assert_eq!(
        endpoints_under(None),
        endpoints_under(for_all_shards(ShardSplit { bits: 255, migration: MigrationPhase::Switched }))
    );
    assert_eq!(endpoints_under(None), endpoints_under(for_all_shards(ShardSplit::default())));
    assert_ne!(
        endpoints_under(None),
        endpoints_under(for_all_shards(ShardSplit { bits: 0, migration: MigrationPhase::Switched }))
    );
}
