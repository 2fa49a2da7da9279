//! The two sides as faculties.

use std::collections::{BTreeSet, VecDeque};

use granitelb_balancer::calls::ControlPlaneUpdate;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;

use super::fault::HealthError;
use super::follower::Follower;
use super::planner::{Planner, Settings};
use super::{HealthMessage, MOST_CACHES};
use crate::component::{Component, Event, HEARTBEAT_INTERVAL};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::Observation;

pub struct PlannerComponent {
    me: PlannerId,
    planner: Planner,
    /// Parts of a plan that are still to be pulled.
    parts: VecDeque<(Member, HealthMessage)>,
}

impl PlannerComponent {
    pub fn new(settings: Settings, me: PlannerId, _: Incarnation, now: Time) -> PlannerComponent {
        PlannerComponent { me, planner: Planner::new(settings, now), parts: VecDeque::new() }
    }

    /// The caches that fail, as this planner sees it.
    pub fn failing(&self) -> BTreeSet<EndpointId> {
        self.planner.failing()
    }
}

impl Component for PlannerComponent {
    type Message = HealthMessage;
    type Error = HealthError;

    fn on_message(&mut self, now: Time, from: Sender, message: HealthMessage) -> Result<(), HealthError> {
        match (from.member, message) {
            (Member::Forwarder(id), HealthMessage::Report(report)) => {
                self.planner.on_message(now, id, from.incarnation, &report)
            }
            _ => Err(HealthError::NotItsWord),
        }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        let forwarders = alive.iter().filter_map(|m| match m {
            Member::Forwarder(id) => Some(*id),
            Member::Planner(_) => None,
        });
        let before = alive.iter().filter(|m| matches!(m, Member::Planner(id) if *id < self.me)).count();
        self.planner.on_membership_change(forwarders.collect(), before);
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, HealthMessage)> {
        if self.parts.is_empty() {
            let (to, parts) = self.planner.next_plan(now)?;
            self.parts = parts.into_iter().map(|p| (Member::Forwarder(to), HealthMessage::Plan(p))).collect();
        }
        self.parts.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if self.parts.is_empty() { self.planner.next_due() } else { Some(now) }
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.planner.poll_event()
    }

    fn entries(&self) -> usize {
        self.planner.entries() + self.parts.len()
    }
}

pub struct ForwarderComponent {
    follower: Follower,
    planners: Vec<PlannerId>,
    next_report: Time,
    /// What is still to be pulled of the last report.
    letters: VecDeque<(Member, HealthMessage)>,
}

impl ForwarderComponent {
    pub fn new(_: Settings, me: ForwarderId, _: Incarnation, now: Time) -> ForwarderComponent {
        // Forwarders that start together do not all report at once.
        let next_report = now + HEARTBEAT_INTERVAL.scaled((me.0 % 1024) as f64 / 1024.0);
        ForwarderComponent {
            follower: Follower::new(),
            planners: Vec::new(),
            next_report,
            letters: VecDeque::new(),
        }
    }

    pub fn seen(&mut self, _: Time, sight: &Observation) {
        match sight {
            Observation::AttemptSent { cache, is_origin: false, .. } => self.follower.on_attempt_sent(*cache),
            Observation::AttemptFinished(end) if !end.is_origin => {
                self.follower.on_attempt_finished(end.cache, end.outcome, end.latency, end.slo);
            }
            Observation::EndpointsChanged(_)
            | Observation::AttemptSent { .. }
            | Observation::AttemptFinished(_)
            | Observation::FetchDenied => {}
        }
    }

    /// What planners say of caches now.
    pub fn advice(&self, now: Time) -> ControlPlaneUpdate {
        self.follower.advice(now)
    }

    /// The failing caches that it is this forwarder's turn to try.
    pub fn turns(&self, now: Time) -> Vec<EndpointId> {
        self.follower.turns(now)
    }
}

impl Component for ForwarderComponent {
    type Message = HealthMessage;
    type Error = HealthError;

    fn on_message(&mut self, now: Time, from: Sender, message: HealthMessage) -> Result<(), HealthError> {
        let (Member::Planner(id), HealthMessage::Plan(plan)) = (from.member, message) else {
            return Err(HealthError::NotItsWord);
        };
        plan.part.check()?;
        if plan.verdicts.len() > MOST_CACHES {
            return Err(HealthError::TooMany);
        }
        if self.follower.plan_came(now, id, from.incarnation, plan) { Ok(()) } else { Err(HealthError::Old) }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|m| match m {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        self.planners = planners.collect();
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, HealthMessage)> {
        if now >= self.next_report {
            let late = now - self.next_report;
            self.next_report = if late < HEARTBEAT_INTERVAL {
                self.next_report + HEARTBEAT_INTERVAL
            } else {
                now + HEARTBEAT_INTERVAL
            };
            // What was not pulled in a whole beat is older than what comes now.
            self.letters.clear();
            let parts = self.follower.report();
            for planner in &self.planners {
                let to = Member::Planner(*planner);
                self.letters.extend(parts.iter().map(|p| (to, HealthMessage::Report(p.clone()))));
            }
        }
        self.letters.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        Some(if self.letters.is_empty() { self.next_report } else { now })
    }

    fn entries(&self) -> usize {
        self.follower.entries() + self.planners.len() + self.letters.len()
    }
}
