//! The aggregation of all forwarders' reports at a planner.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::endpoint_view::EndpointView;
use super::error::HealthError;
use super::forwarder_record::{ForwarderRecord, ReportId};
use super::fragment::Fragment;
use super::report::{EndpointCounts, HealthReport};
use super::update::{HealthStatus, HealthUpdate, Version};
use crate::component::Event;
use crate::member::{ForwarderId, Incarnation};
use crate::probe_scheduling::{self, ProbeOutcome, ProbeScheduler};

/// The maximum number of endpoints. This many fit into the fragments of an update.
pub const MAX_ENDPOINTS: usize = 2048;

/// The maximum number of events that wait to be polled; further ones are dropped.
const MAX_EVENTS: usize = 64;

/// The settings of a planner's aggregation.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The minimum interval between two updates to the same forwarder.
    pub min_update_interval: Span,
    /// How long a forwarder that sends no reports, or an endpoint that no report names, is retained.
    pub retention: Span,
    /// The maximum number of forwarders; further ones are rejected.
    pub max_forwarders: usize,
    /// The maximum number of endpoints; reports on further ones are rejected.
    pub max_endpoints: usize,
    /// How forwarders are assigned to probe failing endpoints.
    pub probes: probe_scheduling::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            min_update_interval: Span::from_millis(250),
            retention: Span::from_millis(10_000),
            max_forwarders: 4096,
            max_endpoints: MAX_ENDPOINTS,
            probes: probe_scheduling::Settings::default(),
        }
    }
}

/// An update that the host is to send to a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingUpdate {
    /// The recipient.
    pub to: ForwarderId,
    /// The update's fragments.
    pub fragments: Vec<HealthUpdate>,
}

/// Merges the reports of all forwarders into a view of each endpoint, and derives the updates from it.
pub struct HealthAggregator {
    settings: Settings,
    version: Version,
    forwarders: BTreeMap<ForwarderId, ForwarderRecord>,
    endpoints: BTreeMap<EndpointId, EndpointView>,
    probe_scheduler: ProbeScheduler,
    /// The forwarders to which an update is due, in the order of its time. Without this order, an update
    /// would cost more the more forwarders there are.
    update_queue: BTreeSet<(Time, ForwarderId)>,
    last_eviction: Time,
    events: VecDeque<Event>,
}

impl HealthAggregator {
    /// Creates an aggregator without any report.
    pub fn new(settings: Settings, now: Time) -> HealthAggregator {
        HealthAggregator {
            settings,
            version: Version(0),
            forwarders: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            probe_scheduler: ProbeScheduler::new(settings.probes, now),
            update_queue: BTreeSet::new(),
            last_eviction: now,
            events: VecDeque::new(),
        }
    }

    /// Sets the live forwarders, in ascending order, and the number of live planners with a lower number than
    /// this one.
    pub fn on_membership_change(&mut self, forwarders: Vec<ForwarderId>, planners_ahead: usize) {
        self.probe_scheduler.on_membership_change(forwarders, planners_ahead);
    }

    /// Handles a report, or a fragment of one.
    ///
    /// # Errors
    /// Returns the reason if the report is rejected; a rejected report changes nothing.
    pub fn on_report(
        &mut self,
        now: Time,
        from: ForwarderId,
        incarnation: Incarnation,
        report: &HealthReport,
    ) -> Result<(), HealthError> {
        report.check()?;
        self.evict_silent(now);
        let id = ReportId { incarnation, sequence: report.sequence };
        self.check_fresh(from, id, report.fragment)?;
        self.check_capacity(from, report)?;

        let mut record = self.forwarders.remove(&from).unwrap_or_else(|| ForwarderRecord::new(id, now));
        if record.report != id {
            self.subtract_in_flight(&record);
            record.start_report(id);
        }
        record.fragments.insert(report.fragment);
        record.last_heard = now;
        let due = record.next_update_time(now, self.settings.min_update_interval);
        record.update_due = Some(due);
        self.update_queue.insert((due, from));
        for counts in &report.endpoints {
            self.on_counts(now, from, &mut record, counts);
        }
        self.forwarders.insert(from, record);
        Ok(())
    }

    /// Returns the next update that is due, or `None` if no update is due yet.
    pub fn poll_update(&mut self, now: Time) -> Option<OutgoingUpdate> {
        self.evict_silent(now);
        let (due, to) = self.update_queue.first().copied()?;
        if due > now {
            return None;
        }
        self.update_queue.pop_first();
        if let Some(record) = self.forwarders.get_mut(&to) {
            record.last_update = Some(now);
            record.update_due = None;
        }
        self.version.0 += 1;
        let statuses = self.statuses_for(now, to);
        let version = self.version;
        let forwarders = self.forwarders.len();
        let fragments = Fragment::split(&statuses, |fragment, statuses| HealthUpdate {
            version,
            fragment,
            forwarders,
            statuses,
        });
        Some(OutgoingUpdate { to, fragments })
    }

    /// The time at which the next update is due.
    pub fn poll_timeout(&self) -> Option<Time> {
        self.update_queue.first().map(|(at, _)| *at)
    }

    /// Returns the next event for the log.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The endpoints that are failing in this planner's view.
    pub fn failing(&self) -> BTreeSet<EndpointId> {
        self.endpoints.iter().filter(|(_, view)| view.is_failing()).map(|(endpoint, _)| *endpoint).collect()
    }

    /// The attempts in flight at an endpoint, over all forwarders that reported recently.
    pub fn in_flight(&self, endpoint: EndpointId) -> f64 {
        self.endpoints.get(&endpoint).map_or(0.0, |view| view.in_flight)
    }

