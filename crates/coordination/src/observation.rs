//! What a forwarder's event loop reports to its side of the components: what it did, and what came of it.
//!
//! Observations travel by value over a bounded channel; no request ever waits for them.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};

/// One observation of a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The complete list of cache servers and origins that may receive attempts from now on.
    EndpointsChanged(Vec<ObservedEndpoint>),
    /// An attempt was sent.
    AttemptSent {
        /// The endpoint that it was sent to.
        cache: EndpointId,
        /// Whether the endpoint is an origin.
        is_origin: bool,
        /// Whether the attempt is a write.
        write: bool,
    },
    /// An attempt has ended.
    AttemptFinished(Box<FinishedAttempt>),
    /// A read that missed in the caches was rate-limited; without the limit it would have been fetched.
    FetchDenied,
}

/// An endpoint, as it is in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedEndpoint {
    /// The endpoint's identity.
    pub cache: EndpointId,
    /// Whether it is an origin.
    pub is_origin: bool,
    /// Its zone.
    pub zone: u16,
    /// Its capacity relative to other endpoints.
    pub size: f64,
    /// When it last started, by the forwarder's clock; none if that was long ago.
    pub started: Option<Time>,
    /// How long after its start it has warmed up.
    pub warm_after: Span,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// A hash of the identifier that the client gave to its request; the same at all nodes.
    pub request_hash: u64,
    /// The attempt's index among the attempts of its request, from 0.
    pub number: u8,
    /// The requested key.
    pub key: Key,
    /// The request's class.
    pub request_class: RequestClassId,
    /// Whether the request is a write.
    pub write: bool,
    /// The client's estimate of the work, if it gave one.
    pub work: Option<Span>,
    /// The endpoint that the attempt was sent to.
    pub cache: EndpointId,
    /// Whether the endpoint is an origin.
    pub is_origin: bool,
    /// The key's candidates in their order when the attempt was sent; empty unless the request is sampled.
    pub candidates: Vec<EndpointId>,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from the first byte sent to the last byte received, or to the end of waiting.
    pub latency: Span,
    /// The size in bytes of the response's body, or of the value that was written.
    pub bytes: u32,
    /// The number of attempts that this node had in flight at the endpoint when it sent this one.
    pub in_flight_at_send: u16,
    /// The latency objective of the request's class.
    pub slo: Span,
}
