//! Attempts: single transmissions of a request to one endpoint, and their results.

use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::time::Span;

/// An attempt that the host is to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request that is attempted.
    pub request: RequestId,
    /// The endpoint that the attempt goes to.
    pub endpoint: EndpointId,
    /// The attempt times out after this time.
    pub timeout: Span,
    /// The first byte may leave within this time only. Establishing a connection may take long, and the
    /// endpoint must still recognize a repeat as one when it arrives.
    pub begin_within: Span,
    /// Whether the request may run more than once. If not, no answer that was made for another request may be taken for
    /// this one's: it might say that nothing ran.
    pub is_idempotent: bool,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The attempt's number within its request.
    pub number: AttemptNumber,
    /// The endpoint that the attempt went to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from sending the attempt until it ended.
    pub latency: Span,
    /// Whether the request has its final response, by this attempt or by an earlier one.
    pub answered: bool,
}

/// How an attempt ended, as far as that decides what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered.
    Fulfilled,
    /// The cache does not hold the key.
    CacheMiss,
    /// The endpoint shed the attempt without looking at it.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// The attempt never left the node.
    NotSent,
    /// No answer came in time.
    TimedOut,
    /// The endpoint answered with an error.
    Errored,
    /// The connection broke.
    Reset,
    /// The balancer cancelled the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the request was certainly not executed by this attempt, so that any request may be retried.
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
