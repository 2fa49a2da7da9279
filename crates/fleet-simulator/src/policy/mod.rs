//! What selects endpoints at a node: the real balancer, or a baseline policy to compare it with.

mod baseline;

use std::fmt;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptResult, ControlPlaneUpdate, EndpointUpdate, LocalReply, Request};

pub use baseline::BaselinePolicy;

/// The policy of a scenario's nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real balancer.
    Balancer,
    /// A random cache, and another one after a rejection.
    Random,
    /// A random one of a key's highest-ranked caches (this many), and another one after a rejection.
    RandomOf(usize),
    /// The least occupied of a key's highest-ranked caches (this many), by their true current state. Waits while all of
    /// them are full.
    LeastOccupied(usize),
}

/// The names are those of the result rows, which later versions must be able to compare with earlier ones.
impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Policy::Balancer => f.write_str("Module"),
            Policy::Random => f.write_str("Random"),
            Policy::RandomOf(candidates) => write!(f, "RandomOf({candidates})"),
            Policy::LeastOccupied(candidates) => write!(f, "Seeing({candidates})"),
        }
    }
}

/// The true occupancy of a cache, from 0 to 1, for [`Policy::LeastOccupied`]. A cache that would not respond counts as
/// full.
pub type Occupancy<'a> = &'a dyn Fn(EndpointId) -> f64;

/// What the node has to carry out.
pub enum Action {
    /// Sends an attempt.
    SendAttempt {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Where the attempt goes.
        endpoint: EndpointId,
        /// After this time the attempt fails.
        timeout: Span,
    },
    /// Answers the client without an endpoint.
    Reply {
        /// The request that ends.
        request: RequestId,
        /// The answer.
        reply: LocalReply,
    },
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request.
        number: AttemptNumber,
    },
}

/// The policy of one node, with its state.
pub enum NodePolicy {
    /// The real balancer.
    Balancer(Box<Balancer>),
    /// One of the others.
    Baseline(Box<BaselinePolicy>),
}

impl NodePolicy {
    /// A policy without state. `seed` determines all of its random draws.
    pub fn new(policy: Policy, settings: Settings, seed: u64, now: Time) -> NodePolicy {
        match policy {
            Policy::Balancer => NodePolicy::Balancer(Box::new(Balancer::new(settings, seed, now))),
            _ => NodePolicy::Baseline(Box::new(BaselinePolicy::new(policy, settings, seed))),
        }
    }

    /// Service discovery reports endpoints; `complete` means all that there are.
    pub fn on_endpoints_update(&mut self, now: Time, endpoints: &[EndpointUpdate], complete: bool) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_endpoints_update(now, endpoints, complete),
            NodePolicy::Baseline(baseline) => baseline.on_endpoints_update(endpoints),
        }
    }

    /// A client submits a request.
    pub fn on_request(&mut self, now: Time, id: RequestId, request: Request) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_request(now, id, request),
            NodePolicy::Baseline(baseline) => baseline.on_request(now, id, request),
        }
    }

    /// An attempt has finished.
    pub fn on_attempt_finished(&mut self, now: Time, id: RequestId, result: &AttemptResult) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_attempt_finished(now, id, result),
            NodePolicy::Baseline(baseline) => baseline.on_attempt_finished(id, result),
        }
    }

    /// The control plane sends an update. Baseline policies ignore it.
    pub fn on_control_plane_update(&mut self, now: Time, update: &ControlPlaneUpdate) {
        if let NodePolicy::Balancer(balancer) = self {
            balancer.on_control_plane_update(now, update);
        }
    }

    /// All actions that are due now, in the order in which they must be carried out.
    pub fn poll_actions(&mut self, now: Time, occupancy: Occupancy<'_>) -> Vec<Action> {
        match self {
            NodePolicy::Balancer(balancer) => poll_balancer(balancer, now),
            NodePolicy::Baseline(baseline) => baseline.poll_actions(now, occupancy),
        }
    }

    /// When the policy must be polled again without any input.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        match self {
            NodePolicy::Balancer(balancer) => balancer.poll_timeout(now),
            NodePolicy::Baseline(baseline) => baseline.poll_timeout(now),
        }
    }
}

/// Cancellations come first: they free what the next attempt of the same request may need.
fn poll_balancer(balancer: &mut Balancer, now: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    loop {
        while let Some((request, number)) = balancer.poll_cancellation() {
            actions.push(Action::CancelAttempt { request, number });
        }
        if let Some(attempt) = balancer.poll_attempt(now) {
            actions.push(Action::SendAttempt {
                request: attempt.request,
                endpoint: attempt.endpoint,
                timeout: attempt.timeout,
            });
        } else if let Some((request, reply)) = balancer.poll_response(now) {
            actions.push(Action::Reply { request, reply });
        } else {
            return actions;
        }
    }
}
