//! What a forwarder's loop tells its own side of the faculties: what it did, and what came of it. It is told by value
//! over a bounded channel, and no call waits for it.

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The caches and origins that may get shots now, all of them.
    EndpointsChanged(Vec<ObservedEndpoint>),
    AttemptSent {
        cache: EndpointId,
        is_origin: bool,
        write: bool,
    },
    AttemptFinished(Box<FinishedAttempt>),
    /// A read that caches lacked was rate-limited: it would have been fetched.
    FetchDenied,
}

/// A server as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedEndpoint {
    pub cache: EndpointId,
    pub is_origin: bool,
    pub zone: u16,
    pub size: f64,
    /// When it last started, by the forwarder's clock, unless long ago.
    pub started: Option<Time>,
    /// How long after that it is warm.
    pub warm_after: Span,
}

/// A shot that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// The same at all nodes for the same call of a client's: a hash of the name that the client gave it.
    pub call: u64,
    /// Of the call's shots, from 0.
    pub number: u8,
    pub key: Key,
    pub request_class: RequestClassId,
    pub write: bool,
    /// The client's guess at the work, if it gave one.
    pub work: Option<Span>,
    pub cache: EndpointId,
    pub is_origin: bool,
    /// The key's candidates in their order of that moment; given for sampled calls alone.
    pub candidates: Vec<EndpointId>,
    pub outcome: AttemptOutcome,
    /// From the first byte sent to the last byte received, or to the end of waiting.
    pub latency: Span,
    /// Of the answer's body, or of the value that was written.
    pub bytes: u32,
    /// Shots that this node had out at that cache when it sent this one.
    pub out_then: u16,
    /// What the product promises.
    pub slo: Span,
}
