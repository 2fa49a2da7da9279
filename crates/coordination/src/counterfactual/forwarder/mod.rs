//! The forwarder component: creates one report of each sampled read, sends the reports to planners in small
//! messages, and logs the comparisons that planners report.
//!
//! # Invariants
//!
//! - Whatever the load, a forwarder sends at most [`Settings::bytes_per_second`] to all planners together: a
//!   message is created only when the byte budget covers it.
//! - A forwarder holds at most as many requests as its settings allow: at capacity, the oldest request is
//!   dropped.
//! - Dropped and lost reports widen confidence intervals but do not bias estimates: whether a request is
//!   reported depends on its hash and its age, not on its outcome.

mod byte_budget;
mod pending_misses;
mod report_queue;
mod selection;
mod start_detector;

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use self::byte_budget::ByteBudget;
use self::pending_misses::{EndedRequest, PendingMisses};
use self::report_queue::ReportQueue;
use self::selection::sampled_request;
use self::start_detector::StartDetector;
use super::comparison::ComparisonKey;
use super::error::CounterfactualError;
use super::event::reported_comparison_event;
use super::message::{Comparison, ComparisonReport, ComparisonScale, CounterfactualMessage};
use super::sampled_request::{SampledRequest, ServiceOutcome};
use super::sampling::is_sampled;
use super::settings::Settings;
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::{FinishedAttempt, Observation};

/// The most bytes of the variant and the length at the start of a message.
const MESSAGE_HEADER_BYTES: usize = 8;
/// The most cache starts in one message.
const MAX_STARTS_PER_MESSAGE: usize = 60;
/// The most bytes of an encoded cache start.
const CACHE_START_BYTES: usize = 15;
/// The interval at which the component is polled while its byte budget refills for the next message.
const BUDGET_POLL_INTERVAL: Span = Span::from_millis(50);

/// The forwarder component of off-policy evaluation.
pub struct ForwarderComponent {
    settings: Settings,
    pending_misses: PendingMisses,
    reports: ReportQueue,
    starts: StartDetector,
    planners: Vec<PlannerId>,
    outgoing: VecDeque<(Member, CounterfactualMessage)>,
    budget: ByteBudget,
    /// The comparisons that planners reported last.
    comparisons: BTreeMap<ComparisonKey, Comparison>,
    events: VecDeque<Event>,
}

/// Returns the age at `now` of an event at `at`, in milliseconds as in messages.
fn age_ms(now: Time, at: Time) -> u32 {
    const MICROS_PER_MS: u64 = 1000;
    u32::try_from((now - at).0 / MICROS_PER_MS).unwrap_or(u32::MAX)
}

