//! A synthetic trace: requests with their potential outcomes.

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::counterfactual::MAX_CANDIDATES;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::config::TraceConfig;
use super::generator::Generator;

/// The latency objective of all requests.
pub const SLO: Span = Span::from_millis(60);
/// The time at which a trace begins, which is late enough that ages subtracted from it stay positive.
pub const TRACE_START: Time = Time(1_000_000_000);

/// The outcome that a request has if it is sent to one candidate.
#[derive(Clone, Copy, Debug)]
pub struct PotentialOutcome {
    /// Whether the cache rejects the request.
    pub is_rejected: bool,
    /// Whether the cache holds the value.
    pub is_hit: bool,
    /// The time from sending the request until the cache reports a cache miss, if it does.
    pub miss_after: Span,
    /// The time from sending the request until the last byte of the response has arrived.
    pub response_after: Span,
}

/// A request with its potential outcomes.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    /// When the request is sent.
    pub at: Time,
    /// The node that serves the request.
    pub node: usize,
    /// The hash by which the request is sampled.
    pub request_hash: u64,
    /// The requested key.
    pub key: Key,
    /// The class of the request's work.
    pub work_class: u8,
    /// The client's estimate of the request's work.
    pub work_estimate: Span,
    /// The key's candidates.
    pub candidates: [u64; MAX_CANDIDATES],
    /// The node's attempts in flight at each candidate.
    pub in_flight: [u16; MAX_CANDIDATES],
    /// The outcome that the request has at each candidate.
    pub outcomes: [PotentialOutcome; MAX_CANDIDATES],
    /// The position of the candidate to which the request is sent.
    pub position: usize,
    /// The outcome that the request would have, with the same random numbers, if its first candidate were an
    /// ordinary cache.
    pub ordinary_outcome: PotentialOutcome,
    /// The time from sending the request until it is cancelled, if no response has arrived by then.
    pub cancelled_after: Span,
}

impl SimulatedRequest {
    /// Returns the cache to which the request is sent.
    pub fn chosen_cache(&self) -> u64 {
        self.candidates[self.position]
    }

    /// Returns the outcome at the cache to which the request is sent.
    pub fn chosen_outcome(&self) -> &PotentialOutcome {
        &self.outcomes[self.position]
    }
}

/// A synthetic trace.
pub struct Trace {
    /// The parameters of the trace.
    pub config: TraceConfig,
    /// The requests, in order of time.
    pub requests: Vec<SimulatedRequest>,
}

impl Trace {
    /// Returns a randomly drawn trace. Equal configurations give equal traces.
    pub fn new(config: TraceConfig) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let generator = Generator::new(config);
        let interval = config.seconds / config.requests as f64;
        let requests =
            (0..config.requests).map(|n| generator.request(&mut rng, interval * n as f64)).collect();
        Trace { config, requests }
    }
}
