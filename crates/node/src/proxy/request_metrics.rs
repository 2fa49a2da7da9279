//! Counts requests and attempts by outcome. The node logs the counts once a minute.

use std::collections::BTreeMap;
use std::fmt;

use granitelb_balancer::{AttemptOutcome, LocalReply};

use super::final_response::FinalResponse;

/// The numbers of requests and attempts, by outcome, since the counts were last logged.
#[derive(Default)]
pub(super) struct RequestMetrics {
    fulfilled: u64,
    rate_limited: u64,
    errored: u64,
    client_disconnected: u64,
    /// The number of attempts by the name of their outcome.
    attempts: BTreeMap<&'static str, u64>,
    unreadable_load_reports: u64,
    /// The number of requests that clients had sent ahead in excess of the limit.
    excess_requests: u64,
    /// The number of messages that the node answered with an error by itself, by the name of the reason.
    rejections: BTreeMap<&'static str, u64>,
    /// The number of accepted requests by the name of their unusual form.
    unusual_forms: BTreeMap<&'static str, u64>,
}

impl RequestMetrics {
    /// Counts the final response to a request.
    pub(super) fn count_response(&mut self, response: &FinalResponse) {
        let counter = match response {
            FinalResponse::Upstream(_) => &mut self.fulfilled,
            FinalResponse::Local(LocalReply::RateLimited { .. }) => &mut self.rate_limited,
            FinalResponse::Local(LocalReply::Errored) => &mut self.errored,
            FinalResponse::ClientDisconnected => &mut self.client_disconnected,
        };
        *counter += 1;
    }

    /// Counts an attempt that has ended with this outcome.
    pub(super) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        *self.attempts.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Counts a load report that could not be parsed.
    pub(super) fn count_unreadable_load_report(&mut self) {
        self.unreadable_load_reports += 1;
    }

    /// Counts requests that a client had sent ahead in excess of the limit.
    pub(super) fn count_excess_requests(&mut self, count: u64) {
        self.excess_requests += count;
    }

    /// Counts a message that was rejected for this reason, and returns the number of those.
    pub(super) fn count_rejection(&mut self, reason: &'static str) -> u64 {
        let count = self.rejections.entry(reason).or_default();
        *count += 1;
        *count
    }

    /// Counts an accepted request of an unusual form, and returns the number of those.
    pub(super) fn count_unusual_form(&mut self, form: &'static str) -> u64 {
        let count = self.unusual_forms.entry(form).or_default();
        *count += 1;
        *count
    }

    /// Writes the counts to the log.
    pub(super) fn log(&self) {
        log::info!(
            event = "request_metrics", fulfilled = self.fulfilled, rate_limited = self.rate_limited,
            errored = self.errored, client_disconnected = self.client_disconnected,
            attempts = self.total_attempts(), unreadable_load_reports = self.unreadable_load_reports,
            excess_requests = self.excess_requests, rejected_messages = self.total_rejections(),
            unusual_requests = self.unusual_forms.values().sum::<u64>();
            "{self}"
        );
    }

    /// Whether neither a request nor an attempt was counted.
    pub(super) fn is_empty(&self) -> bool {
        self.total_requests() == 0
            && self.attempts.is_empty()
            && self.excess_requests == 0
            && self.rejections.is_empty()
    }

    fn total_rejections(&self) -> u64 {
        self.rejections.values().sum()
    }

    fn total_requests(&self) -> u64 {
        self.fulfilled + self.rate_limited + self.errored + self.client_disconnected
    }

    fn total_attempts(&self) -> u64 {
        self.attempts.values().sum()
    }
}

impl fmt::Display for RequestMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests: {} fulfilled, {} rate-limited, {} errored, {} client-disconnected; {} attempts",
            self.total_requests(),
            self.fulfilled,
            self.rate_limited,
            self.errored,
            self.client_disconnected,
            self.total_attempts(),
        )?;
        write_counts(f, &self.attempts)?;
        if self.unreadable_load_reports > 0 {
            write!(f, "; {} unreadable load reports", self.unreadable_load_reports)?;
        }
        if self.excess_requests > 0 {
            write!(f, "; {} rejected as sent ahead in excess of the limit", self.excess_requests)?;
        }
        if !self.rejections.is_empty() {
            write!(f, "; {} messages rejected", self.total_rejections())?;
            write_counts(f, &self.rejections)?;
        }
        if !self.unusual_forms.is_empty() {
            write!(f, "; accepted requests of unusual forms")?;
            write_counts(f, &self.unusual_forms)?;
        }
        Ok(())
    }
}

/// Writes counts with their names, after a colon.
fn write_counts(f: &mut fmt::Formatter<'_>, counts: &BTreeMap<&'static str, u64>) -> fmt::Result {
    let mut separator = ":";
    for (name, count) in counts {
        write!(f, "{separator} {count} {name}")?;
        separator = ",";
    }
    Ok(())
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Fulfilled => "fulfilled",
        AttemptOutcome::CacheMiss => "cache-miss",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::NotSent => "not-sent",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::Errored => "errored",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
    }
}
