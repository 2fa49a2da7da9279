//! Attempts: single transmissions of a request to one endpoint, and their results.

use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::time::Span;

/// An attempt that the host has to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The endpoint that the attempt goes to.
    pub endpoint: EndpointId,
    /// The time after which the attempt times out, counted from the moment that the balancer returns the
    /// attempt.
    pub timeout: Span,
    /// The time within which the first byte must be sent; after that the attempt must not be sent. Connecting
    /// may take long, and an endpoint must still recognize a repeated request as a duplicate when the attempt
    /// arrives.
    pub begin_within: Span,
    /// Whether the request may be executed more than once. If not, the host must not take an answer to
    /// another request for the answer to this one: the other answer could falsely say that nothing was
    /// executed.
    pub is_idempotent: bool,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The attempt's number within its request.
    pub number: AttemptNumber,
    /// The endpoint that the attempt went to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from sending the attempt until the attempt ended.
    pub latency: Span,
    /// Whether the request has its final response, by this attempt or by an earlier one.
    pub answered: bool,
}

/// How an attempt ended, as far as the balancer's decisions depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered.
    Fulfilled,
    /// The cache does not hold the key.
    CacheMiss,
    /// The endpoint rejected the attempt without executing the request.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// The node sent no byte of the attempt.
    NotSent,
    /// No answer arrived within the attempt's timeout.
    TimedOut,
    /// The endpoint answered with an error.
    Errored,
    /// The connection was closed before the answer was complete.
    Reset,
    /// The balancer cancelled the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt did not execute the request, so that even a non-idempotent
    /// request may be retried.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::CacheMiss
                | AttemptOutcome::Rejected
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
        )
    }
}
