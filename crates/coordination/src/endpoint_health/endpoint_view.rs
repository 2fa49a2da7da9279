//! One endpoint by the reports of all forwarders together.

use granitelb_balancer::decaying::DecayingSum;
use granitelb_balancer::time::{Span, Time};

use super::report::EndpointCounts;
use super::update::HealthStatus;
use crate::member::ForwarderId;

/// The time constant of the evidence: an endpoint that has recovered must not be considered failing for long.
const EVIDENCE_MEMORY: Span = Span::from_millis(2000);
/// The recent failures from which on an endpoint is failing.
const MIN_FAILURES: f64 = 3.0;
/// An endpoint with at least this many recent answers for each recent failure is not failing.
const ANSWERS_PER_FAILURE: f64 = 0.5;
/// One forwarder may itself be cut off: if several use the endpoint, this many have to report failures.
const MIN_REPORTERS: usize = 2;
/// The answers since the last failure from which on an endpoint has recovered.
const MIN_ANSWERS: f64 = 2.0;
/// The time constant of the rate of attempts.
const RATE_MEMORY: Span = Span::from_millis(10_000);
/// The minimum age in seconds of an endpoint that is assumed for its rate of attempts.
const MIN_RATE_AGE_SECS: f64 = 1.0;
/// An endpoint without a reported attempt for this long is no longer said to fail.
const FAILING_STATUS_LIFETIME: Span = Span::from_millis(20_000);

/// The last report of each of a few forwarders, as many as it takes to know that there are [`MIN_REPORTERS`].
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
    /// All attempts that finished while the endpoint was not failing.
    finished: DecayingSum,
    created_at: Time,
    /// Forwarders that reported failures.
    failure_reporters: RecentReporters,
    /// Forwarders that reported anything.
    reporters: RecentReporters,
    last_failure: Option<Time>,
    answers_since_failure: f64,
    last_answer: Option<Time>,
    /// Whether it was found to fail and has not answered enough since. This is kept as state: when all forwarders avoid
    /// the endpoint there is no evidence of it.
    is_failing: bool,
    /// Attempts in flight at all forwarders.
    pub in_flight: f64,
    /// When it was last named in a report.
    pub last_reported: Time,
}

impl EndpointView {
    /// The view of an endpoint without any evidence.
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

    /// Adds the answers and failures of a report; attempts in flight are the caller's to add.
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

    /// The recent attempts per second that finished, over all forwarders.
    pub fn rate(&self, now: Time) -> f64 {
        // The sum of an endpoint that is known for less than the time constant lacks the part before.
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
