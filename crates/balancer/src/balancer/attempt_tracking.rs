//! Attempts in flight, and how an attempt's result changes its request.

use std::collections::{BTreeSet, HashMap};

use crate::attempt::{AttemptOutcome, AttemptResult};
use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::pending_request::{PendingRequest, SentAttempt};

/// All attempts whose result is not known yet, including those of requests that already have a final
/// response.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: HashMap<(RequestId, AttemptNumber), SentAttempt>,
}

impl InFlightAttempts {
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    pub fn insert(&mut self, id: RequestId, number: AttemptNumber, attempt: SentAttempt) {
        self.attempts.insert((id, number), attempt);
    }

    /// Removes and returns the attempt that a result belongs to; `None` if no such attempt is in flight, as
    /// for a second result of the same attempt.
    pub fn remove(&mut self, id: RequestId, result: &AttemptResult) -> Option<SentAttempt> {
        let attempt = self.attempts.remove(&(id, result.number))?;
        (attempt.endpoint == result.endpoint).then_some(attempt)
    }

    /// The endpoints of the attempts for which `condition` holds.
    pub fn endpoints_where(&self, condition: impl Fn(&SentAttempt) -> bool) -> BTreeSet<EndpointId> {
        let attempts = self.attempts.values().filter(|attempt| condition(attempt));
        attempts.map(|attempt| attempt.endpoint).collect()
    }
}

/// Records an attempt's result in its request. `was_overtaken` says that a later attempt at the same endpoint
/// was answered first, which shows that the answer to this attempt was lost.
pub(super) fn record_result(
    request: &mut PendingRequest,
    result: &AttemptResult,
    is_origin: bool,
    was_overtaken: bool,
) {
    let number = usize::from(result.number.0);
    if let Some(attempt) = request.attempts.get_mut(number) {
        attempt.in_flight = false;
    }
    if !result.outcome.proves_not_executed() {
        let first = request.may_have_executed.map_or(number, |first| first.min(number));
        request.may_have_executed = Some(first);
    }
    if result.outcome == AttemptOutcome::CacheMiss && !is_origin {
        request.missed_in_cache = true;
    }
    if !is_origin && excludes_endpoint(request, result, was_overtaken) {
        request.excluded_endpoints.push(result.endpoint);
    }
}

/// Whether an attempt's result excludes its endpoint from the request's further attempts.
fn excludes_endpoint(request: &PendingRequest, result: &AttemptResult, was_overtaken: bool) -> bool {
    match result.outcome {
        AttemptOutcome::Rejected | AttemptOutcome::NotSent => false,
        AttemptOutcome::Cancelled => !was_overtaken,
        // A single reset may be a fault of the connection only, so the cache that holds the key gets a second
        // attempt.
        AttemptOutcome::Reset => {
            let attempts = request.attempts.iter().filter(|attempt| attempt.endpoint == result.endpoint);
            attempts.count() != 1
        }
        AttemptOutcome::Fulfilled
        | AttemptOutcome::CacheMiss
        | AttemptOutcome::Unreachable
        | AttemptOutcome::TimedOut
        | AttemptOutcome::Errored => true,
    }
}

#[cfg(test)]
mod tests;
