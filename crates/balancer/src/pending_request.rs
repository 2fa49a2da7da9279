//! The state of a request, and of the request's attempts, until the final response.

use crate::ids::EndpointId;
use crate::request::Request;
use crate::time::{Span, Time};

/// An attempt that was sent. The request keeps the record after the attempt has ended.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub request: Request,
    pub endpoint: EndpointId,
    pub sent_at: Time,
    /// Whether the attempt's result is not known yet.
    pub in_flight: bool,
}

/// A request's position in the dispatch order of waiting requests: by value, the highest first, then by
/// arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestPriority {
    /// The inverted bits of the request's value, which is a nonnegative float: its bits ascend with the
    /// value.
    pub inverted_value: u64,
    /// The request's number in the order of arrival.
    pub sequence: u64,
}

/// A request without a final response. Its deadlines and limits follow from the settings at its arrival and
/// are not changed by later settings.
pub struct PendingRequest {
    pub request: Request,
    pub priority: RequestPriority,
    /// The end of the latency objective.
    pub slo_deadline: Time,
    /// The time after which an answer has no value.
    pub value_deadline: Time,
    /// The time at which the client gives up.
    pub client_deadline: Time,
    /// The time at which the request is rejected if it has had no attempt.
    pub queue_deadline: Time,
    pub attempts: Vec<SentAttempt>,
    pub max_attempts: usize,
    /// The delay before a retry that the client is given if the request is rate-limited.
    pub retry_after: Span,
    /// The number of the first attempt that has ended and may have executed the request.
    pub may_have_executed: Option<usize>,
    /// Endpoints that missed the key or failed the request, and are asked no more.
    pub excluded_endpoints: Vec<EndpointId>,
    /// Whether an attempt at a cache ended with a cache miss.
    pub missed_in_cache: bool,
}

impl PendingRequest {
    /// The number of the first attempt that is in flight.
    pub fn first_in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.in_flight)
    }

    /// The number of the first attempt that may have executed the request or may still do so.
    pub fn first_possible_execution(&self) -> Option<usize> {
        [self.may_have_executed, self.first_in_flight()].into_iter().flatten().min()
    }
}
