//! Comparisons that are reported to forwarders with the next round.

use granitelb_balancer::time::{Span, Time};

use crate::counterfactual::message::{ComparisonReport, ComparisonScale, CounterfactualMessage};

/// The most reports in a message: each takes about 30 bytes.
const MAX_REPORTS_PER_MESSAGE: usize = 36;

/// A comparison on its way to forwarders.
#[derive(Clone, Copy)]
struct PendingReport {
    scale: ComparisonScale,
    report: ComparisonReport,
}

/// Changes since the last round, and repetitions.
pub(super) struct PendingReports {
    pending: Vec<PendingReport>,
    repeated_at: Time,
}

impl PendingReports {
    /// Nothing is pending.
    pub fn new(now: Time) -> PendingReports {
        PendingReports { pending: Vec::new(), repeated_at: now }
    }

    /// How many reports are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a change, unless `capacity` of them are pending.
    pub fn push(&mut self, scale: ComparisonScale, report: ComparisonReport, capacity: usize) {
        if self.pending.len() < capacity {
            self.pending.push(PendingReport { scale, report });
        }
    }

    /// Whether differences are to be reported again: a message may have been lost, and forwarders may be new.
    pub fn is_repetition_due(&mut self, now: Time, interval: Span) -> bool {
        if now - self.repeated_at < interval {
            return false;
        }
        self.repeated_at = now;
        true
    }

    /// Adds the repetition of a report; comparisons are bounded, and so are their repetitions.
    pub fn repeat(&mut self, scale: ComparisonScale, report: ComparisonReport) {
        self.pending.push(PendingReport { scale, report });
    }

    /// Removes all reports, as messages; those beyond `max_messages` are dropped.
    pub fn take_messages(&mut self, max_messages: usize) -> Vec<CounterfactualMessage> {
        let pending = std::mem::take(&mut self.pending);
        let mut messages = messages_of(&pending, ComparisonScale::WaitedShare);
        messages.extend(messages_of(&pending, ComparisonScale::TimeRatio));
        messages.truncate(max_messages);
        messages
    }
}

/// The reports on one scale, as messages.
fn messages_of(pending: &[PendingReport], scale: ComparisonScale) -> Vec<CounterfactualMessage> {
    let reports: Vec<ComparisonReport> =
        pending.iter().filter(|pending| pending.scale == scale).map(|pending| pending.report).collect();
    let message = match scale {
        ComparisonScale::WaitedShare => CounterfactualMessage::WaitedShareReports,
        ComparisonScale::TimeRatio => CounterfactualMessage::TimeRatioReports,
    };
    reports.chunks(MAX_REPORTS_PER_MESSAGE).map(|chunk| message(chunk.to_vec())).collect()
}