    /// The number of entries in memory, bounded by the settings.
    pub fn entries(&self) -> usize {
        let forwarders: usize = self.forwarders.values().map(ForwarderRecord::entries).sum();
        forwarders + self.endpoints.len() + self.probe_scheduler.entries()
    }

    fn check_fresh(&self, from: ForwarderId, id: ReportId, fragment: Fragment) -> Result<(), HealthError> {
        let Some(record) = self.forwarders.get(&from) else { return Ok(()) };
        let is_duplicate_fragment = record.report == id && record.fragments.contains(fragment);
        if record.report > id || is_duplicate_fragment {
            return Err(HealthError::Stale);
        }
        Ok(())
    }

    fn check_capacity(&self, from: ForwarderId, report: &HealthReport) -> Result<(), HealthError> {
        let is_new = !self.forwarders.contains_key(&from);
        let too_many_forwarders = is_new && self.forwarders.len() >= self.settings.max_forwarders;
        let reported = report.endpoints.iter();
        let new_endpoints = reported.filter(|counts| !self.endpoints.contains_key(&counts.endpoint)).count();
        let too_many_endpoints = self.endpoints.len() + new_endpoints > self.settings.max_endpoints;
        if too_many_forwarders || too_many_endpoints {
            return Err(HealthError::CapacityExceeded);
        }
        Ok(())
    }

    fn on_counts(
        &mut self,
        now: Time,
        from: ForwarderId,
        record: &mut ForwarderRecord,
        counts: &EndpointCounts,
    ) {
        let endpoint = counts.endpoint;
        let view = self.endpoints.entry(endpoint).or_insert_with(|| EndpointView::new(now));
        let was_failing = view.is_failing();
        view.on_counts(now, from, counts);
        // If a report names an endpoint twice, only the last number of attempts in flight is counted.
        let counted = record.in_flight.insert(endpoint, counts.in_flight).unwrap_or(0.0);
        view.in_flight += counts.in_flight - counted;
        match (was_failing, view.is_failing()) {
            (false, true) => {
                let rate = view.rate(now);
                self.probe_scheduler.on_endpoint_failing(now, endpoint, rate);
                self.push_event("endpoint_failing", endpoint, "is failing", true);
            }
            (true, false) => {
                self.probe_scheduler.on_endpoint_recovered(endpoint);
                self.push_event("endpoint_recovered", endpoint, "answers again", false);
            }
            (true, true) => self.on_probes(now, record, counts),
            (false, false) => {}
        }
    }

    /// Counts attempts at a failing endpoint as probes. Each is counted when it is sent, because one or two
    /// seconds pass until it ends.
    fn on_probes(&mut self, now: Time, record: &ForwarderRecord, counts: &EndpointCounts) {
        let before = record.previous_in_flight.get(&counts.endpoint).copied().unwrap_or(0.0);
        let sent = (counts.in_flight - before + counts.answered + counts.failed).max(0.0);
        let outcome = if counts.answered > 0.0 { ProbeOutcome::Answered } else { ProbeOutcome::Unanswered };
        self.probe_scheduler.on_probes(now, counts.endpoint, sent, outcome);
    }

    fn push_event(&mut self, name: &'static str, endpoint: EndpointId, state: &str, is_warning: bool) {
        if self.events.len() < MAX_EVENTS {
            let message = format!("cache {:016x} {state} according to the reports of forwarders", endpoint.0);
            self.events.push_back(Event { name, message, is_warning });
        }
    }

    fn statuses_for(&mut self, now: Time, forwarder: ForwarderId) -> Vec<(EndpointId, HealthStatus)> {
        let mut statuses = Vec::new();
        for (endpoint, view) in &self.endpoints {
            let status = match view.status(now) {
                Some(HealthStatus::Failing { ago })
                    if self.probe_scheduler.is_assigned(now, *endpoint, forwarder) =>
                {
                    Some(HealthStatus::Probe { ago })
                }
                status => status,
            };
            if let Some(status) = status {
                statuses.push((*endpoint, status));
            }
        }
        statuses
    }

    /// Subtracts the attempts in flight in a forwarder's latest report from the endpoints' totals.
    fn subtract_in_flight(&mut self, record: &ForwarderRecord) {
        for (endpoint, in_flight) in &record.in_flight {
            if let Some(view) = self.endpoints.get_mut(endpoint) {
                view.in_flight -= in_flight;
            }
        }
    }

    /// Evicts forwarders without a recent report, and endpoints that no recent report names. Runs at most
    /// once per minimum interval between updates.
    fn evict_silent(&mut self, now: Time) {
        if now - self.last_eviction < self.settings.min_update_interval {
            return;
        }
        self.last_eviction = now;
        let retention = self.settings.retention;
        let silent = self.forwarders.iter().filter(|(_, record)| now - record.last_heard >= retention);
        let silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.evict_forwarder(id);
        }
        let probe_scheduler = &mut self.probe_scheduler;
        self.endpoints.retain(|endpoint, view| {
            let is_retained = now - view.last_reported < retention;
            if !is_retained {
                probe_scheduler.on_endpoint_recovered(*endpoint);
            }
            is_retained
        });
    }

    fn evict_forwarder(&mut self, id: ForwarderId) {
        let Some(record) = self.forwarders.remove(&id) else { return };
        self.subtract_in_flight(&record);
        if let Some(due) = record.update_due {
            self.update_queue.remove(&(due, id));
        }
    }
}
