//! Attempts in flight, and what a request goes through when one of them has ended.

use std::collections::{BTreeSet, HashMap};

use crate::attempt::{AttemptOutcome, AttemptResult};
use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::pending_request::{PendingRequest, SentAttempt};

/// All attempts whose result is not known yet, also those of requests that have ended.
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

    /// Takes the attempt that a result is of. There is none if the result is unknown or came before.
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

/// Records a result with its request. `was_overtaken` is whether a later attempt at the same endpoint had its answer
/// first, so that this one's answer was lost.
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

/// Whether the request's next attempt must go to another endpoint.
fn excludes_endpoint(request: &PendingRequest, result: &AttemptResult, was_overtaken: bool) -> bool {
    match result.outcome {
        AttemptOutcome::Rejected | AttemptOutcome::NotSent => false,
        AttemptOutcome::Cancelled => !was_overtaken,
        // The first reset may be due to its connection alone: the cache that holds the key is asked once more.
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
