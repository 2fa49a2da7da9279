//! The planner component: stores the requests that forwarders report, estimates in rounds, and reports the
//! comparisons of caches.
//!
//! # Invariants
//!
//! - The stored requests depend only on which reports arrived, not on the order or repetition of reports
//!   (`request_store`); a lost message costs support and nothing else. A request that ended before the start
//!   of one of its candidates is void, and its report is rejected whenever it arrives.
//! - A single forwarder can't cause a comparison of worse or better: a discovery counts only if it holds
//!   without any single forwarder and another forwarder used the cache too.
//! - A reported comparison of worse or better is retracted when nothing is known of the cache any more.

mod cache_starts;
mod pending_reports;
mod request_store;
mod round;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};

use self::cache_starts::CacheStarts;
use self::pending_reports::PendingReports;
use self::request_store::{RequestStore, StoreLimits};
use self::round::{Finding, Round};
use super::comparison::{ComparisonKey, ComparisonTracker};
use super::dataset::Dataset;
use super::error::CounterfactualError;
use super::event::{PolicyValue, comparison_event, policy_values_event};
use super::message::{CacheStart, Comparison, ComparisonReport, ComparisonScale, CounterfactualMessage};
use super::outcome::{OutcomeMeasure, ReportedRequest};
use super::randomized_assignment::RandomizedAssignment;
use super::sampled_request::SampledRequest;
use super::sampling::is_sampled;
use super::settings::Settings;
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};

/// The fewest forwarders that must have used a cache before the cache is compared as worse or better.
const MIN_CORROBORATING_FORWARDERS: usize = 2;

/// The planner component of off-policy evaluation.
pub struct PlannerComponent {
    settings: Settings,
    requests: RequestStore,
    /// The time of the last shard map change. Requests that ended before it are void, as an earlier shard map
    /// applied.
    valid_since: Time,
    starts: CacheStarts,
    comparisons: BTreeMap<ComparisonKey, ComparisonTracker>,
    forwarders: Vec<ForwarderId>,
    last_round_at: Time,
    policy_values_logged_at: Time,
    outgoing: VecDeque<(Member, CounterfactualMessage)>,
    reports: PendingReports,
    events: VecDeque<Event>,
}

/// Returns the time of an event that a message states by its age at `now`.
fn time_at_age(now: Time, age_ms: u32) -> Time {
    Time(now.0.saturating_sub(Span::from_millis(u64::from(age_ms)).0))
}

impl PlannerComponent {
    /// Creates a component without any requests.
    pub fn new(settings: Settings, _id: PlannerId, _incarnation: Incarnation, now: Time) -> PlannerComponent {
        let limits = StoreLimits {
            requests: settings.max_requests,
            requests_per_forwarder: settings.max_requests_per_forwarder,
        };
        PlannerComponent {
            settings,
            requests: RequestStore::new(limits),
            valid_since: Time(0),
            starts: CacheStarts::default(),
            comparisons: BTreeMap::new(),
            forwarders: Vec::new(),
            last_round_at: now,
            policy_values_logged_at: now,
            outgoing: VecDeque::new(),
            reports: PendingReports::new(now),
            events: VecDeque::new(),
        }
    }

    /// Discards all requests and retracts all comparisons at a change of the shard map. Keys have other
    /// candidates from then on, so requests under the old shard map tell nothing about the new one.
    pub fn on_shard_map_change(&mut self, now: Time) {
        self.valid_since = now;
        self.requests.clear();
        let comparisons = std::mem::take(&mut self.comparisons);
        self.retract(comparisons);
    }

    /// The request classes of the stored requests.
    pub fn request_classes(&self) -> BTreeSet<u16> {
        self.requests.request_classes()
    }

    /// The stored requests of a request class, prepared for estimates from the nodes' choices.
    pub fn dataset(&self, request_class: u16) -> Dataset {
        Dataset::new(self.reported_requests(request_class))
    }

    /// The stored requests of a request class, prepared for estimates from the randomized assignment.
    pub fn randomized_assignment(&self, request_class: u16) -> RandomizedAssignment {
        RandomizedAssignment::new(self.reported_requests(request_class))
    }

