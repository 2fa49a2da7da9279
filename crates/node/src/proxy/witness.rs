//! What the loop tells of itself where it is one of a fleet that decides together: which servers may get shots, each
//! shot that is sent and what came of it. Nodes without an operator's file have none, and nothing here costs them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{Attempt, AttemptResult, ControlPlaneUpdate, EndpointUpdate, LocalReply};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::agent::{AgentHandle, RawObservation, SentAttempt, hash_request_name};
use granitelb_coordination::counterfactual::is_sampled;
use granitelb_coordination::observation::ObservedEndpoint;

use super::exchange::Exchanges;

pub struct ObservationRecorder {
    desk: AgentHandle,
    settings: Settings,
}

impl ObservationRecorder {
    pub fn new(desk: AgentHandle, settings: Settings) -> ObservationRecorder {
        ObservationRecorder { desk, settings }
    }

    pub fn move_to(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// These may get shots from now on, and no others.
    pub fn listed(&mut self, now: Time, placed: &BTreeMap<EndpointId, (SocketAddr, EndpointUpdate)>) {
        let server = |listing: &EndpointUpdate| ObservedEndpoint {
            cache: listing.cache,
            is_origin: Some(listing.kind) == self.settings.origin,
            // For an estimate alone, in which two unnamed zones may be mixed up.
            zone: listing.zone.0 as u16,
            size: listing.size,
            started: listing.started,
            warm_after: self.settings.warm_after,
        };
        let servers = placed.values().map(|(_, listing)| server(listing)).collect();
        self.desk.record(now, RawObservation::EndpointsChanged(servers));
    }

    /// A shot goes out.
    pub fn sent(
        &mut self,
        now: Time,
        balancer: &Balancer,
        exchanges: &Exchanges,
        shot: &Attempt,
        number: AttemptNumber,
    ) {
        let Some((name, asked, message)) = exchanges.asked(shot.request) else { return };
        let call = hash_request_name(name);
        let mut ranked = if is_sampled(call) { balancer.ranked(asked.key) } else { Vec::new() }.into_iter();
        let sent = SentAttempt {
            request: shot.request,
            number,
            endpoint: shot.cache,
            name_hash: call,
            requested: *asked,
            bytes: u32::try_from(message.body.len()).unwrap_or(u32::MAX),
            slo: self
                .settings
                .request_classes
                .get(usize::from(asked.request_class.0))
                .map_or(Span::ZERO, |p| p.slo),
            candidates: [ranked.next(), ranked.next(), ranked.next()],
        };
        self.desk.record(now, RawObservation::AttemptSent(sent));
    }

    /// A shot has ended; `bytes` is the length of the answer's body.
    pub fn ended(&mut self, now: Time, request: RequestId, end: &AttemptResult, bytes: u32) {
        self.desk.record(now, RawObservation::AttemptFinished { request, result: *end, bytes });
    }

    /// The node answers a call by itself.
    pub fn answered(&mut self, now: Time, exchanges: &Exchanges, call: RequestId, answer: &LocalReply) {
        if matches!(answer, LocalReply::RateLimited { .. }) && exchanges.lacked(call) {
            self.desk.record(now, RawObservation::FetchDenied);
        }
    }

    /// A turn begins: what planners say, where there is news.
    pub fn begin_turn(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        self.desk.begin_iteration(now)
    }

    pub fn end_turn(&mut self) {
        self.desk.end_iteration();
    }

    /// Nothing is sent any more.
    pub fn close(self) {
        self.desk.close();
    }
}
