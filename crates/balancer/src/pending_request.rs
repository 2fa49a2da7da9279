//! The state of a request until its final response, and of its attempts.

use crate::ids::EndpointId;
use crate::request::Request;
use crate::time::{Span, Time};

/// An attempt that was sent. It stays recorded with its request after it has ended.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub request: Request,
    pub endpoint: EndpointId,
    pub sent_at: Time,
    /// Whether its result is not known yet.
    pub in_flight: bool,
}

/// The order in which waiting requests are served: by value, the highest first, then by arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestPriority {
    /// The bits of the request's value, inverted: those of a nonnegative float ascend with it.
    pub inverted_value: u64,
    /// The request's number by arrival.
    pub sequence: u64,
}

/// A request without its final response. Its terms are those of the settings that it arrived under, whatever
/// settings follow.
pub struct PendingRequest {
    pub request: Request,
    pub priority: RequestPriority,
    pub slo_deadline: Time,
    /// No answer is of value after this time.
    pub value_deadline: Time,
    /// The client gives up at this time.
    pub client_deadline: Time,
    /// Without any attempt by then the request is shed.
    pub queue_deadline: Time,
    pub attempts: Vec<SentAttempt>,
    pub max_attempts: usize,
    /// The advice to the client if the request is shed.
    pub retry_after: Span,
    /// The first attempt that has ended and may have executed the request.
    pub may_have_executed: Option<usize>,
    /// Endpoints that missed the key or failed the request.
    pub excluded_endpoints: Vec<EndpointId>,
    pub missed_in_cache: bool,
}

impl PendingRequest {
    /// The first attempt that is in flight.
    pub fn first_in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.in_flight)
    }

    /// The first attempt that has executed the request or still may.
    pub fn first_possible_execution(&self) -> Option<usize> {
        [self.may_have_executed, self.first_in_flight()].into_iter().flatten().min()
    }
}
