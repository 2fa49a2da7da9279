//! Clients' requests, and the final replies that the balancer itself may give to them.

use crate::ids::{Key, RequestClassId};
use crate::time::Span;

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The class that sets the request's latency objective, value and effect.
    pub request_class: RequestClassId,
    /// The key that the request reads or writes.
    pub key: Key,
    /// The time from the request's arrival until the client gives up.
    pub client_timeout: Span,
    /// The request's work as an estimated service time, if the request states it.
    pub work: Option<Span>,
    /// Whether the request writes the key.
    pub write: bool,
}

/// A final reply that the balancer itself gives, without an answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The request was rejected, and the client may retry it: no effect can happen twice.
    RateLimited {
        /// The time that the client is asked to wait before a retry.
        retry_after: Span,
    },
    /// The request failed, and it may have been executed.
    Errored,
}
