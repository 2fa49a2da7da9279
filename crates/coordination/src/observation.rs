//! The events that a forwarder's event loop reports to the forwarder's side of the components: the attempts
//! that it sent, how they ended, and changes of the endpoint list.
//!
//! Observations are sent by value over a bounded channel; no request ever waits for that.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};

/// One observation of a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint list has changed. The list is complete: these cache servers and origins may receive
    /// attempts from now on.
    EndpointsChanged(Vec<ObservedEndpoint>),
    /// An attempt was sent.
    AttemptSent {
        /// The endpoint that the attempt was sent to.
        cache: EndpointId,
        /// Whether the endpoint is an origin.
        is_origin: bool,
        /// Whether the attempt is a write.
        write: bool,
    },
    /// An attempt has ended.
    AttemptFinished(Box<FinishedAttempt>),
    /// A read with a cache miss was rejected by the limit on fetches at the origin; without the limit it
    /// would have been fetched there.
    FetchDenied,
}

/// An endpoint as described by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedEndpoint {
    /// The endpoint's identity.
    pub cache: EndpointId,
    /// Whether the endpoint is an origin.
    pub is_origin: bool,
    /// The index of the endpoint's zone.
    pub zone: u16,
    /// The endpoint's capacity relative to that of other endpoints.
    pub size: f64,
    /// When the endpoint last started, by the forwarder's clock; `None` if that was long ago.
    pub started: Option<Time>,
    /// How long the endpoint's warm-up lasts after its start.
    pub warm_after: Span,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// A hash of the identifier that the client gave to its request. It is the same at all nodes.
    pub request_hash: u64,
    /// The attempt's index among the attempts of its request, from 0.
    pub number: u8,
    /// The requested key.
    pub key: Key,
    /// The class of the request.
    pub request_class: RequestClassId,
    /// Whether the request is a write.
    pub write: bool,
    /// The client's estimate of the work of its request; `None` if the client gave none.
    pub work: Option<Span>,
    /// The endpoint that the attempt was sent to.
    pub cache: EndpointId,
    /// Whether the endpoint is an origin.
    pub is_origin: bool,
    /// The key's candidates in their order at the time the attempt was sent; empty unless the request is
    /// sampled.
    pub candidates: Vec<EndpointId>,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from the first byte sent to the last byte received, or until the node stopped waiting.
    pub latency: Span,
    /// The size of the response's body, or of the value that was written, in bytes.
    pub bytes: u32,
    /// The number of attempts that this node had in flight at the endpoint when it sent this attempt.
    pub in_flight_at_send: u16,
    /// The latency objective (SLO) of the request's class.
    pub slo: Span,
}
