//! Assessment of finished attempts: what an attempt's result shows about its endpoint's health and
//! congestion, about the endpoint's zone, and about response times.

use crate::attempt::AttemptOutcome;
use crate::endpoint::EndpointRole;
use crate::pending_request::SentAttempt;
use crate::time::{Span, Time};

use super::concurrency_limit::{Congestion, LimitSample};
use super::{Balancer, PROMPT_SLO_SHARE, SLOW_SLO_SHARE};

/// The largest relative growth of a cache's low concurrency limit at one answer. The bound lets the small
/// limits of many nodes settle where few attempts meet congestion. The growth is smaller than the origin's:
/// faster growth would keep a cache congested that works worse the more requests it holds.
const CACHE_LIMIT_GROWTH: f64 = 0.1;
/// The largest relative growth of the origin's low concurrency limit at one answer.
const ORIGIN_LIMIT_GROWTH: f64 = 0.3;
/// A reported queueing time below this share of the tightest latency objective counts as no queue.
const SHORT_QUEUE_SLO_SHARE: f64 = 0.1;
/// Where the origin's fastest responses take much of the latency objective, an answer shows a queue only if
/// its latency exceeds this multiple of the fastest response time, or [`MAX_SLOW_ORIGIN_SLO_SHARE`] of the
/// objective if that is less.
const SLOW_ORIGIN_FASTEST_MULTIPLE: f64 = 6.0;
/// The largest share of the latency objective that an origin's answer may take before it shows a queue.
const MAX_SLOW_ORIGIN_SLO_SHARE: f64 = 0.7;
/// Jitter multiplies a service time by a random factor between this value and this value plus one.
const MIN_SERVICE_JITTER: f64 = 0.5;
/// Each answer raises the recorded fastest response time by this factor, unless the answer was faster than
/// that.
const FASTEST_RESPONSE_GROWTH: f64 = 1.001;

/// Whether an attempt's result shows that the endpoint responds.
enum Responsiveness {
    Responded,
    NoResponse,
    Unknown,
}

/// A finished attempt's result and the thresholds that it is compared with.
struct Assessment {
    outcome: AttemptOutcome,
    latency: Span,
    role: EndpointRole,
    is_cache_aside: bool,
    /// The expected response time, with jitter.
    service_time: Span,
    /// An attempt that ends without a response in less than this time does not show that the endpoint is
    /// unresponsive.
    min_slow_latency: Span,
    /// Whether the latency shows that the endpoint has a queue.
    is_slow: bool,
    /// Whether the attempt ended in less than `PROMPT_SLO_SHARE` of the latency objective.
    is_prompt: bool,
    /// Whether a later attempt at the same endpoint was answered first.
    is_overtaken: bool,
}

impl Assessment {
    fn is_origin(&self) -> bool {
        self.role == EndpointRole::Origin
    }

    fn responsiveness(&self) -> Responsiveness {
        match self.outcome {
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
                if self.is_overtaken || self.latency < self.min_slow_latency =>
            {
                Responsiveness::Unknown
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Unreachable => {
                Responsiveness::NoResponse
            }
            AttemptOutcome::NotSent => Responsiveness::Unknown,
            AttemptOutcome::Fulfilled
            | AttemptOutcome::CacheMiss
            | AttemptOutcome::Rejected
            | AttemptOutcome::Errored
            | AttemptOutcome::Reset => Responsiveness::Responded,
        }
    }

    /// What the result shows about congestion at the endpoint.
    fn congestion(&self) -> Congestion {
        let by_latency = if self.is_slow { Congestion::Congested } else { Congestion::Uncongested };
        match self.outcome {
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable => Congestion::Congested,
            AttemptOutcome::Fulfilled => by_latency,
            // Timeouts do not count as congestion of a cache: a queue shows in slow answers first, and a
            // cache that loses some of its answers would get no work if timeouts reduced its limit.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
                if self.is_origin() && !self.is_overtaken =>
            {
                by_latency
            }
            // A fast cache miss proves nothing: a congested cache answers misses fast as well.
            AttemptOutcome::CacheMiss if self.is_slow => Congestion::Congested,
            _ => Congestion::Unknown,
        }
    }

    /// Whether the attempt counts as a success of the endpoint; `None` if it shows nothing about the
    /// endpoint's health.
    fn health(&self) -> Option<bool> {
        match self.outcome {
            // A missing answer shows nothing if the client had little time left or if only this answer was
            // lost.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if self.is_overtaken || self.is_prompt => {
                None
            }
            AttemptOutcome::NotSent => None,
            // A slow error of a cache that fetches from the origin is the origin's fault and must not eject
            // the cache.
            AttemptOutcome::Errored if !self.is_cache_aside && self.latency > self.service_time => None,
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Rejected => Some(true),
            AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Errored
            | AttemptOutcome::Reset
            | AttemptOutcome::Unreachable => Some(false),
        }
    }