    /// The comparison of a cache for a request class on a scale.
    pub fn comparison(&self, cache: u64, request_class: u16, scale: ComparisonScale) -> Comparison {
        let tracker = self.comparisons.get(&ComparisonKey { cache, request_class, scale });
        tracker.map_or(Comparison::NoSupport, ComparisonTracker::comparison)
    }

    /// The number of stored requests.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn reported_requests(&self, request_class: u16) -> impl Iterator<Item = ReportedRequest<'_>> {
        let bucket_length = self.settings.time_bucket.0.max(1);
        self.requests.iter().filter(move |(_, stored)| stored.request.request_class == request_class).map(
            move |(forwarder, stored)| ReportedRequest {
                request: &stored.request,
                forwarder,
                time_bucket: stored.ended_at.0 / bucket_length,
            },
        )
    }

    /// Stores a reported request unless it is older than the window or void.
    fn on_request(&mut self, now: Time, forwarder: ForwarderId, request: SampledRequest) {
        let ended_at = time_at_age(now, request.age_ms);
        let is_old = now - ended_at > self.settings.window || ended_at < self.valid_since;
        let is_void = request.candidates.iter().any(|cache| self.starts.started_after(*cache, ended_at));
        if !is_old && !is_void {
            self.requests.insert(forwarder, request, ended_at);
        }
    }

    /// Handles a new start of a cache: discards the earlier requests that have the cache as a candidate, and
    /// the comparisons of the cache.
    fn on_cache_start(&mut self, now: Time, start: CacheStart) {
        let CacheStart { cache, age_ms } = start;
        let started_at = time_at_age(now, age_ms);
        let Settings { window, start_tolerance, max_caches, .. } = self.settings;
        if now - started_at > window || !self.starts.record(cache, started_at, start_tolerance, max_caches) {
            return;
        }
        self.requests
            .retain(|stored| stored.ended_at >= started_at || !stored.request.candidates.contains(&cache));
        let removed = self.comparisons.extract_if(.., |key, _| key.cache == cache).collect();
        self.retract(removed);
    }

    /// Reports for each removed comparison of worse or better that nothing is known of the cache any more.
    fn retract(&mut self, removed: BTreeMap<ComparisonKey, ComparisonTracker>) {
        for (key, tracker) in removed {
            if tracker.comparison().is_difference() {
                self.publish(key.scale, ComparisonTracker::default().report(key));
            }
        }
    }

    /// Logs a change of a comparison, and queues its report for the end of the next round.
    fn publish(&mut self, scale: ComparisonScale, report: ComparisonReport) {
        self.log(comparison_event(&report, scale));
        self.reports.push(scale, report, self.settings.max_comparisons);
    }

    fn log(&mut self, event: Event) {
        if self.events.len() < self.settings.max_events {
            self.events.push_back(event);
        }
    }

    /// Runs a round if it is due: removes old requests and cache starts, estimates, and updates the
    /// comparisons.
    fn run_round_if_due(&mut self, now: Time) {
        if now - self.last_round_at < self.settings.comparison_interval {
            return;
        }
        self.last_round_at = now;
        self.requests.expire(now, self.settings.window);
        self.starts.expire(now, self.settings.window);
        let are_policy_values_due = now - self.policy_values_logged_at >= self.settings.policy_value_interval;
        if are_policy_values_due {
            self.policy_values_logged_at = now;
        }
        let findings = self.estimate(are_policy_values_due);
        self.apply(findings);
        self.send_reports(now);
    }

    /// Estimates all comparisons of a round, and logs the values of selection policies if they are due.
    fn estimate(&mut self, are_policy_values_due: bool) -> Vec<Finding> {
        let min_effect = self.settings.min_effect(ComparisonScale::TimeRatio);
        let mut round = Round::default();
        for request_class in self.request_classes().into_iter().take(self.settings.max_request_classes) {
            // Each scale may use half of the comparisons that remain.
            let limit = self.settings.max_comparisons.saturating_sub(round.len()) / 2;
            let dataset = self.dataset(request_class);
            round.add_effects(request_class, &dataset, limit);
            let assignment = self.randomized_assignment(request_class);
            round.add_time_ratios(request_class, &assignment, limit, min_effect);
            if are_policy_values_due {
                self.log_policy_values(request_class, &dataset);
            }
        }
        round.into_findings(self.settings.false_discovery_rate)
    }

    /// Updates the comparisons with the findings of a round, and retracts comparisons without a finding.
    fn apply(&mut self, findings: Vec<Finding>) {
        let mut comparisons = BTreeMap::new();
        for Finding { key, estimate, is_discovery } in findings {
            let is_confirmed_discovery = is_discovery
                && estimate.as_ref().is_ok_and(|estimate| estimate.is_corroborated)
                && self.is_used_by_several_forwarders(key.cache);
            let mut tracker = self.comparisons.remove(&key).unwrap_or_default();
            let before = tracker.comparison();
            let has_changed = tracker.update(&self.settings, key.scale, estimate, is_confirmed_discovery);
            // Changes between no support and as good are not reported.
            if has_changed && (before.is_difference() || tracker.comparison().is_difference()) {
                self.publish(key.scale, tracker.report(key));
            }
            comparisons.insert(key, tracker);
        }
        let without_finding = std::mem::replace(&mut self.comparisons, comparisons);
        self.retract(without_finding);
    }

    /// Whether several forwarders used the cache. Another forwarder must have used it, however few there are,
    /// since a single forwarder may be the only one that is cut off from the cache, or lie. True if only one
    /// forwarder reports at all.
    fn is_used_by_several_forwarders(&self, cache: u64) -> bool {
        self.requests.forwarder_count() < MIN_CORROBORATING_FORWARDERS
            || self.requests.is_chosen_by_forwarders(cache, MIN_CORROBORATING_FORWARDERS)
    }

    /// Queues the messages of a round. They replace the messages of the last round that are not sent yet.
    fn send_reports(&mut self, now: Time) {
        if self.reports.is_repetition_due(now, self.settings.report_repeat_interval) {
            for (key, tracker) in &self.comparisons {
                if tracker.comparison().is_difference() {
                    self.reports.push_repetition(key.scale, tracker.report(*key));
                }
            }
        }
        let messages = self.reports.take_messages(self.settings.max_messages);
        self.outgoing.clear();
        for message in messages {
            for forwarder in &self.forwarders {
                self.outgoing.push_back((Member::Forwarder(*forwarder), message.clone()));
            }
        }
    }

    fn log_policy_values(&mut self, request_class: u16, dataset: &Dataset) {
        let mut values = Vec::new();
        for policy in &self.settings.policies {
            let in_time = dataset.policy_value(*policy, OutcomeMeasure::InTime);
            values.push(PolicyValue { policy: *policy, in_time });
        }
        self.log(policy_values_event(request_class, &values));
    }
}

