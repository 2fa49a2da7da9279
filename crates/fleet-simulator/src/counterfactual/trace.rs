//! The requests of a trace with their potential outcomes.

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::counterfactual::MAX_CANDIDATES;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::config::TraceConfig;
use super::generator::Generator;

/// The latency objective of all requests.
pub const SLO: Span = Span::from_millis(60);
/// When a trace begins: late enough for ages to reach back to something.
pub const TRACE_START: Time = Time(1_000_000_000);

/// How a request fares at one candidate.
#[derive(Clone, Copy, Debug)]
pub struct PotentialOutcome {
    /// Whether the cache rejects the request.
    pub is_rejected: bool,
    /// Whether the cache has the value.
    pub is_hit: bool,
    /// How long after it is sent the cache answers that it doesn't have the value.
    pub miss_after: Span,
    /// How long after it is sent the last byte has arrived.
    pub response_after: Span,
}

/// A request with its potential outcomes.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    /// When it is sent.
    pub at: Time,
    /// The node that serves it.
    pub node: usize,
    /// The hash by which it is sampled.
    pub request_hash: u64,
    /// Its key.
    pub key: Key,
    /// The class of its work.
    pub work_class: u8,
    /// The client's estimate of its work.
    pub work_estimate: Span,
    /// The key's candidates.
    pub candidates: [u64; MAX_CANDIDATES],
    /// The node's attempts in flight at each candidate.
    pub in_flight: [u16; MAX_CANDIDATES],
    /// How it fares at each candidate.
    pub outcomes: [PotentialOutcome; MAX_CANDIDATES],
    /// The position of the candidate to which it is sent.
    pub position: usize,
    /// How it would have fared, with the same random numbers, were its first candidate like most caches.
    pub ordinary_outcome: PotentialOutcome,
    /// How long after it is sent it is cancelled, if no response has arrived.
    pub cancelled_after: Span,
}

impl SimulatedRequest {
    /// The cache to which it is sent.
    pub fn chosen_cache(&self) -> u64 {
        self.candidates[self.position]
    }

    /// How it fares where it is sent.
    pub fn chosen_outcome(&self) -> &PotentialOutcome {
        &self.outcomes[self.position]
    }
}

/// A synthetic trace.
pub struct Trace {
    /// What it was made of.
    pub config: TraceConfig,
    /// Its requests, in order of time.
    pub requests: Vec<SimulatedRequest>,
}

impl Trace {
    /// Draws a trace; equal configurations give equal traces.
    pub fn new(config: TraceConfig) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let generator = Generator::new(config);
        let interval = config.seconds / config.requests as f64;
        let requests =
            (0..config.requests).map(|n| generator.request(&mut rng, interval * n as f64)).collect();
        Trace { config, requests }
    }
}