    /// Whether the answer shows that no earlier attempt waits in the endpoint's queue. A cache that fetches
    /// from the origin may answer a later attempt while an earlier one waits for its fetch, so its answers
    /// never show that.
    fn shows_no_queue(&self) -> bool {
        let is_answer = matches!(self.outcome, AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss);
        self.is_cache_aside && !self.is_slow && is_answer
    }

    /// Whether the cache accepted the attempt or may have accepted it.
    fn may_be_accepted(&self) -> bool {
        match self.outcome {
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent => false,
            AttemptOutcome::Fulfilled
            | AttemptOutcome::CacheMiss
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Errored
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => true,
        }
    }

    fn limit_sample(&self) -> LimitSample {
        let (service_time, max_growth) = match self.role {
            EndpointRole::Origin => (self.service_time, ORIGIN_LIMIT_GROWTH),
            // Pauses of a slow cache's limit follow that cache's latency: shorter pauses would let many nodes
            // with little traffic keep the cache congested.
            EndpointRole::Cache => (self.service_time.max(self.latency), CACHE_LIMIT_GROWTH),
        };
        LimitSample { latency: self.latency, congestion: self.congestion(), service_time, max_growth }
    }
}

impl Balancer {
    /// Updates the state of a finished attempt's endpoint and of its zone, and the response time estimates.
    pub(super) fn assess_attempt(
        &mut self,
        now: Time,
        attempt: &SentAttempt,
        outcome: AttemptOutcome,
        latency: Span,
    ) {
        let assessment = self.compare_result(now, attempt, outcome, latency);
        let class = attempt.request.request_class;
        // Answers after the latency objective are left out of the estimates: with them, every request would
        // be expected to miss its objective and would be rejected.
        if outcome == AttemptOutcome::Fulfilled && latency <= self.settings.request_class(class).slo {
            self.response_times.record(now, class, assessment.role, latency);
        }
        self.assess_responsiveness(now, attempt, &assessment);
        if !assessment.is_origin() && !assessment.may_be_accepted() {
            self.warmup_traffic.on_work_not_accepted(now, attempt.sent_at, &attempt.request);
        }
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        endpoint.own_load.change_by(now, -1.0);
        if outcome == AttemptOutcome::Fulfilled {
            let fastest = endpoint.fastest_response.scaled(FASTEST_RESPONSE_GROWTH);
            endpoint.fastest_response = fastest.min(latency);
        }
        if assessment.shows_no_queue() {
            endpoint.last_prompt_attempt_at = endpoint.last_prompt_attempt_at.max(attempt.sent_at);
        }
        endpoint.limit.on_attempt_finished(now, &assessment.limit_sample());
        if outcome == AttemptOutcome::Rejected {
            // Without a pause, a congested cache would spend all its capacity on rejecting repeated attempts.
            endpoint.limit.pause_until(now + assessment.service_time);
        }
        let Some(success) = assessment.health() else { return };
        match assessment.role {
            EndpointRole::Cache => endpoint.health.record(now, success),
            EndpointRole::Origin => endpoint.health.record_without_ejection(success),
        }
    }