impl Component for PlannerComponent {
    type Message = CounterfactualMessage;
    type Error = CounterfactualError;

    fn on_message(
        &mut self,
        now: Time,
        from: Sender,
        message: CounterfactualMessage,
    ) -> Result<(), CounterfactualError> {
        let Member::Forwarder(forwarder) = from.member else { return Err(CounterfactualError::WrongRole) };
        match message {
            CounterfactualMessage::Requests(requests) => {
                if !requests.iter().all(SampledRequest::is_valid) {
                    return Err(CounterfactualError::InvalidValue);
                }
                if !requests.iter().all(|request| is_sampled(request.request_hash)) {
                    return Err(CounterfactualError::NotSampled);
                }
                for request in requests {
                    self.on_request(now, forwarder, request);
                }
                Ok(())
            }
            CounterfactualMessage::CacheStarts(starts) => {
                for start in starts {
                    self.on_cache_start(now, start);
                }
                Ok(())
            }
            CounterfactualMessage::WaitedShareReports(_) | CounterfactualMessage::TimeRatioReports(_) => {
                Err(CounterfactualError::WrongRole)
            }
        }
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        self.forwarders.clear();
        for member in alive {
            if let Member::Forwarder(id) = member {
                self.forwarders.push(*id);
            }
        }
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, CounterfactualMessage)> {
        self.run_round_if_due(now);
        self.outgoing.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.outgoing.is_empty() {
            return Some(now);
        }
        let round_due_at = self.last_round_at + self.settings.comparison_interval;
        Some(round_due_at.max(now))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        self.requests.len()
            + self.starts.len()
            + self.comparisons.len()
            + self.outgoing.len()
            + self.reports.len()
            + self.events.len()
    }
}