impl ForwarderComponent {
    /// Creates a component that has not observed anything.
    pub fn new(
        settings: Settings,
        _id: ForwarderId,
        _incarnation: Incarnation,
        now: Time,
    ) -> ForwarderComponent {
        ForwarderComponent {
            settings,
            pending_misses: PendingMisses::default(),
            reports: ReportQueue::default(),
            starts: StartDetector::default(),
            planners: Vec::new(),
            outgoing: VecDeque::new(),
            budget: ByteBudget::new(now),
            comparisons: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Handles an observation of the forwarder's event loop.
    pub fn on_observation(&mut self, now: Time, observation: &Observation) {
        match observation {
            Observation::EndpointsChanged(endpoints) => {
                let Settings { max_caches, start_tolerance, .. } = self.settings;
                self.starts.on_endpoints(endpoints, max_caches, start_tolerance);
            }
            Observation::AttemptSent { .. } | Observation::FetchDenied => {}
            Observation::AttemptFinished(attempt) => self.on_attempt_finished(now, attempt),
        }
    }

    /// The number of sampled requests that were not reported because the queue was full or the byte budget
    /// too small.
    pub fn dropped_requests(&self) -> u64 {
        self.reports.dropped()
    }

    /// The comparison of a cache for a request class that a planner reported last.
    pub fn comparison(&self, cache: u64, request_class: u16, scale: ComparisonScale) -> Option<Comparison> {
        self.comparisons.get(&ComparisonKey { cache, request_class, scale }).copied()
    }

    fn on_attempt_finished(&mut self, now: Time, attempt: &FinishedAttempt) {
        if attempt.write || attempt.outcome == AttemptOutcome::NotSent || !is_sampled(attempt.request_hash) {
            return;
        }
        if self.pending_misses.record_attempt(now, attempt.request_hash) {
            if attempt.outcome == AttemptOutcome::Fulfilled {
                let ended = self.pending_misses.finish(attempt.request_hash, ServiceOutcome::Miss);
                self.queue_report(ended);
            }
            return;
        }
        let Some(request) = sampled_request(attempt).filter(SampledRequest::is_valid) else { return };
        if request.outcome == ServiceOutcome::Miss {
            self.add_pending_miss(now, attempt.latency, request);
        } else {
            self.queue_report(Some(EndedRequest { ended_at: now, request }));
        }
    }

    /// Adds a request that missed in its cache, `latency` after it was sent, to the pending misses.
    fn add_pending_miss(&mut self, now: Time, latency: Span, request: SampledRequest) {
        if self.pending_misses.len() >= self.settings.max_pending_misses {
            let oldest = self.pending_misses.finish_oldest();
            self.queue_report(oldest);
        }
        let sent_at = Time(now.0.saturating_sub(latency.0));
        self.pending_misses.insert(now, request, sent_at, now + self.settings.miss_timeout);
    }

    fn queue_report(&mut self, ended: Option<EndedRequest>) {
        if let Some(ended) = ended {
            self.reports.push(ended, self.settings.max_queued_requests);
        }
    }

    /// Reports as censored the pending requests whose deadline has passed, and drops the queued requests that
    /// planners would reject as too old.
    fn expire(&mut self, now: Time) {
        while let Some(ended) = self.pending_misses.finish_expired(now) {
            self.queue_report(Some(ended));
        }
        self.reports.drop_older_than(now, self.settings.window);
    }

    fn refill_budget(&mut self, now: Time) {
        let rate = self.settings.bytes_per_second;
        let planners = self.planners.len().max(1) as f64;
        let capacity = rate.max(self.settings.max_message_bytes as f64 * planners);
        self.budget.refill(now, rate, capacity);
    }

    /// Queues the next message, one copy for each planner, if the message is due and the byte budget covers
    /// it. Cache starts are sent before requests, as planners discard the requests that ended before a start.
    fn queue_message(&mut self, now: Time) {
        if self.planners.is_empty() {
            return;
        }
        let message = if self.starts.are_all_reported() {
            self.requests_message(now)
        } else {
            self.starts_message(now)
        };
        let Some(message) = message else { return };
        for planner in &self.planners {
            self.outgoing.push_back((Member::Planner(*planner), message.clone()));
        }
    }

    /// Returns the next message with cache starts if the byte budget covers the message.
    fn starts_message(&mut self, now: Time) -> Option<CounterfactualMessage> {
        let count = self.starts.unreported_count().min(MAX_STARTS_PER_MESSAGE);
        let bytes = MESSAGE_HEADER_BYTES + count * CACHE_START_BYTES;
        if !self.budget.try_take(bytes * self.planners.len()) {
            return None;
        }
        Some(CounterfactualMessage::CacheStarts(self.starts.take(now, count)))
    }

    /// Returns the next message with requests if a batch is due and the byte budget covers the message.
    fn requests_message(&mut self, now: Time) -> Option<CounterfactualMessage> {
        let batch = self.reports.next_batch(self.settings.max_message_bytes);
        let is_full = batch.requests < self.reports.len();
        let is_due = self
            .reports
            .oldest_ended_at()
            .is_some_and(|ended_at| now - ended_at >= self.settings.batch_interval);
        if batch.requests == 0 || !(is_full || is_due) {
            return None;
        }
        if !self.budget.try_take(batch.bytes * self.planners.len()) {
            return None;
        }
        Some(CounterfactualMessage::Requests(self.reports.take(now, batch)))
    }

    /// Logs a planner's comparison if it differs from the last one.
    fn on_comparison_report(&mut self, planner: Member, report: &ComparisonReport, scale: ComparisonScale) {
        let key = ComparisonKey { cache: report.cache, request_class: report.request_class, scale };
        if self.comparisons.get(&key) == Some(&report.comparison) {
            return;
        }
        let is_full = self.comparisons.len() >= self.settings.max_comparisons;
        if is_full && !self.comparisons.contains_key(&key) {
            self.comparisons.pop_first();
        }
        self.comparisons.insert(key, report.comparison);
        if self.events.len() < self.settings.max_events {
            self.events.push_back(reported_comparison_event(planner, report, scale));
        }
    }
}

fn is_finite(report: &ComparisonReport) -> bool {
    report.estimate.is_finite() && report.low.is_finite() && report.high.is_finite()
}

impl Component for ForwarderComponent {
    type Message = CounterfactualMessage;
    type Error = CounterfactualError;

    fn on_message(
        &mut self,
        _now: Time,
        from: Sender,
        message: CounterfactualMessage,
    ) -> Result<(), CounterfactualError> {
        let Member::Planner(_) = from.member else { return Err(CounterfactualError::WrongRole) };
        let (reports, scale) = match message {
            CounterfactualMessage::WaitedShareReports(reports) => (reports, ComparisonScale::WaitedShare),
            CounterfactualMessage::TimeRatioReports(reports) => (reports, ComparisonScale::TimeRatio),
            CounterfactualMessage::Requests(_) | CounterfactualMessage::CacheStarts(_) => {
                return Err(CounterfactualError::WrongRole);
            }
        };
        if !reports.iter().all(is_finite) {
            return Err(CounterfactualError::InvalidValue);
        }
        for report in &reports {
            self.on_comparison_report(from.member, report, scale);
        }
        Ok(())
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        self.planners.clear();
        for member in alive {
            if let Member::Planner(id) = member {
                self.planners.push(*id);
            }
        }
        // Messages to planners that are no longer alive are removed, as they could never be sent.
        self.outgoing.retain(|(to, _)| alive.contains(to));
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, CounterfactualMessage)> {
        self.expire(now);
        self.refill_budget(now);
        if self.outgoing.is_empty() {
            self.queue_message(now);
        }
        self.outgoing.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.outgoing.is_empty() {
            return Some(now);
        }
        if !self.starts.are_all_reported() {
            return Some(now + BUDGET_POLL_INTERVAL);
        }
        let batch_due = self
            .reports
            .oldest_ended_at()
            .map(|ended_at| (ended_at + self.settings.batch_interval).max(now + BUDGET_POLL_INTERVAL));
        batch_due.into_iter().chain(self.pending_misses.next_deadline()).min()
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        self.pending_misses.entries()
            + self.reports.len()
            + self.starts.entries()
            + self.comparisons.len()
            + self.events.len()
    }
}
