//! Reports this node's observations to the control-plane agent: the endpoints that accept requests, each
//! attempt that is sent, and the outcome of each attempt.
//!
//! Only nodes with a fleet configuration have a recorder; other nodes do none of this work.

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
    /// Creates a recorder that reports to `agent`. `settings` are those of the balancer.
    pub(super) fn new(agent: AgentHandle, settings: Settings) -> ObservationRecorder {
        ObservationRecorder { agent, settings }
    }

    /// Replaces the settings.
    pub(super) fn on_settings_update(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Reports a new set of endpoints that accept requests. It replaces the earlier set.
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
            // Only estimates use the truncated number; two zones that the settings do not name may share it.
            zone: endpoint.zone.0 as u16,
            size: endpoint.size,
            started: endpoint.started,
            warm_after: self.settings.warmup_duration,
        }
    }

    /// Reports an attempt that is sent.
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
        let name_hash = hash_request_name(active.client_request_id());
        let ranked = if is_sampled(name_hash) { balancer.ranked_candidates(request.key) } else { Vec::new() };
        let mut candidates = ranked.into_iter();
        let sent = SentAttempt {
            request: attempt.request,
            number,
            endpoint: attempt.endpoint,
            name_hash,
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

    /// Reports an attempt that has ended. `bytes` is the length of the response's body.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Time,
        request: RequestId,
        result: &AttemptResult,
        bytes: u32,
    ) {
        self.agent.record(now, RawObservation::AttemptFinished { request, result: *result, bytes });
    }

    /// Reports a read that the node rate-limited after a cache miss. Other local replies are not reported.
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

    /// Begins a turn of the event loop, and returns the latest update from the control plane if it is new.
    pub(super) fn begin_turn(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        self.agent.begin_iteration(now)
    }

    /// Ends a turn of the event loop.
    pub(super) fn end_turn(&mut self) {
        self.agent.end_iteration();
    }

    /// Stops the agent; no further observations are sent.
    pub(super) fn close(self) {
        self.agent.close();
    }
}
