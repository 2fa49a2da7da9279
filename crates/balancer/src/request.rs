//! A client's request and the final reply that the balancer may give to it by itself.

use crate::ids::{Key, RequestClassId};
use crate::time::Span;

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The class that sets the request's latency objective, value and effect.
    pub request_class: RequestClassId,
    /// The key that the request reads or writes.
    pub key: Key,
    /// Time until the client gives up on this request.
    pub client_timeout: Span,
    /// The estimated service time, where it is known.
    pub work: Option<Span>,
    /// Whether the request writes the key.
    pub write: bool,
}

/// A final reply that the balancer gives by itself, without an answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The request was shed and had no effect that a repeat could double.
    RateLimited {
        /// How long the client is asked to wait before it retries.
        retry_after: Span,
    },
    /// The request failed, and it may have been executed.
    Errored,
}
