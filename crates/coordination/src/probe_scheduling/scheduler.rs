//! The number of forwarders that probe each failing endpoint, and the choice of these forwarders.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::assignment::{Task, Window, assignees};
use crate::member::ForwarderId;

/// The number of windows in which attempts at an endpoint that has begun to fail are not counted as probes,
/// including the window in which it began to fail. Until all forwarders are notified, ordinary attempts still
/// go to the endpoint.
const UNCOUNTED_WINDOWS: u64 = 1;
/// A planner assigns probes after this many windows without any, for each live planner with a lower number.
const STANDBY_WINDOWS: u64 = 2;
/// The maximum share of the forwarders that is assigned initially, whatever the earlier rate of attempts
/// suggests.
const MAX_INITIAL_SHARE: f64 = 0.125;
/// The factor by which the weight of past windows decays in each window.
const DECAY_PER_WINDOW: f64 = 0.8;
/// The factor by which the number of assignees grows after an answered probe, because one more answer is
/// needed to confirm the recovery.
const GROWTH_ON_ANSWER: usize = 4;
/// The maximum factor by which the number of assignees grows from one window to the next.
const MAX_GROWTH_PER_WINDOW: usize = 2;
/// A planner stops assigning probes at this multiple of the target number of probes, if a live planner has a
/// lower number.
const EXCESS_PROBES: f64 = 2.0;
/// The lower bound of expected numbers of probes, which keeps divisors above zero.
const MIN_EXPECTED_PROBES: f64 = 1e-3;

/// The settings of the probe scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an assignment lasts. The window is long enough for an assignee to be notified, wait one
    /// second and send a probe, and otherwise short, because an assignee keeps its assignment while its
    /// failure is not known.
    pub window: Span,
    /// The target number of probes of an endpoint in a window, over the whole fleet.
    pub target_probes: f64,
    /// The maximum number of failing endpoints with assignments. Any further failing endpoint is probed by
    /// all forwarders, by their own backoff.
    pub max_endpoints: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { window: Span::from_millis(2000), target_probes: 1.5, max_endpoints: 2048 }
    }
}

impl Settings {
    fn window_at(&self, now: Time) -> Window {
        Window(now.0 / self.window.0.max(1))
    }
}

/// Whether any of the probes in a report was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// No probe was answered.
    Unanswered,
    /// At least one probe was answered.
    Answered,
}

/// The probes of one failing endpoint, and the forwarders that are assigned to send them.
struct FailingEndpoint {
    failing_since: Window,
    assignee_count: usize,
    initial_count: usize,
    /// The decaying sum of the numbers of assignees over windows.
    past_assignments: f64,
    /// The decaying sum of the probes over windows. Divided by `past_assignments`, it is the number of probes
    /// per assignee.
    past_probes: f64,
    /// The number of probes in the current window.
    probes: f64,
    /// Whether a probe was answered in the current window.
    is_answered: bool,
    /// The number of consecutive windows without a probe.
    windows_without_probes: u64,
    /// The assigned forwarders, in ascending order.
    assignees: Vec<ForwarderId>,
}

impl FailingEndpoint {
    /// Sets the number of assignees for the next window by the number of probes that assignees have sent so
    /// far.
    fn adapt(&mut self, target_probes: f64, planners_ahead: u64, member_count: usize) {
        if self.probes > 0.0 {
            self.windows_without_probes = 0;
        } else {
            self.windows_without_probes += 1;
        }
        self.past_assignments = self.past_assignments * DECAY_PER_WINDOW + self.assignee_count as f64;
        self.past_probes = self.past_probes * DECAY_PER_WINDOW + self.probes;
        self.assignee_count = self.next_count(target_probes, planners_ahead).min(member_count);
    }

    fn next_count(&self, target_probes: f64, planners_ahead: u64) -> usize {
        let max_count = (self.assignee_count * MAX_GROWTH_PER_WINDOW).max(1);
        let past_probes = self.past_probes.max(MIN_EXPECTED_PROBES);
        let sufficient_count = (target_probes * self.past_assignments / past_probes).round();
        let sufficient_count = sufficient_count.min(max_count as f64) as usize;
        if planners_ahead == 0 {
            return sufficient_count.max(1);
        }
        if self.assignee_count == 0 {
            // Recent probes show that a planner with a lower number assigns forwarders.
            let others_assign = self.windows_without_probes < STANDBY_WINDOWS * planners_ahead;
            return if others_assign { 0 } else { self.initial_count };
        }
        if self.probes >= EXCESS_PROBES * target_probes { 0 } else { sufficient_count }
    }

    fn assign(&mut self, endpoint: EndpointId, window: Window, members: &[ForwarderId]) {
        self.assignees = assignees(Task::Probe(endpoint), window, members, self.assignee_count);
        self.assignees.sort_unstable();
    }
}

