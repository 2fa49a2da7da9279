//! The input of a run: size of the fleet, load, servers, faults and control plane.

use std::ops::{Range, RangeInclusive};

use granitelb_balancer::time::Span;

use crate::faults::Fault;
use crate::policy::Policy;

/// One fleet and one day of it. Times in seconds count from the start of the day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What selects an endpoint at each node.
    pub policy: Policy,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of caches at the start.
    pub caches: usize,
    /// Number of zones over which nodes and caches are spread evenly.
    pub zones: usize,
    /// Offered work as a share of the caches' capacity.
    pub load: f64,
    /// Standard deviation of the logarithm of a node's share of the requests.
    pub node_spread: f64,
    /// Queue slots of a cache, beside the one at work; drawn for each cache from this range.
    pub queue_slots: RangeInclusive<usize>,
    /// Mean work of a read that a cache can answer.
    pub mean_work: Span,
    /// Coefficient of variation of the work of a read.
    pub work_variation: f64,
    /// Standard deviation of the logarithm of a key's work. Requests carry the work of their key.
    pub key_work_spread: f64,
    /// Exponent of the popularity law: popularity is (rank + offset) to the power of minus this.
    pub zipf_exponent: f64,
    /// Offset of the rank in the popularity law.
    pub zipf_offset: f64,
    /// Hit ratio of one cache as large as all caches together.
    pub pooled_hit_ratio: f64,
    /// How long that pooled cache retains a key after a request, in seconds.
    pub retention_s: f64,
    /// Capacity of the origin as a multiple of the usual misses and writes.
    pub origin_headroom: f64,
    /// Service time of the origin.
    pub origin_service_time: Span,
    /// Share of the requests that are writes.
    pub write_ratio: f64,
    /// Work that a new connection costs a cache.
    pub handshake_work: Span,
    /// Network round trips of a new connection.
    pub handshake_round_trips: f64,
    /// After this time a server closes an idle connection.
    pub idle_timeout: Span,
    /// After this time an attempt without a connection fails.
    pub connect_timeout: Span,
    /// Mean one-way latency within a zone.
    pub intra_zone_latency: Span,
    /// Mean one-way latency between zones.
    pub inter_zone_latency: Span,
    /// Service discovery reports a change after a delay drawn from this range, in seconds.
    pub discovery_delay_s: Range<f64>,
    /// Probability that a client retries once after a rate limit or an error.
    pub retry_probability: f64,
    /// Probability that a retrying client respects Retry-After. Others retry after a fixed short delay.
    pub retry_after_compliance: f64,
    /// Seconds before the day in which caches are filled while the origin accepts everything.
    pub warm_up_s: f64,
    /// Length of the day in seconds.
    pub duration_s: f64,
    /// Faults of the day.
    pub faults: Vec<Fault>,
    /// Number of planners. Without planners each node learns alone.
    pub planners: usize,
    /// What nodes and planners coordinate.
    pub control_plane: ControlPlaneScope,
    /// Leased fetches of the origin as a multiple of its capacity.
    pub leased_capacity_factor: f64,
    /// Thousandths of the leased fetches that are guaranteed to the nodes permanently.
    pub guaranteed_per_mille: u32,
    /// Thousandths of the leased fetches that are granted as long-term allocations.
    pub long_term_per_mille: u32,
    /// Share of control-plane messages that are lost.
    pub message_loss: f64,
    /// When all planners are down, if ever. They return without state.
    pub planner_outage: Option<Outage>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// An interval in seconds from the start of the day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Start in seconds.
    pub from_s: f64,
    /// End in seconds.
    pub to_s: f64,
}

/// What nodes and planners coordinate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlPlaneScope {
    /// Shared endpoint health and the assignment of probes.
    pub endpoint_health: bool,
    /// Leases of the origin's fetches and of warming caches' capacity.
    pub leases: bool,
}

impl ControlPlaneScope {
    /// Endpoint health and leases.
    pub const ALL: ControlPlaneScope = ControlPlaneScope { endpoint_health: true, leases: true };
    /// Endpoint health only.
    pub const ENDPOINT_HEALTH: ControlPlaneScope = ControlPlaneScope { endpoint_health: true, leases: false };
    /// Leases only.
    pub const LEASES: ControlPlaneScope = ControlPlaneScope { endpoint_health: false, leases: true };
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            policy: Policy::Balancer,
            nodes: 300,
            caches: 200,
            zones: 3,
            load: 0.55,
            node_spread: 0.7,
            queue_slots: 1..=2,
            mean_work: Span::from_millis(28),
            work_variation: 0.4,
            key_work_spread: 0.8,
            zipf_exponent: 1.05,
            zipf_offset: 3.0,
            pooled_hit_ratio: 0.9,
            retention_s: 8.0,
            origin_headroom: 2.5,
            origin_service_time: Span::from_millis(90),
            write_ratio: 0.08,
            handshake_work: Span::from_millis(2),
            handshake_round_trips: 2.0,
            idle_timeout: Span::from_millis(10_000),
            connect_timeout: Span::from_millis(250),
            intra_zone_latency: Span(200),
            inter_zone_latency: Span(8_000),
            discovery_delay_s: 1.4..4.4,
            retry_probability: 0.5,
            retry_after_compliance: 0.6,
            warm_up_s: 6.0,
            duration_s: 20.0,
            faults: Vec::new(),
            planners: 0,
            control_plane: ControlPlaneScope::ALL,
            leased_capacity_factor: 1.0,
            guaranteed_per_mille: 500,
            long_term_per_mille: 0,
            message_loss: 0.05,
            planner_outage: None,
            seed: 1,
        }
    }
}

/// The SLO of both request classes, counted from the first submission.
pub const SLO: Span = Span::from_millis(600);
/// A client gives up a read after this time.
pub const READ_TIMEOUT: Span = Span::from_millis(1200);
/// A client gives up a write after this time.
pub const WRITE_TIMEOUT: Span = Span::from_millis(1500);
/// Attempts that a node may make for one request.
pub const MAX_ATTEMPTS: u8 = 4;

impl Scenario {
    /// Requests per second over the whole fleet that offer the stated load to the caches.
    pub fn request_rate(&self) -> f64 {
        self.load * self.caches as f64 / self.mean_work.as_secs_f64() / (1.0 - self.write_ratio)
    }
}
