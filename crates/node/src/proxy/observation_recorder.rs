//! Reports what this node observes to the control-plane agent: the endpoints that accept requests, each
//! attempt that is sent, and how it ended.
//!
//! Nodes without a fleet configuration have no recorder, and nothing here costs them anything.

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{AttemptNumber, RequestId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{Attempt, AttemptResult, ControlPlaneUpdate, EndpointUpdate, LocalReply};
use granitelb_control_plane::agent::{AgentHandle, RawObservation, SentAttempt, hash_request_name};
use granitelb_coordination::counterfactual::is_sampled;
use granitelb_coordination::observation::ObservedEndpoint;

use super::request_table::{ActiveRequest, RequestTable};

/// Passes observations to the control-plane agent's thread.
pub(super) struct ObservationRecorder {
    agent: AgentHandle,
    settings: Settings,
}

impl ObservationRecorder {
    /// A recorder for an agent, under the balancer's settings.
    pub(super) fn new(agent: AgentHandle, settings: Settings) -> ObservationRecorder {
        ObservationRecorder { agent, settings }
    }

    /// Uses other settings from now on.
    pub(super) fn on_settings_update(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// These endpoints accept requests from now on, and no others.
    pub(super) fn on_endpoints_change<'a>(
        &mut self,
        now: Time,
        endpoints: impl Iterator<Item = &'a EndpointUpdate>,
    ) {
        let observed = endpoints.map(|endpoint| self.observed_endpoint(endpoint)).collect();
        self.agent.record(now, RawObservation::EndpointsChanged(observed));
    }

    fn observed_endpoint(&self, endpoint: &EndpointUpdate) -> ObservedEndpoint {
        ObservedEndpoint {
            cache: endpoint.id,
            is_origin: Some(endpoint.kind) == self.settings.origin,
            // Used in estimates only, where two unnamed zones may be confused.
            zone: endpoint.zone.0 as u16,
            size: endpoint.size,
            started: endpoint.started,
            warm_after: self.settings.warmup_duration,
        }
    }

    /// An attempt is sent.
    pub(super) fn on_attempt_sent(
        &mut self,
        now: Time,
        balancer: &Balancer,
        requests: &RequestTable,
        attempt: &Attempt,
        number: AttemptNumber,
    ) {
        let Some(active) = requests.get(attempt.request) else { return };
        let request = active.request();
        let call = hash_request_name(active.client_request_id());
        let ranked = if is_sampled(call) { balancer.ranked_candidates(request.key) } else { Vec::new() };
        let mut candidates = ranked.into_iter();
        let sent = SentAttempt {
            request: attempt.request,
            number,
            endpoint: attempt.endpoint,
            name_hash: call,
            requested: *request,
            bytes: u32::try_from(active.message().body.len()).unwrap_or(u32::MAX),
            slo: self.latency_objective(usize::from(request.request_class.0)),
            candidates: [candidates.next(), candidates.next(), candidates.next()],
        };
        self.agent.record(now, RawObservation::AttemptSent(sent));
    }

    fn latency_objective(&self, request_class: usize) -> Span {
        self.settings.request_classes.get(request_class).map_or(Span::ZERO, |class| class.slo)
    }

    /// An attempt has ended; `bytes` is the length of the response's body.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Time,
        request: RequestId,
        result: &AttemptResult,
        bytes: u32,
    ) {
        self.agent.record(now, RawObservation::AttemptFinished { request, result: *result, bytes });
    }

    /// The node answers a request itself.
    pub(super) fn on_local_reply(
        &mut self,
        now: Time,
        requests: &RequestTable,
        request: RequestId,
        reply: &LocalReply,
    ) {
        let is_rate_limited = matches!(reply, LocalReply::RateLimited { .. });
        if is_rate_limited && requests.get(request).is_some_and(ActiveRequest::is_missed_read) {
            self.agent.record(now, RawObservation::FetchDenied);
        }
    }

    /// Begins a turn of the event loop, and returns what the control plane has sent, where that is new.
    pub(super) fn begin_turn(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        self.agent.begin_iteration(now)
    }

    /// Ends a turn of the event loop.
    pub(super) fn end_turn(&mut self) {
        self.agent.end_iteration();
    }

    /// Stops the agent. Nothing is sent any more.
    pub(super) fn close(self) {
        self.agent.close();
    }
}
