//! Assessment of finished attempts: what a result shows of its endpoint's health, of congestion there, of its zone,
//! and of how long answers take.

use crate::attempt::AttemptOutcome;
use crate::endpoint::EndpointRole;
use crate::pending_request::SentAttempt;
use crate::time::{Span, Time};

use super::concurrency_limit::{Congestion, LimitSample};
use super::{Balancer, PROMPT_SLO_SHARE, SLOW_SLO_SHARE};

/// A low limit grows by this share at most, for caches and for the origin. Small limits of many nodes settle where few
/// attempts meet congestion. Those of caches grow slowly: where one works worse the more it holds, faster growth keeps
/// it congested.
const CACHE_LIMIT_GROWTH: f64 = 0.1;
const ORIGIN_LIMIT_GROWTH: f64 = 0.3;
/// A reported queueing time below this share of the tightest latency objective is no queue.
const SHORT_QUEUE_SLO_SHARE: f64 = 0.1;
/// Where the origin's fastest responses take much of the latency objective, an answer that takes this multiple of them
/// shows a queue, or one that takes this share of the objective if that is less.
const SLOW_ORIGIN_FASTEST_MULTIPLE: f64 = 6.0;
const MAX_SLOW_ORIGIN_SLO_SHARE: f64 = 0.7;
/// The least jitter of a service time relative to it; jitter adds up to one service time.
const MIN_SERVICE_JITTER: f64 = 0.5;
/// The fastest response time grows by this factor with each answer until a faster one comes.
const FASTEST_RESPONSE_GROWTH: f64 = 1.001;

/// Whether a result shows that the endpoint responds.
enum Responsiveness {
    Responded,
    NoResponse,
    Unknown,
}

/// A finished attempt and what it is measured by.
struct Assessment {
    outcome: AttemptOutcome,
    latency: Span,
    role: EndpointRole,
    is_cache_aside: bool,
    /// The expected time of an answer, with jitter.
    service_time: Span,
    /// No answer within less than this time shows anything.
    min_slow_latency: Span,
    /// Whether the latency shows a queue.
    is_slow: bool,
    /// Whether the attempt ended well before its latency objective.
    is_prompt: bool,
    /// Whether a later attempt at the endpoint had its answer before.
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

    fn congestion(&self) -> Congestion {
        let by_latency = if self.is_slow { Congestion::Congested } else { Congestion::Uncongested };
        match self.outcome {
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable => Congestion::Congested,
            AttemptOutcome::Fulfilled => by_latency,
            // Queues show in slow answers first. With a limit that time-outs reduce, a cache that loses some of its
            // answers would get no work.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
                if self.is_origin() && !self.is_overtaken =>
            {
                by_latency
            }
            // A miss is answered fast, in a congested cache too.
            AttemptOutcome::CacheMiss if self.is_slow => Congestion::Congested,
            _ => Congestion::Unknown,
        }
    }

    /// Whether the attempt was a success as far as the endpoint's health goes, if it shows that.
    fn health(&self) -> Option<bool> {
        match self.outcome {
            // An attempt whose client had little time left, or whose answer alone was lost, shows nothing.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if self.is_overtaken || self.is_prompt => {
                None
            }
            AttemptOutcome::NotSent => None,
            // The origin's faults eject no cache that fetches from it.
            AttemptOutcome::Errored if !self.is_cache_aside && self.latency > self.service_time => None,
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Rejected => Some(true),
            AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Errored
            | AttemptOutcome::Reset
            | AttemptOutcome::Unreachable => Some(false),
        }
    }

    /// Whether the answer shows that no earlier attempt waits in the endpoint's queue. At a cache that fetches, an
    /// attempt may wait for its fetch while others pass it.
    fn shows_no_queue(&self) -> bool {
        let is_answer = matches!(self.outcome, AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss);
        self.is_cache_aside && !self.is_slow && is_answer
    }

    /// Whether a cache took the attempt in, or may have.
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
            // A slow cache pauses for its own latency; otherwise the many nodes with little traffic keep it congested.
            EndpointRole::Cache => (self.service_time.max(self.latency), CACHE_LIMIT_GROWTH),
        };
        LimitSample { latency: self.latency, congestion: self.congestion(), service_time, max_growth }
    }
}

impl Balancer {
    /// Updates what is known of an endpoint by the end of an attempt there.
    pub(super) fn assess_attempt(
        &mut self,
        now: Time,
        attempt: &SentAttempt,
        outcome: AttemptOutcome,
        latency: Span,
    ) {
        let assessment = self.assessment(now, attempt, outcome, latency);
        let class = attempt.request.request_class;
        // Answers after the latency objective do not count: they would make every request look hopeless.
        if outcome == AttemptOutcome::Fulfilled && latency <= self.settings.request_class(class).slo {
            self.response_times.record(now, class, assessment.role, latency);
        }
        self.assess_responsiveness(now, attempt, &assessment);
        if !assessment.is_origin() && !assessment.may_be_accepted() {
            self.warmup_traffic.on_work_not_accepted(now, attempt.sent_at, &attempt.request);
        }
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        endpoint.own_load.step_by(now, -1.0);
        if outcome == AttemptOutcome::Fulfilled {
            let fastest = endpoint.fastest_response.scaled(FASTEST_RESPONSE_GROWTH);
            endpoint.fastest_response = fastest.min(latency);
        }
        if assessment.shows_no_queue() {
            endpoint.last_prompt_attempt_at = endpoint.last_prompt_attempt_at.max(attempt.sent_at);
        }
        endpoint.limit.on_attempt_finished(now, &assessment.limit_sample());
        if outcome == AttemptOutcome::Rejected {
            // Repeated at once, attempts that are rejected would become a congested cache's whole work.
            endpoint.limit.pause_until(now + assessment.service_time);
        }
        let Some(success) = assessment.health() else { return };
        match assessment.role {
            EndpointRole::Cache => endpoint.health.record(now, success),
            EndpointRole::Origin => endpoint.health.record_without_ejection(success),
        }
    }

    fn assessment(
        &mut self,
        now: Time,
        attempt: &SentAttempt,
        outcome: AttemptOutcome,
        latency: Span,
    ) -> Assessment {
        // Drawn for each attempt, also where it is not used: later draws depend on the number of draws.
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

    /// The least latency that may show a queue. The queue of a cache serves all request classes: it must be short
    /// enough for the one with the tightest latency objective.
    fn min_slow_latency(&self, role: EndpointRole, slo: Span) -> Span {
        let slo = match role {
            EndpointRole::Origin => slo,
            EndpointRole::Cache => self.settings.tightest_slo(),
        };
        slo.scaled(SLOW_SLO_SHARE)
    }

    /// The latency beyond which an answer shows a queue, unless a load report shows that there is none.
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

    /// Whether the endpoint may have a queue by its load report. Where it reports hardly any queueing, the work itself
    /// takes long, and fewer attempts would not be faster.
    fn may_have_queue(&self, now: Time, attempt: &SentAttempt) -> bool {
        let short = self.settings.tightest_slo().as_secs_f64() * SHORT_QUEUE_SLO_SHARE;
        let report = self.endpoints.get(attempt.endpoint).and_then(|endpoint| endpoint.last_load_report);
        let queueing = report.and_then(|report| report.queueing_seconds(now));
        queueing.is_none_or(|queueing| queueing > short)
    }

    /// Updates when the endpoint responded last, and what is known of its zone. The origin shows nothing of the caches
    /// in its zone.
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
