//! The comparisons that are reported to forwarders at the end of the next round.

use granitelb_balancer::time::{Span, Time};

use crate::counterfactual::message::{ComparisonReport, ComparisonScale, CounterfactualMessage};

/// The most reports in one message; each takes about 30 bytes.
const MAX_REPORTS_PER_MESSAGE: usize = 36;

/// A comparison that is to be reported to forwarders, with its scale.
#[derive(Clone, Copy)]
struct PendingReport {
    scale: ComparisonScale,
    report: ComparisonReport,
}

/// The changes of comparisons since the last round, and the reports that are repeated.
pub(super) struct PendingReports {
    pending: Vec<PendingReport>,
    last_repeated_at: Time,
}

impl PendingReports {
    /// Creates an empty queue of reports.
    pub fn new(now: Time) -> PendingReports {
        PendingReports { pending: Vec::new(), last_repeated_at: now }
    }

    /// The number of pending reports.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds the report of a change, unless `capacity` reports are pending.
    pub fn push(&mut self, scale: ComparisonScale, report: ComparisonReport, capacity: usize) {
        if self.pending.len() < capacity {
            self.pending.push(PendingReport { scale, report });
        }
    }

    /// Returns whether comparisons of worse or better are to be reported again, and if so starts the next
    /// interval. They are repeated because a message may have been lost, and forwarders may have joined.
    pub fn is_repetition_due(&mut self, now: Time, interval: Span) -> bool {
        if now - self.last_repeated_at < interval {
            return false;
        }
        self.last_repeated_at = now;
        true
    }

    /// Adds the repetition of a report, without a bound of its own: the number of comparisons bounds the
    /// repetitions.
    pub fn push_repetition(&mut self, scale: ComparisonScale, report: ComparisonReport) {
        self.pending.push(PendingReport { scale, report });
    }

    /// Removes all reports and returns them as messages; messages beyond `max_messages` are dropped.
    pub fn take_messages(&mut self, max_messages: usize) -> Vec<CounterfactualMessage> {
        let pending = std::mem::take(&mut self.pending);
        let mut messages = messages_on_scale(&pending, ComparisonScale::WaitedShare);
        messages.extend(messages_on_scale(&pending, ComparisonScale::TimeRatio));
        messages.truncate(max_messages);
        messages
    }
}

/// Returns the reports on one scale as messages.
fn messages_on_scale(pending: &[PendingReport], scale: ComparisonScale) -> Vec<CounterfactualMessage> {
    let reports: Vec<ComparisonReport> =
        pending.iter().filter(|pending| pending.scale == scale).map(|pending| pending.report).collect();
    let message = match scale {
        ComparisonScale::WaitedShare => CounterfactualMessage::WaitedShareReports,
        ComparisonScale::TimeRatio => CounterfactualMessage::TimeRatioReports,
    };
    reports.chunks(MAX_REPORTS_PER_MESSAGE).map(|chunk| message(chunk.to_vec())).collect()
}