    /// Compares a finished attempt's result with the thresholds for its endpoint and request class.
    fn compare_result(
        &mut self,
        now: Time,
        attempt: &SentAttempt,
        outcome: AttemptOutcome,
        latency: Span,
    ) -> Assessment {
        // The random number is drawn for each attempt, even if unused, since later draws depend on the number
        // of draws.
        let jitter = MIN_SERVICE_JITTER + self.random.next_unit_float();
        let role = self.endpoints.role(attempt.endpoint);
        let class = attempt.request.request_class;
        let slo = self.settings.request_class(class).slo;
        let expected = self.response_times.expected_seconds(now, class, role);
        let min_slow_latency = self.min_slow_latency(role, slo);
        Assessment {
            outcome,
            latency,
            role,
            is_cache_aside: self.settings.is_cache_aside(),
            service_time: Span::from_secs_f64(expected * jitter),
            min_slow_latency,
            is_slow: latency > self.slow_latency(attempt, role, slo, min_slow_latency)
                && self.may_have_queue(now, attempt),
            is_prompt: latency < slo.scaled(PROMPT_SLO_SHARE),
            is_overtaken: self.is_overtaken(attempt),
        }
    }

    /// The least latency that may show a queue. All request classes share a cache's queue, which has to be
    /// short enough for the class with the tightest latency objective.
    fn min_slow_latency(&self, role: EndpointRole, slo: Span) -> Span {
        let slo = match role {
            EndpointRole::Origin => slo,
            EndpointRole::Cache => self.settings.tightest_slo(),
        };
        slo.scaled(SLOW_SLO_SHARE)
    }

    /// The latency beyond which an answer shows a queue at its endpoint, unless a load report shows that
    /// there is none.
    fn slow_latency(
        &self,
        attempt: &SentAttempt,
        role: EndpointRole,
        slo: Span,
        min_slow_latency: Span,
    ) -> Span {
        if role == EndpointRole::Cache {
            return min_slow_latency;
        }
        let fastest =
            self.endpoints.get(attempt.endpoint).map_or(Span::ZERO, |origin| origin.fastest_response);
        let by_fastest =
            fastest.scaled(SLOW_ORIGIN_FASTEST_MULTIPLE).min(slo.scaled(MAX_SLOW_ORIGIN_SLO_SHARE));
        min_slow_latency.max(by_fastest)
    }

    /// Whether the endpoint's load report leaves it possible that the endpoint has a queue. If the endpoint
    /// reports hardly any queueing time, answers are slow because the work takes long, and fewer attempts
    /// would not make them faster.
    fn may_have_queue(&self, now: Time, attempt: &SentAttempt) -> bool {
        let short = self.settings.tightest_slo().as_secs_f64() * SHORT_QUEUE_SLO_SHARE;
        let report = self.endpoints.get(attempt.endpoint).and_then(|endpoint| endpoint.last_load_report);
        let queueing = report.and_then(|report| report.queueing_seconds(now));
        queueing.is_none_or(|queueing| queueing > short)
    }

    /// Updates the time of the endpoint's last response and the state of its zone. The origin's responses say
    /// nothing about the caches in the origin's zone, so they leave the zone's state unchanged.
    fn assess_responsiveness(&mut self, now: Time, attempt: &SentAttempt, assessment: &Assessment) {
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        match assessment.responsiveness() {
            Responsiveness::Responded => {
                endpoint.last_response_at = now;
                if !assessment.is_origin() {
                    self.zones.on_response(now, endpoint.zone());
                }
            }
            Responsiveness::NoResponse if !assessment.is_origin() => {
                self.zones.on_no_response(now, endpoint.zone(), endpoint.id());
            }
            Responsiveness::NoResponse | Responsiveness::Unknown => {}
        }
    }
}
