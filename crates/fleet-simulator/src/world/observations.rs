//! Observations that nodes pass to the control plane, and the updates that nodes receive from the control
//! plane.

use granitelb_balancer::ids::{EndpointId, RequestClassId};
use granitelb_balancer::{AttemptOutcome, ControlPlaneUpdate, EndpointUpdate};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};

use super::setup::ORIGIN_KIND;
use super::{InFlightAttempt, WARM_UP_TIME, World};
use crate::scenario::SLO;

impl World<'_> {
    /// Passes an observation to a node's member, if there is a control plane.
    pub(super) fn observe(&mut self, node: usize, observation: impl FnOnce(&Self) -> Observation) {
        if self.control_plane.is_none() {
            return;
        }
        let observation = observation(self);
        if let Some(control_plane) = &mut self.control_plane {
            control_plane.nodes[node].on_observation(self.now, observation);
        }
    }

    /// Records an endpoint that service discovery reported to a node, and passes the node's endpoints to its
    /// member.
    pub(super) fn observe_endpoint(&mut self, node: usize, endpoint: EndpointUpdate) {
        let Some(control_plane) = &mut self.control_plane else { return };
        control_plane.known_endpoints[node].insert(endpoint.id, endpoint);
        self.observe_endpoints(node);
    }

    /// Passes all ready endpoints that a node knows to the node's member.
    pub(super) fn observe_endpoints(&mut self, node: usize) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let mut endpoints = Vec::new();
        for endpoint in control_plane.known_endpoints[node].values() {
            if endpoint.ready {
                endpoints.push(ObservedEndpoint {
                    cache: endpoint.id,
                    is_origin: endpoint.kind == ORIGIN_KIND,
                    zone: endpoint.zone.0 as u16,
                    size: endpoint.size,
                    started: endpoint.started,
                    warm_after: WARM_UP_TIME,
                });
            }
        }
        control_plane.nodes[node].on_observation(self.now, Observation::EndpointsChanged(endpoints));
    }

    /// Passes the result of an attempt to the member of the attempt's node.
    pub(super) fn observe_result(&mut self, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let job = attempt.job;
        let latency = self.now - attempt.sent_at;
        self.observe(job.node, |world| {
            Observation::AttemptFinished(Box::new(FinishedAttempt {
                request_hash: job.request,
                number: job.number,
                key: job.key,
                request_class: RequestClassId(u16::from(job.write)),
                write: job.write,
                work: Some(world.scenario.mean_work.scaled(world.popularity.work_factor(job.key))),
                cache: EndpointId(attempt.server as u64),
                is_origin: attempt.server == world.origin,
                candidates: Vec::new(),
                outcome,
                latency,
                bytes: 0,
                in_flight_at_send: 0,
                slo: SLO,
            }))
        });
    }

    /// Passes the control plane's current update to a node's policy.
    pub(super) fn update_policy(&mut self, n: usize) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let mut update = control_plane.nodes[n].control_plane_update(self.now);
        // Leases don't apply during the warm-up, when the origin accepts all requests.
        if self.now < self.network.day_start {
            update.leases.clear();
        }
        if update != ControlPlaneUpdate::default() {
            self.nodes[n].policy.on_control_plane_update(self.now, &update);
            self.run_policy(n);
        }
    }
}
