//! Shard maps at the balancer: the endpoints that a key is read from in each phase of a migration, and that a
//! shard map causes cache misses but no repeated effects.

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

/// A node with 20 caches and an origin.
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

    /// Sends a request and returns the endpoints of its attempts in order. Each attempt ends after 5 ms with
    /// the outcome that `outcome_at` returns for its endpoint.
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

    /// Reads a key that only the origin holds, and returns the endpoints of the read's attempts.
    fn read_with_misses(&mut self, key: u64) -> Vec<EndpointId> {
        self.request(IDEMPOTENT, key, false, |endpoint| {
            if endpoint == ORIGIN { AttemptOutcome::Fulfilled } else { AttemptOutcome::CacheMiss }
        })
    }
}

/// A key that migrates when its shard is split, and the endpoints that it is read from before and after.
fn migrating_key() -> (u64, EndpointId, EndpointId) {
    let found = (0..1000).find_map(|key| {
        let old = Node::new(4).read_with_misses(key)[0];
        let mut split = Node::new(4);
        split.split_shard_of(1, key, 0, MigrationPhase::Switched);
        let new = split.read_with_misses(key)[0];
        (old != new).then_some((key, old, new))
    });
    found.expect("half of the keys migrate")
}

#[test]
fn each_phase_reads_from_its_endpoints_and_misses_end_at_the_origin() {
    let (key, old, new) = migrating_key();
    let endpoints_in = |bits, migration| {
        let mut node = Node::new(4);
        node.split_shard_of(1, key, bits, migration);
        node.read_with_misses(key)
    };
    assert_eq!(endpoints_in(0, MigrationPhase::Stable), [old, ORIGIN]);
    assert_eq!(endpoints_in(0, MigrationPhase::Copying { sixteenths: 16 }), [new, ORIGIN]);
    assert_eq!(endpoints_in(0, MigrationPhase::DualRead), [new, old, ORIGIN]);
    assert_eq!(endpoints_in(0, MigrationPhase::Switched), [new, ORIGIN]);
    assert_eq!(endpoints_in(1, MigrationPhase::Stable), [new, ORIGIN]);
    // After a split is withdrawn, the key is read from the old endpoint again. An older map that arrives late
    // is ignored.
    let mut node = Node::new(4);
    node.split_shard_of(2, key, 0, MigrationPhase::DualRead);
    node.split_shard_of(3, key, 0, MigrationPhase::Stable);
    assert_eq!(node.read_with_misses(key), [old, ORIGIN]);
    node.split_shard_of(2, key, 0, MigrationPhase::Switched);
    assert_eq!(node.read_with_misses(key), [old, ORIGIN]);
    // If a request may have two attempts, the second attempt goes to the origin.
    let mut node = Node::new(2);
    node.split_shard_of(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(node.read_with_misses(key), [new, ORIGIN]);
}

#[test]
fn split_migrates_about_half_of_a_shard_and_copying_migrates_it_in_parts() {
    let shard = shard_of(Key(0));
    let keys: Vec<u64> = (0..40_000).filter(|key| shard_of(Key(*key)) == shard).collect();
    let first_endpoints = |migration| {
        let mut node = Node::new(4);
        node.split_shard_of(1, 0, 0, migration);
        keys.iter().map(|key| node.read_with_misses(*key)[0]).collect::<Vec<_>>()
    };
    let unsplit = first_endpoints(MigrationPhase::Stable);
    let migrated_share = |migration| {
        let first_endpoints = first_endpoints(migration);
        let migrated = first_endpoints.iter().zip(&unsplit).filter(|(now, before)| now != before);
        migrated.count() as f64 / keys.len() as f64
    };
    let quarter = migrated_share(MigrationPhase::Copying { sixteenths: 4 });
    let all = migrated_share(MigrationPhase::Switched);
    assert!((0.35..0.6).contains(&all), "{all}");
    assert!((0.05..0.22).contains(&quarter), "{quarter}");
}

#[test]
fn dual_reads_repeat_no_effect_and_writes_go_to_the_origin_alone() {
    let (key, _, new) = migrating_key();
    let mut node = Node::new(4);
    node.split_shard_of(1, key, 0, MigrationPhase::DualRead);
    assert_eq!(node.request(NON_IDEMPOTENT, key, true, |_| AttemptOutcome::Reset), [ORIGIN]);
    assert_eq!(node.request(NON_IDEMPOTENT, key, false, |_| AttemptOutcome::Errored), [new]);
    // A cache miss proves that the request was not executed, so that the old endpoint may be asked.
    let outcome_at =
        |endpoint| if endpoint == new { AttemptOutcome::CacheMiss } else { AttemptOutcome::Errored };
    assert_eq!(node.request(NON_IDEMPOTENT, key, false, outcome_at).len(), 2);
}

#[test]
fn shard_map_without_splits_or_with_invalid_splits_changes_nothing() {
    let endpoints_under = |shard_map: Option<ShardMap>| {
        let mut node = Node::new(4);
        let update = ControlPlaneUpdate { shard_map, ..ControlPlaneUpdate::default() };
        (0..400)
            .map(|n| {
                node.balancer.on_control_plane_update(node.now, &update);
                let outcome_at = move |endpoint: EndpointId| {
                    if endpoint.0 % 3 == n % 3 {
                        AttemptOutcome::CacheMiss
                    } else {
                        AttemptOutcome::Fulfilled
                    }
                };
                node.request(IDEMPOTENT, n % 60, n % 7 == 0, outcome_at)
            })
            .collect::<Vec<_>>()
    };
    let for_all_shards =
        |split| Some(ShardMap { version: 9, shards: (0..=255).map(|shard| (shard, split)).collect() });
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
