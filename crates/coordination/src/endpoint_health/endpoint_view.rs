//! The view of one endpoint by the reports of all forwarders together.

use granitelb_balancer::decaying::DecayingSum;
use granitelb_balancer::time::{Span, Time};

use super::report::EndpointCounts;
use super::update::HealthStatus;
use crate::member::ForwarderId;

/// The time constant with which evidence decays. It is short so that an endpoint that has recovered is not
/// considered failing for long.
const EVIDENCE_MEMORY: Span = Span::from_millis(2000);
/// The minimum number of recent failures of a failing endpoint.
const MIN_FAILURES: f64 = 3.0;
/// An endpoint with at least this many recent answers per recent failure is not failing.
const ANSWERS_PER_FAILURE: f64 = 0.5;
/// The minimum number of forwarders that must report failures if several use the endpoint, because a single
/// forwarder may itself be cut off.
const MIN_REPORTERS: usize = 2;
/// The minimum number of answers since the last failure of an endpoint that has recovered.
const MIN_ANSWERS: f64 = 2.0;
/// The time constant of the mean rate of attempts.
const RATE_MEMORY: Span = Span::from_millis(10_000);
/// The age in seconds that is assumed at least for an endpoint when its rate of attempts is computed.
const MIN_RATE_AGE_SECS: f64 = 1.0;
/// The maximum age of the last reported failure at which an endpoint's status is still sent as failing.
const FAILING_STATUS_LIFETIME: Span = Span::from_millis(20_000);

/// The times of the last reports of a few forwarders: at most [`MIN_REPORTERS`], which is enough to know
/// whether there are that many.
#[derive(Default)]
struct RecentReporters(Vec<(ForwarderId, Time)>);

impl RecentReporters {
    fn record(&mut self, now: Time, from: ForwarderId) {
        self.0.retain(|(id, at)| *id != from && now - *at < EVIDENCE_MEMORY);
        self.0.push((from, now));
        if self.0.len() > MIN_REPORTERS {
            self.0.remove(0);
        }
    }

    fn count(&self, now: Time) -> usize {
        self.0.iter().filter(|(_, at)| now - *at < EVIDENCE_MEMORY).count()
    }
}

/// The merged reports on one endpoint.
pub struct EndpointView {
    answered: DecayingSum,
    failed: DecayingSum,
    /// The attempts that finished while the endpoint was not failing.
    finished: DecayingSum,
    created_at: Time,
    /// The forwarders that recently reported failures.
    failure_reporters: RecentReporters,
    /// The forwarders that recently reported answers or failures.
    reporters: RecentReporters,
    last_failure: Option<Time>,
    answers_since_failure: f64,
    last_answer: Option<Time>,
    /// Whether the endpoint was found failing and has not answered often enough since. This is stored because
    /// there is no evidence of the failure once all forwarders avoid the endpoint.
    is_failing: bool,
    /// The number of attempts in flight at the endpoint, over all forwarders.
    pub in_flight: f64,
    /// When a report last named the endpoint.
    pub last_reported: Time,
}

impl EndpointView {
    /// Creates the view of an endpoint without any evidence.
    pub fn new(now: Time) -> EndpointView {
        EndpointView {
            answered: DecayingSum::new(EVIDENCE_MEMORY, now),
            failed: DecayingSum::new(EVIDENCE_MEMORY, now),
            finished: DecayingSum::new(RATE_MEMORY, now),
            created_at: now,
            failure_reporters: RecentReporters::default(),
            reporters: RecentReporters::default(),
            last_failure: None,
            answers_since_failure: 0.0,
            last_answer: None,
            is_failing: false,
            in_flight: 0.0,
            last_reported: now,
        }
    }

    /// Adds the answers and failures of a report. The caller adds the attempts in flight.
    pub fn on_counts(&mut self, now: Time, from: ForwarderId, counts: &EndpointCounts) {
        self.last_reported = now;
        if counts.answered + counts.failed > 0.0 {
            self.reporters.record(now, from);
        }
        self.answered.add(now, counts.answered);
        if counts.answered > 0.0 {
            self.answers_since_failure += counts.answered;
            self.last_answer = Some(now);
        }
        if counts.failed > 0.0 {
            self.failed.add(now, counts.failed);
            self.failure_reporters.record(now, from);
            self.last_failure = Some(now);
            self.answers_since_failure = 0.0;
        }
        if !self.is_failing {
            self.finished.add(now, counts.answered + counts.failed);
        }
        self.is_failing = if self.is_failing {
            self.answers_since_failure < MIN_ANSWERS
        } else {
            self.has_evidence_of_failure(now)
        };
    }

    /// Whether the endpoint is failing.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The recent rate of finished attempts over all forwarders, in attempts per second. Attempts at a
    /// failing endpoint are not included.
    pub fn rate(&self, now: Time) -> f64 {
        // The decaying sum of a new endpoint lacks the time before the endpoint was known, so it is scaled up
        // by the missing weight.
        let age_secs = (now - self.created_at).as_secs_f64().max(MIN_RATE_AGE_SECS);
        let age = age_secs / RATE_MEMORY.as_secs_f64();
        self.finished.read(now) / (RATE_MEMORY.as_secs_f64() * (1.0 - (-age).exp()))
    }

    /// The status to send to forwarders, if there is enough evidence for one.
    pub fn status(&self, now: Time) -> Option<HealthStatus> {
        let last_failure = self.last_failure?;
        if self.is_failing {
            let ago = now - last_failure;
            return if ago < FAILING_STATUS_LIFETIME { Some(HealthStatus::Failing { ago }) } else { None };
        }
        let last_answer = self.last_answer?;
        let is_recent = last_answer >= last_failure && now - last_answer < EVIDENCE_MEMORY;
        if is_recent && self.answers_since_failure >= MIN_ANSWERS {
            Some(HealthStatus::Recovered { ago: now - last_answer })
        } else {
            None
        }
    }

    fn has_evidence_of_failure(&self, now: Time) -> bool {
        let failed = self.failed.read(now);
        let answered = self.answered.read(now);
        let required_reporters = MIN_REPORTERS.min(self.reporters.count(now));
        failed >= MIN_FAILURES
            && answered < failed * ANSWERS_PER_FAILURE
            && self.failure_reporters.count(now) >= required_reporters
    }
}
