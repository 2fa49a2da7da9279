//! Converts a finished attempt into the report of a selection.

use granitelb_balancer::AttemptOutcome;

use crate::counterfactual::sampled_request::{
    MAX_CANDIDATES, SampledRequest, ServiceOutcome, tenths_of_millisecond, work_class,
};
use crate::counterfactual::sampling::sampling_rank;
use crate::observation::FinishedAttempt;

/// Returns the report of a first attempt; none if the attempt is a retry, went to an origin or to a cache
/// that is not among the key's first candidates, or was not sent.
pub(super) fn sampled_request(attempt: &FinishedAttempt) -> Option<SampledRequest> {
    if attempt.number != 0 || attempt.is_origin {
        return None;
    }
    let candidates: Vec<u64> =
        attempt.candidates.iter().take(MAX_CANDIDATES).map(|candidate| candidate.0).collect();
    let position = candidates.iter().position(|candidate| *candidate == attempt.cache.0)?;
    let outcome = match attempt.outcome {
        AttemptOutcome::Fulfilled => ServiceOutcome::Hit,
        AttemptOutcome::CacheMiss => ServiceOutcome::Miss,
        AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => ServiceOutcome::Censored,
        AttemptOutcome::Rejected
        | AttemptOutcome::Unreachable
        | AttemptOutcome::Errored
        | AttemptOutcome::Reset => ServiceOutcome::Failed,
        AttemptOutcome::NotSent => return None,
    };
    Some(SampledRequest {
        request_hash: attempt.request_hash,
        key_hash: sampling_rank(attempt.key.0) as u32,
        request_class: attempt.request_class.0,
        work_class: work_class(attempt.work),
        candidates,
        position: position as u8,
        outcome,
        duration: tenths_of_millisecond(attempt.latency),
        slo: tenths_of_millisecond(attempt.slo),
        in_flight: u8::try_from(attempt.in_flight_at_send).unwrap_or(u8::MAX),
        age_ms: 0,
    })
}
