//! Cancellation of attempts that will probably get no answer, so that another endpoint can still answer the
//! request within its latency objective.

use crate::endpoint::EndpointRole;
use crate::ids::{AttemptNumber, RequestId};
use crate::pending_request::{PendingRequest, SentAttempt};
use crate::settings::Effect;
use crate::time::{Span, Time};

use super::endpoint_list::Endpoint;
use super::{Balancer, Cancellation, MINORITY_SHARE, PROMPT_SLO_SHARE, RECHECK_INTERVAL};

/// An attempt may be without a response for this multiple of its own work: a large request takes that long if
/// two other requests are queued before it.
const WORK_TIMEOUT_MULTIPLE: f64 = 8.0;
/// Where a request's work is not known, an attempt may be without a response for this multiple of the
/// expected response time. The multiple is smaller than [`WORK_TIMEOUT_MULTIPLE`], since response times
/// include queueing.
const EXPECTED_TIME_TIMEOUT_MULTIPLE: f64 = 2.5;
/// The interval between checks of a slow attempt, in multiples of `RECHECK_INTERVAL`.
const SLOW_ATTEMPT_RECHECKS: f64 = 2.0;

impl Balancer {
    /// Cancels a request's slow attempt if the answer is lost or the endpoint does not respond; otherwise
    /// schedules another check.
    pub(super) fn cancel_or_recheck(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(number) = self.cancellable_attempt_number(request) else { return };
        let attempt = &request.attempts[number];
        if self.is_overtaken(attempt) || self.is_unresponsive(now, request, attempt) {
            self.cancellations.push_back(Cancellation { id, number: AttemptNumber(number as u8) });
        } else {
            self.requests.add_deadline(now + RECHECK_INTERVAL.scaled(SLOW_ATTEMPT_RECHECKS), id);
        }
    }

    /// The number of the request's attempt in flight, if that attempt may be cancelled. Only idempotent
    /// requests have attempts cancelled, since the cancelled attempt and the next one may both be executed,
    /// and only attempts at caches are cancelled.
    fn cancellable_attempt_number(&self, request: &PendingRequest) -> Option<usize> {
        let effect = self.settings.request_class(request.request.request_class).effect;
        if !self.settings.may_cancel || effect != Effect::Idempotent {
            return None;
        }
        let number = request.first_in_flight()?;
        // Requests differ most in work at the origin, which may therefore answer a later attempt before an
        // earlier one whose answer is not lost.
        let role = self.endpoints.role(request.attempts[number].endpoint);
        (role == EndpointRole::Cache).then_some(number)
    }

    /// Whether an attempt sent more than `RECHECK_INTERVAL` later to the same endpoint had a prompt answer.
    /// The interval rules out reordering by the network. A queue answers attempts in order, so the answer to
    /// the earlier attempt is lost, and waiting for it would cost the request its latency objective.
    pub(super) fn is_overtaken(&self, attempt: &SentAttempt) -> bool {
        let endpoint = self.endpoints.get(attempt.endpoint);
        endpoint.is_some_and(|endpoint| endpoint.last_prompt_attempt_at > attempt.sent_at + RECHECK_INTERVAL)
    }

    /// Whether the attempt's endpoint or that endpoint's zone does not respond, while another candidate has
    /// capacity and is expected to answer in time.
    fn is_unresponsive(&self, now: Time, request: &PendingRequest, attempt: &SentAttempt) -> bool {
        let Some(endpoint) = self.endpoint_without_response(attempt) else { return false };
        let class = attempt.request.request_class;
        let expected = self.response_times.expected(now, class, EndpointRole::Cache);
        let timeout = self.response_timeout(now, attempt);
        let has_timed_out = now >= attempt.sent_at + timeout && self.is_endpoint_at_fault(now, timeout);
        let is_lost = has_timed_out || self.zones.is_unresponsive(endpoint.zone());
        now + expected <= request.value_deadline && is_lost && self.has_alternative(now, request, attempt)
    }

    /// The attempt's endpoint, if it has not responded to any attempt since this one was sent.
    fn endpoint_without_response(&self, attempt: &SentAttempt) -> Option<&Endpoint> {
        self.endpoints.get(attempt.endpoint).filter(|endpoint| endpoint.last_response_at < attempt.sent_at)
    }

    /// How long an endpoint may leave an attempt without a response. A cache that fetches from the origin may
    /// be fetching for the attempt, so there the expected response time counts as known work.
    fn response_timeout(&self, now: Time, attempt: &SentAttempt) -> Span {
        let is_work_known = attempt.request.work.is_some() || !self.settings.is_cache_aside();
        let multiple = if is_work_known { WORK_TIMEOUT_MULTIPLE } else { EXPECTED_TIME_TIMEOUT_MULTIPLE };
        let work = self.response_times.work(now, &attempt.request) * multiple;
        let slo = self.settings.request_class(attempt.request.request_class).slo;
        slo.scaled(PROMPT_SLO_SHARE).max(Span::from_secs_f64(work))
    }

    /// Whether a missing response is the endpoint's fault. Where caches fetch from the origin and more than a
    /// minority of them leave attempts without a response, the origin is at fault.
    fn is_endpoint_at_fault(&self, now: Time, timeout: Span) -> bool {
        if self.settings.is_cache_aside() {
            return true;
        }
        let unresponsive = self.attempts.endpoints_where(|attempt| {
            now >= attempt.sent_at + timeout && self.endpoint_without_response(attempt).is_some()
        });
        let minority = (self.selection.endpoint_count() as f64 * MINORITY_SHARE).max(1.0);
        unresponsive.len() as f64 <= minority
    }

    /// Whether another candidate of the key has capacity.
    fn has_alternative(&self, now: Time, request: &PendingRequest, attempt: &SentAttempt) -> bool {
        let mut ranked = self.selection.ranked_candidates(attempt.request.key).into_iter();
        ranked.any(|id| id != attempt.endpoint && self.has_capacity(now, request, id))
    }
}