/// Assigns forwarders to probe failing endpoints.
pub struct ProbeScheduler {
    settings: Settings,
    window: Window,
    members: Vec<ForwarderId>,
    /// The number of live planners with a lower number than this one.
    planners_ahead: u64,
    failing: BTreeMap<EndpointId, FailingEndpoint>,
}

impl ProbeScheduler {
    /// Creates a scheduler without any failing endpoint.
    pub fn new(settings: Settings, now: Time) -> ProbeScheduler {
        ProbeScheduler {
            settings,
            window: settings.window_at(now),
            members: Vec::new(),
            planners_ahead: 0,
            failing: BTreeMap::new(),
        }
    }

    /// Sets the live forwarders, in ascending order, and the number of live planners with a lower number than
    /// this one.
    pub fn on_membership_change(&mut self, members: Vec<ForwarderId>, planners_ahead: usize) {
        self.members = members;
        self.planners_ahead = planners_ahead as u64;
        for (endpoint, failing) in &mut self.failing {
            if self.planners_ahead == 0 {
                failing.assignee_count = failing.assignee_count.max(failing.initial_count);
            }
            failing.assign(*endpoint, self.window, &self.members);
        }
    }

    /// Starts assignments for an endpoint that has begun to fail. `rate` is the number of attempts per second
    /// that the endpoint received before, from all forwarders.
    pub fn on_endpoint_failing(&mut self, now: Time, endpoint: EndpointId, rate: f64) {
        self.advance(now);
        if self.failing.len() >= self.settings.max_endpoints || self.failing.contains_key(&endpoint) {
            return;
        }
        let initial = self.initial_count(rate);
        let initial_count = initial as usize;
        let mut failing = FailingEndpoint {
            failing_since: self.window,
            assignee_count: if self.planners_ahead == 0 { initial_count } else { 0 },
            initial_count,
            past_assignments: initial,
            past_probes: self.settings.target_probes,
            probes: 0.0,
            is_answered: false,
            windows_without_probes: 0,
            assignees: Vec::new(),
        };
        failing.assign(endpoint, self.window, &self.members);
        self.failing.insert(endpoint, failing);
    }

    /// Ends the assignments for an endpoint.
    pub fn on_endpoint_recovered(&mut self, endpoint: EndpointId) {
        self.failing.remove(&endpoint);
    }

    /// Counts probes of a failing endpoint.
    pub fn on_probes(&mut self, now: Time, endpoint: EndpointId, count: f64, outcome: ProbeOutcome) {
        self.advance(now);
        let Some(failing) = self.failing.get_mut(&endpoint) else { return };
        failing.probes += count;
        if outcome == ProbeOutcome::Answered && !failing.is_answered {
            failing.is_answered = true;
            let grown = (failing.assignee_count * GROWTH_ON_ANSWER).min(self.members.len());
            failing.assignee_count = grown.max(failing.assignee_count);
            failing.assign(endpoint, self.window, &self.members);
        }
    }

    /// Whether a forwarder is assigned to probe a failing endpoint.
    pub fn is_assigned(&mut self, now: Time, endpoint: EndpointId, forwarder: ForwarderId) -> bool {
        self.advance(now);
        let failing = self.failing.get(&endpoint);
        failing.is_some_and(|failing| failing.assignees.binary_search(&forwarder).is_ok())
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        let failing: usize = self.failing.values().map(|failing| 1 + failing.assignees.len()).sum();
        self.members.len() + failing
    }

    /// The number of forwarders that together send the target number of probes, if each continues to send its
    /// share of the earlier attempts; at least one, and at most [`MAX_INITIAL_SHARE`] of all.
    fn initial_count(&self, rate: f64) -> f64 {
        let members = self.members.len() as f64;
        let attempts_per_window = (rate * self.settings.window.as_secs_f64()).max(MIN_EXPECTED_PROBES);
        let sufficient_count = (members * self.settings.target_probes / attempts_per_window).ceil();
        sufficient_count.min((members * MAX_INITIAL_SHARE).ceil()).max(1.0)
    }

    /// Starts the window that contains `now`, unless that window has started already.
    fn advance(&mut self, now: Time) {
        let window = self.settings.window_at(now);
        if window <= self.window {
            return;
        }
        self.window = window;
        for (endpoint, failing) in &mut self.failing {
            if window.0 - failing.failing_since.0 > UNCOUNTED_WINDOWS {
                failing.adapt(self.settings.target_probes, self.planners_ahead, self.members.len());
            }
            failing.probes = 0.0;
            failing.is_answered = false;
            failing.assign(*endpoint, window, &self.members);
        }
    }
}
