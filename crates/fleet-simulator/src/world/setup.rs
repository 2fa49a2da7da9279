//! Construction of a scenario's fleet.

use std::collections::{BinaryHeap, HashMap};

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use super::events::EventKind;
use super::{COLD_START_CAPACITY, Node, START, WARM_UP_TIME, WRITE_WEIGHT, World};
use crate::network::Network;
use crate::policy::NodePolicy;
use crate::popularity::Popularity;
use crate::results::RunResult;
use crate::scenario::{MAX_ATTEMPTS, SLO, Scenario};
use crate::server::{Server, ServerSpec};

/// The endpoint kind of the origin. Caches have kind 0.
pub const ORIGIN_KIND: KindId = KindId(1);
/// The number of the origin's slots during the warm-up, so that the origin accepts all requests while caches
/// fill.
pub const WARM_UP_ORIGIN_SLOTS: usize = 1_000_000;
/// The number of jobs that may wait at the origin for each slot.
const ORIGIN_QUEUE_PER_SLOT: usize = 4;
/// The time within which the origin deduplicates a repeated write.
const DEDUPLICATION_WINDOW: Span = Span::from_millis(3000);
/// The longest time between two polls of service discovery by a node.
const MAX_POLL_INTERVAL: Span = Span::from_millis(10_000);
/// The longest Retry-After in a node's response.
const MAX_RETRY_AFTER: Span = Span::from_millis(1500);
/// The lowest relative speed of a cache.
const MIN_CACHE_SPEED: f64 = 0.9;
/// The width of the interval from which a cache's relative speed is drawn.
const CACHE_SPEED_RANGE: f64 = 0.2;
/// The position of a node's number within the seed of the node's policy, so that the seeds differ.
const NODE_SEED_SHIFT: u32 = 20;

/// Returns the balancer settings of every node.
pub fn balancer_settings(scenario: &Scenario) -> Settings {
    let request_class = |billed_value, effect| RequestClass {
        slo: SLO,
        billed_value,
        value_after_slo: 0.0,
        is_offered: true,
        effect,
    };
    let deduplicated = Effect::Deduplicated { scope: DedupScope::All, window: DEDUPLICATION_WINDOW };
    Settings {
        origin: Some(ORIGIN_KIND),
        request_classes: vec![request_class(1.0, Effect::Idempotent), request_class(2.0, deduplicated)],
        nodes: scenario.nodes as f64,
        list_on_request: false,
        max_poll_interval: MAX_POLL_INTERVAL,
        only_draining_excludes: false,
        initial_capacity_share: COLD_START_CAPACITY,
        warmup_duration: WARM_UP_TIME,
        overload_multiple: 3.0,
        overload_window: Span::from_millis(2000),
        max_attempts: MAX_ATTEMPTS,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: MAX_RETRY_AFTER,
        is_value_per_work: true,
        sizes_are_capacities: false,
    }
}

/// Returns the number of slots that the origin needs for the usual cache misses and writes, times the
/// scenario's headroom.
fn origin_slots(scenario: &Scenario) -> usize {
    let miss_ratio = (1.0 - scenario.write_ratio) * (1.0 - scenario.pooled_hit_ratio);
    let usual_rate = scenario.request_rate() * (miss_ratio + scenario.write_ratio * WRITE_WEIGHT);
    (usual_rate * scenario.origin_headroom * scenario.origin_service_time.as_secs_f64()).ceil() as usize
}

/// Returns the caches, with randomly drawn queues and speeds.
fn draw_caches(scenario: &Scenario, popularity: &Popularity, rng: &mut ChaCha8Rng) -> Vec<Server> {
    let retained_keys = popularity.pooled_cache(scenario).keys;
    let key_capacity = (retained_keys / scenario.caches as f64).ceil() as usize;
    let mut caches = Vec::with_capacity(scenario.caches + 1);
    for n in 0..scenario.caches {
        let queue_capacity = rng.random_range(scenario.queue_slots.clone());
        let speed = MIN_CACHE_SPEED + CACHE_SPEED_RANGE * rng.random::<f64>();
        let zone = n % scenario.zones;
        caches.push(Server::new(ServerSpec { zone, slots: 1, queue_capacity, speed, key_capacity }));
    }
    caches
}

fn origin_server(scenario: &Scenario, slots: usize) -> Server {
    Server::new(ServerSpec {
        zone: usize::from(scenario.zones > 1),
        slots: WARM_UP_ORIGIN_SLOTS,
        queue_capacity: slots * ORIGIN_QUEUE_PER_SLOT,
        speed: 1.0,
        key_capacity: 0,
    })
}

impl World<'_> {
    pub(super) fn new(scenario: &Scenario) -> World<'_> {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let popularity = Popularity::new(scenario);
        let mut servers = draw_caches(scenario, &popularity, &mut rng);
        let origin = servers.len();
        let origin_slots = origin_slots(scenario);
        servers.push(origin_server(scenario, origin_slots));
        let spread =
            LogNormal::new(0.0, scenario.node_spread).expect("the scenario's node_spread must be finite");
        let node_weights: Vec<f64> = (0..scenario.nodes).map(|_| spread.sample(&mut rng)).collect();
        let day_start = START + Span::from_secs_f64(scenario.warm_up_s);
        let mut world = World {
            scenario,
            network: Network { scenario, day_start },
            now: START,
            rng,
            nodes: Vec::new(),
            servers,
            endpoints: Vec::new(),
            origin,
            origin_slots,
            popularity,
            events: BinaryHeap::new(),
            last_event_sequence: 0,
            last_request: 0,
            control_plane: None,
            result: RunResult::with_duration(scenario.duration_s),
        };
        world.endpoints = (0..=origin).map(|server| world.endpoint_of(server)).collect();
        world.start_nodes(&node_weights);
        world.schedule_faults();
        world.start_control_plane();
        world
    }

    fn start_nodes(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        for (n, weight) in weights.iter().enumerate() {
            let seed = self.scenario.seed ^ ((n as u64) << NODE_SEED_SHIFT);
            let mut policy =
                NodePolicy::new(self.scenario.policy, balancer_settings(self.scenario), seed, START);
            policy.on_endpoints_update(START, &self.endpoints, true);
            self.nodes.push(Node {
                policy,
                zone: n % self.scenario.zones,
                request_rate: self.scenario.request_rate() * weight / total,
                incarnation: 0,
                requests: HashMap::new(),
                attempts: HashMap::new(),
                idle_connections: HashMap::new(),
                scheduled_wake: None,
            });
            let first_arrival = self.draw_interarrival_time(n);
            self.schedule(first_arrival, EventKind::RequestArrives { node: n });
        }
    }

    /// Returns a server's entry in the endpoint list, as service discovery reports it.
    pub(super) fn endpoint_of(&self, index: usize) -> EndpointUpdate {
        let server = &self.servers[index];
        EndpointUpdate {
            id: EndpointId(index as u64),
            kind: if index == self.origin { ORIGIN_KIND } else { KindId(0) },
            size: 1.0,
            zone: ZoneId(server.zone as u32),
            cell: CellId(0),
            ready: !server.is_removed,
            draining: false,
            started: server.started,
        }
    }
}
