//! The parameters of a fleet simulation: size of the fleet, load, servers, faults and control plane.

use std::ops::{Range, RangeInclusive};

use granitelb_balancer::time::Span;

use crate::faults::Fault;
use crate::policy::Policy;

/// The parameters of one simulated day of one fleet. Times in seconds count from the start of the day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The policy that selects endpoints at each node.
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
    /// The number of requests that may wait at a cache, besides the request in service. Drawn for each cache
    /// from this range.
    pub queue_slots: RangeInclusive<usize>,
    /// Mean work of a read that hits a cache.
    pub mean_work: Span,
    /// Coefficient of variation of the work of a read.
    pub work_variation: f64,
    /// Standard deviation of the logarithm of a key's work. Requests carry the work of their key.
    pub key_work_spread: f64,
    /// Exponent of the popularity distribution: a key's popularity is (rank + offset) to the power of minus
    /// this.
    pub zipf_exponent: f64,
    /// Offset of the rank in the popularity distribution.
    pub zipf_offset: f64,
    /// Hit ratio of one cache as large as all caches together.
    pub pooled_hit_ratio: f64,
    /// How long the pooled cache (one cache as large as all caches together) retains a key after a read, in
    /// seconds.
    pub retention_s: f64,
    /// Capacity of the origin as a multiple of the usual cache misses and writes.
    pub origin_headroom: f64,
    /// Mean service time of a read at the origin.
    pub origin_service_time: Span,
    /// Share of the requests that are writes.
    pub write_ratio: f64,
    /// Work of a cache for a new connection.
    pub handshake_work: Span,
    /// Network round trips of a new connection.
    pub handshake_round_trips: f64,
    /// The time after which a server closes an idle connection.
    pub idle_timeout: Span,
    /// The time after which an attempt without a connection fails.
    pub connect_timeout: Span,
    /// Mean one-way latency within a zone.
    pub intra_zone_latency: Span,
    /// Mean one-way latency between zones.
    pub inter_zone_latency: Span,
    /// The range from which the delay of a report by service discovery is drawn, in seconds.
    pub discovery_delay_s: Range<f64>,
    /// Probability that a client retries once after a rate limit or an error.
    pub retry_probability: f64,
    /// Probability that a retrying client respects Retry-After. Other clients retry after a fixed short
    /// delay.
    pub retry_after_compliance: f64,
    /// Length of the warm-up before the day, in seconds. Caches fill during the warm-up, while the origin
    /// accepts all requests.
    pub warm_up_s: f64,
    /// Length of the day in seconds.
    pub duration_s: f64,
    /// Faults of the day.
    pub faults: Vec<Fault>,
    /// Number of planners. With 0 planners, each node learns only from its own attempts.
    pub planners: usize,
    /// The components that nodes and planners run.
    pub control_plane: ControlPlaneScope,
    /// Leased fetches of the origin as a multiple of its capacity.
    pub leased_capacity_factor: f64,
    /// Thousandths of the leased fetches that are guaranteed to the nodes permanently.
    pub guaranteed_per_mille: u32,
    /// Thousandths of the leased fetches that are granted as long-term allocations.
    pub long_term_per_mille: u32,
    /// Share of control plane messages that are lost.
    pub message_loss: f64,
    /// The interval in which all planners are down, if any. The planners return without state.
    pub planner_outage: Option<Outage>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// An interval in which all planners are down, in seconds from the start of the day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Start in seconds.
    pub from_s: f64,
    /// End in seconds.
    pub to_s: f64,
}

/// The components of the control plane that nodes and planners run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlPlaneScope {
    /// Shared endpoint health and the assignment of probes.
    pub endpoint_health: bool,
    /// Leases of the origin's fetches and of the capacity of caches that warm up.
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
/// The time after which a client stops waiting for the response to a read.
pub const READ_TIMEOUT: Span = Span::from_millis(1200);
/// The time after which a client stops waiting for the response to a write.
pub const WRITE_TIMEOUT: Span = Span::from_millis(1500);
/// The largest number of attempts that a node may send for one request.
pub const MAX_ATTEMPTS: u8 = 4;

impl Scenario {
    /// Returns the request rate of the whole fleet, per second, that gives the caches the scenario's load.
    pub fn request_rate(&self) -> f64 {
        self.load * self.caches as f64 / self.mean_work.as_secs_f64() / (1.0 - self.write_ratio)
    }
}
