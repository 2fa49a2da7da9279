//! The policy that selects endpoints at a node: the real balancer, or a baseline policy for comparison.

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
    /// A random cache; after a rejection, another random cache.
    Random,
    /// A random cache among this number of highest-ranked caches of the key; after a rejection, another of
    /// these caches.
    RandomOf(usize),
    /// The least occupied cache among this number of highest-ranked caches of the key, by the true current
    /// state. Requests wait while all of these caches are full.
    LeastOccupied(usize),
}

/// Writes the policy's name in result rows. The names stay, so that results of different versions can be
/// compared.
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

/// Returns the true occupancy of a cache, from 0 to 1, for [`Policy::LeastOccupied`]. A cache that would not
/// respond counts as full.
pub type Occupancy<'a> = &'a dyn Fn(EndpointId) -> f64;

/// An action that a policy decides on and that its node carries out.
pub enum Action {
    /// Sends an attempt.
    SendAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The endpoint to which the attempt is sent.
        endpoint: EndpointId,
        /// The time after which the attempt fails without a response.
        timeout: Span,
    },
    /// Responds to the client without an endpoint.
    Reply {
        /// The request that ends with the response.
        request: RequestId,
        /// The response.
        reply: LocalReply,
    },
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt within the request.
        number: AttemptNumber,
    },
}

/// The policy of one node, with its state.
pub enum NodePolicy {
    /// The real balancer.
    Balancer(Box<Balancer>),
    /// A baseline policy.
    Baseline(Box<BaselinePolicy>),
}

impl NodePolicy {
    /// Returns a policy without learned state. `seed` determines all random draws of the policy.
    pub fn new(policy: Policy, settings: Settings, seed: u64, now: Time) -> NodePolicy {
        match policy {
            Policy::Balancer => NodePolicy::Balancer(Box::new(Balancer::new(settings, seed, now))),
            _ => NodePolicy::Baseline(Box::new(BaselinePolicy::new(policy, settings, seed))),
        }
    }

    /// Handles endpoints that service discovery reports. `complete` is whether `endpoints` is the whole list.
    pub fn on_endpoints_update(&mut self, now: Time, endpoints: &[EndpointUpdate], complete: bool) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_endpoints_update(now, endpoints, complete),
            NodePolicy::Baseline(baseline) => baseline.on_endpoints_update(endpoints),
        }
    }

    /// Handles a client's new request.
    pub fn on_request(&mut self, now: Time, id: RequestId, request: Request) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_request(now, id, request),
            NodePolicy::Baseline(baseline) => baseline.on_request(now, id, request),
        }
    }

    /// Handles the result of an attempt.
    pub fn on_attempt_finished(&mut self, now: Time, id: RequestId, result: &AttemptResult) {
        match self {
            NodePolicy::Balancer(balancer) => balancer.on_attempt_finished(now, id, result),
            NodePolicy::Baseline(baseline) => baseline.on_attempt_finished(id, result),
        }
    }

    /// Handles an update of the control plane. Baseline policies ignore updates.
    pub fn on_control_plane_update(&mut self, now: Time, update: &ControlPlaneUpdate) {
        if let NodePolicy::Balancer(balancer) = self {
            balancer.on_control_plane_update(now, update);
        }
    }

    /// Returns all actions that are due now, in the order in which the node must carry them out.
    pub fn poll_actions(&mut self, now: Time, occupancy: Occupancy<'_>) -> Vec<Action> {
        match self {
            NodePolicy::Balancer(balancer) => poll_balancer(balancer, now),
            NodePolicy::Baseline(baseline) => baseline.poll_actions(now, occupancy),
        }
    }

    /// Returns when the policy must be polled again if no input comes before.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        match self {
            NodePolicy::Balancer(balancer) => balancer.poll_timeout(now),
            NodePolicy::Baseline(baseline) => baseline.poll_timeout(now),
        }
    }
}

/// Returns the balancer's pending actions. Cancellations come first, since they free capacity that the next
/// attempt of the same request may need.
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
