//! The counts of a forwarder's attempts, from which its reports are made.

use std::collections::BTreeMap;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;

use super::aggregator::MAX_ENDPOINTS;
use super::fragment::Fragment;
use super::report::{EndpointCounts, HealthReport};

/// An unanswered attempt that lasted less than this share of its latency objective is no evidence about the
/// endpoint. The balancer applies the same share.
const MIN_SILENCE_SHARE: f64 = 0.5;

/// The evidence about an endpoint in the end of an attempt.
enum AttemptEvidence {
    Answered,
    Failed,
    Inconclusive,
}

/// Counts the attempts of one forwarder by endpoint.
#[derive(Default)]
pub struct HealthReporter {
    sequence: u64,
    counts: BTreeMap<EndpointId, EndpointCounts>,
}

impl HealthReporter {
    /// Creates a reporter without counts.
    pub fn new() -> HealthReporter {
        HealthReporter::default()
    }

    /// Returns the counts of an endpoint, or `None` if the endpoint is new and [`MAX_ENDPOINTS`] are counted
    /// already.
    fn counts_of(&mut self, endpoint: EndpointId) -> Option<&mut EndpointCounts> {
        if self.counts.len() >= MAX_ENDPOINTS && !self.counts.contains_key(&endpoint) {
            return None;
        }
        Some(self.counts.entry(endpoint).or_insert_with(|| EndpointCounts::new(endpoint)))
    }

    /// Counts an attempt that was sent.
    pub fn on_attempt_sent(&mut self, endpoint: EndpointId) {
        if let Some(counts) = self.counts_of(endpoint) {
            counts.in_flight += 1.0;
        }
    }

    /// Counts an attempt that ended after `latency`, for a request with the latency objective `slo`.
    pub fn on_attempt_finished(
        &mut self,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        latency: Span,
        slo: Span,
    ) {
        let Some(counts) = self.counts_of(endpoint) else { return };
        counts.in_flight = (counts.in_flight - 1.0).max(0.0);
        match evidence(outcome, latency, slo) {
            AttemptEvidence::Answered => counts.answered += 1.0,
            AttemptEvidence::Failed => counts.failed += 1.0,
            AttemptEvidence::Inconclusive => {}
        }
    }

    /// Returns the fragments of a report on the attempts since the previous report. Answers and failures are
    /// then counted from zero again, so a lost report loses only its own counts.
    pub fn next_report(&mut self) -> Vec<HealthReport> {
        self.sequence += 1;
        let counts: Vec<_> = self.counts.values().copied().collect();
        self.counts.retain(|_, counts| counts.in_flight > 0.0);
        for counts in self.counts.values_mut() {
            counts.answered = 0.0;
            counts.failed = 0.0;
        }
        let sequence = self.sequence;
        Fragment::split(&counts, |fragment, endpoints| HealthReport { sequence, fragment, endpoints })
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.counts.len()
    }
}

fn evidence(outcome: AttemptOutcome, latency: Span, slo: Span) -> AttemptEvidence {
    match outcome {
        AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Rejected => {
            AttemptEvidence::Answered
        }
        AttemptOutcome::Unreachable | AttemptOutcome::Errored | AttemptOutcome::Reset => {
            AttemptEvidence::Failed
        }
        // A forwarder that may cancel silent attempts cancels every attempt at a hung endpoint, so that none
        // ever times out.
        AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if latency >= slo.scaled(MIN_SILENCE_SHARE) => {
            AttemptEvidence::Failed
        }
        // The attempt was never sent, had little time, or was cancelled soon after it was sent.
        AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {
            AttemptEvidence::Inconclusive
        }
    }
}
