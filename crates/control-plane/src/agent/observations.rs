//! Observations of the event loop, and how the start of an attempt is joined with the attempt's end.
//!
//! The event loop records [`RawObservation`]s, which are cheap to record: no frequent observation allocates,
//! and the loop looks nothing up. [`ObservationAssembler`], which belongs to the agent's thread, keeps the
//! attempts in flight and turns raw observations into the [`Observation`]s that the components handle.

use std::collections::BTreeMap;

use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptResult, Request};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};

/// An event as the event loop records it.
pub enum RawObservation {
    /// The endpoint list has changed; attempts are sent only to the endpoints of this list.
    EndpointsChanged(Vec<ObservedEndpoint>),
    /// An attempt was sent.
    AttemptSent(SentAttempt),
    /// An attempt has ended.
    AttemptFinished {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// How the attempt ended.
        result: AttemptResult,
        /// The length of the response's body, in bytes.
        bytes: u32,
    },
    /// A read was rate-limited after a cache miss instead of being fetched from the origin.
    FetchDenied,
}

/// A raw observation with the time at which it was recorded, by the event loop's clock.
pub(super) struct TimedObservation {
    pub at: Time,
    pub observation: RawObservation,
}

/// An attempt at the moment when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number among those of its request.
    pub number: AttemptNumber,
    /// The endpoint to which the attempt is sent.
    pub endpoint: EndpointId,
    /// The hash of the request's name; see [`super::hash_request_name`].
    pub name_hash: u64,
    /// What the client requested.
    pub requested: Request,
    /// The length of the value that a write sends, in bytes.
    pub bytes: u32,
    /// The latency objective of the request's class, as a duration.
    pub slo: Span,
    /// The key's candidate endpoints in order of preference; given only for sampled requests.
    pub candidates: [Option<EndpointId>; 3],
}

/// The maximum number of attempts in flight that are kept. Beyond it, the oldest attempt is removed, since
/// the end of an attempt is never reported if the queue from the event loop overflows.
const MAX_IN_FLIGHT_ATTEMPTS: usize = 16_384;

/// An attempt whose end has not been reported.
struct InFlightAttempt {
    sent: SentAttempt,
    /// The number of attempts that were in flight to the same endpoint when this attempt was sent.
    in_flight_at_send: u16,
}

/// Joins raw observations into complete observations. Its state is bounded by [`MAX_IN_FLIGHT_ATTEMPTS`] and
/// the endpoint list.
#[derive(Default)]
pub(super) struct ObservationAssembler {
    /// Whether each endpoint of the list is the origin.
    is_origin: BTreeMap<EndpointId, bool>,
    attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    /// The number of attempts in flight to each endpoint that has any.
    in_flight: BTreeMap<EndpointId, u16>,
}

impl ObservationAssembler {
    /// Converts a raw observation into a complete observation; `None` for the end of an attempt whose start
    /// is unknown.
    pub fn assemble(&mut self, raw: RawObservation) -> Option<Observation> {
        match raw {
            RawObservation::EndpointsChanged(endpoints) => {
                self.is_origin =
                    endpoints.iter().map(|endpoint| (endpoint.cache, endpoint.is_origin)).collect();
                Some(Observation::EndpointsChanged(endpoints))
            }
            RawObservation::AttemptSent(sent) => Some(self.on_sent(sent)),
            RawObservation::AttemptFinished { request, result, bytes } => {
                self.on_finished(request, &result, bytes)
            }
            RawObservation::FetchDenied => Some(Observation::FetchDenied),
        }
    }

    fn on_sent(&mut self, sent: SentAttempt) -> Observation {
        let in_flight = self.in_flight.entry(sent.endpoint).or_default();
        let attempt = InFlightAttempt { sent, in_flight_at_send: *in_flight };
        *in_flight = in_flight.saturating_add(1);
        self.attempts.insert((sent.request, sent.number), attempt);
        if self.attempts.len() > MAX_IN_FLIGHT_ATTEMPTS
            && let Some((_, oldest)) = self.attempts.pop_first()
        {
            self.decrement_in_flight(oldest.sent.endpoint);
        }
        Observation::AttemptSent {
            cache: sent.endpoint,
            is_origin: self.is_origin(sent.endpoint),
            write: sent.requested.write,
        }
    }

    fn on_finished(
        &mut self,
        request: RequestId,
        result: &AttemptResult,
        response_bytes: u32,
    ) -> Option<Observation> {
        let InFlightAttempt { sent, in_flight_at_send } = self.attempts.remove(&(request, result.number))?;
        self.decrement_in_flight(sent.endpoint);
        let requested = sent.requested;
        Some(Observation::AttemptFinished(Box::new(FinishedAttempt {
            request_hash: sent.name_hash,
            number: result.number.0,
            key: requested.key,
            request_class: requested.request_class,
            write: requested.write,
            work: requested.work,
            cache: sent.endpoint,
            is_origin: self.is_origin(sent.endpoint),
            candidates: sent.candidates.into_iter().flatten().collect(),
            outcome: result.outcome,
            latency: result.latency,
            bytes: if requested.write { sent.bytes } else { response_bytes },
            in_flight_at_send,
            slo: sent.slo,
        })))
    }

    /// Decreases the number of attempts in flight to an endpoint by one.
    fn decrement_in_flight(&mut self, endpoint: EndpointId) {
        if let Some(in_flight) = self.in_flight.get_mut(&endpoint) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(&endpoint);
            }
        }
    }

    fn is_origin(&self, endpoint: EndpointId) -> bool {
        self.is_origin.get(&endpoint).copied().unwrap_or(false)
    }
}
