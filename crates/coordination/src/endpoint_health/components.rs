//! The planner's and the forwarder's side of endpoint health as components.

use std::collections::{BTreeSet, VecDeque};

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;

use super::HealthMessage;
use super::aggregator::{HealthAggregator, Settings};
use super::error::HealthError;
use super::merger::UpdateMerger;
use super::reporter::HealthReporter;
use crate::component::{Component, Event, HEARTBEAT_INTERVAL};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::Observation;

/// The number of offsets within an interval over which the first reports of forwarders are spread.
const REPORT_OFFSETS: u64 = 1024;

/// The planner's side: receives reports and sends updates.
pub struct PlannerComponent {
    me: PlannerId,
    aggregator: HealthAggregator,
    /// The fragments of the last update that the host has not polled yet.
    outbox: VecDeque<(Member, HealthMessage)>,
}

impl PlannerComponent {
    /// Creates the component without any report. Its state does not depend on the incarnation.
    pub fn new(settings: Settings, me: PlannerId, _: Incarnation, now: Time) -> PlannerComponent {
        PlannerComponent { me, aggregator: HealthAggregator::new(settings, now), outbox: VecDeque::new() }
    }

    /// The endpoints that are failing in this planner's view.
    pub fn failing(&self) -> BTreeSet<EndpointId> {
        self.aggregator.failing()
    }
}

impl Component for PlannerComponent {
    type Message = HealthMessage;
    type Error = HealthError;

    fn on_message(&mut self, now: Time, from: Sender, message: HealthMessage) -> Result<(), HealthError> {
        match (from.member, message) {
            (Member::Forwarder(id), HealthMessage::Report(report)) => {
                self.aggregator.on_report(now, id, from.incarnation, &report)
            }
            _ => Err(HealthError::UnauthorizedSender),
        }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        let mut forwarders = Vec::new();
        let mut planners_ahead = 0;
        for member in alive {
            match member {
                Member::Forwarder(id) => forwarders.push(*id),
                Member::Planner(id) if *id < self.me => planners_ahead += 1,
                Member::Planner(_) => {}
            }
        }
        self.aggregator.on_membership_change(forwarders, planners_ahead);
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, HealthMessage)> {
        if self.outbox.is_empty() {
            let update = self.aggregator.poll_update(now)?;
            let to = Member::Forwarder(update.to);
            self.outbox.extend(update.fragments.into_iter().map(|part| (to, HealthMessage::Update(part))));
        }
        self.outbox.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if self.outbox.is_empty() { self.aggregator.poll_timeout() } else { Some(now) }
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.aggregator.poll_event()
    }

    fn entries(&self) -> usize {
        self.aggregator.entries() + self.outbox.len()
    }
}

/// The forwarder's side: sends reports and receives updates.
pub struct ForwarderComponent {
    reporter: HealthReporter,
    merger: UpdateMerger,
    /// The live planners; each receives every report.
    planners: Vec<PlannerId>,
    next_report: Time,
    /// The fragments of the last report that the host has not polled yet.
    outbox: VecDeque<(Member, HealthMessage)>,
}

impl ForwarderComponent {
    /// Creates the component without any observation. Its state does not depend on the incarnation.
    pub fn new(_: Settings, me: ForwarderId, _: Incarnation, now: Time) -> ForwarderComponent {
        // First reports are spread over the interval, because forwarders may start at the same time.
        let offset = (me.0 % REPORT_OFFSETS) as f64 / REPORT_OFFSETS as f64;
        ForwarderComponent {
            reporter: HealthReporter::new(),
            merger: UpdateMerger::new(),
            planners: Vec::new(),
            next_report: now + HEARTBEAT_INTERVAL.scaled(offset),
            outbox: VecDeque::new(),
        }
    }

    /// Handles an observation of the forwarder's event loop.
    pub fn on_observation(&mut self, _: Time, observation: &Observation) {
        match observation {
            Observation::AttemptSent { cache, is_origin: false, .. } => {
                self.reporter.on_attempt_sent(*cache);
            }
            Observation::AttemptFinished(attempt) if !attempt.is_origin => {
                self.reporter.on_attempt_finished(
                    attempt.cache,
                    attempt.outcome,
                    attempt.latency,
                    attempt.slo,
                );
            }
            Observation::EndpointsChanged(_)
            | Observation::AttemptSent { .. }
            | Observation::AttemptFinished(_)
            | Observation::FetchDenied => {}
        }
    }

    /// The merged update of all planners, for the balancer.
    pub fn control_plane_update(&self, now: Time) -> ControlPlaneUpdate {
        self.merger.control_plane_update(now)
    }

    /// The failing endpoints that this forwarder is assigned to probe, in order.
    pub fn assigned_probes(&self, now: Time) -> Vec<EndpointId> {
        self.merger.assigned_probes(now)
    }

    fn start_report(&mut self, now: Time) {
        let delay = now - self.next_report;
        let scheduled = if delay < HEARTBEAT_INTERVAL { self.next_report } else { now };
        self.next_report = scheduled + HEARTBEAT_INTERVAL;
        // Fragments that were not polled within a whole interval are dropped, because the new report replaces
        // them.
        self.outbox.clear();
        let fragments = self.reporter.next_report();
        for planner in &self.planners {
            let to = Member::Planner(*planner);
            for fragment in &fragments {
                self.outbox.push_back((to, HealthMessage::Report(fragment.clone())));
            }
        }
    }
}

impl Component for ForwarderComponent {
    type Message = HealthMessage;
    type Error = HealthError;

    fn on_message(&mut self, now: Time, from: Sender, message: HealthMessage) -> Result<(), HealthError> {
        match (from.member, message) {
            (Member::Planner(id), HealthMessage::Update(update)) => {
                self.merger.on_update(now, id, from.incarnation, update)
            }
            _ => Err(HealthError::UnauthorizedSender),
        }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|member| match member {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        self.planners = planners.collect();
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, HealthMessage)> {
        if now >= self.next_report {
            self.start_report(now);
        }
        self.outbox.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        Some(if self.outbox.is_empty() { self.next_report } else { now })
    }

    fn entries(&self) -> usize {
        self.reporter.entries() + self.merger.entries() + self.planners.len() + self.outbox.len()
    }
}
