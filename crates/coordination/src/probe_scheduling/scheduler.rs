//! How many forwarders probe each failing endpoint, and which ones.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::assignment::{Task, Window, assignees};
use crate::member::ForwarderId;

/// Until all forwarders were notified, attempts that are no probes go to a failing endpoint. They are not counted in this
/// many windows, including the one in which it began to fail.
const UNCOUNTED_WINDOWS: u64 = 1;
/// A planner that is not the first assigns probes after this many windows without any, for each planner ahead of it.
const STANDBY_WINDOWS: u64 = 2;
/// The greatest share of the forwarders that are assigned at first, whatever the earlier rate of attempts suggests.
const MAX_INITIAL_SHARE: f64 = 0.125;
/// The weight of past windows decays by this factor in each window.
const DECAY_PER_WINDOW: f64 = 0.8;
/// After an answered probe the number of assignees grows by this factor: one more answer is needed to be sure.
const GROWTH_ON_ANSWER: usize = 4;
/// The factor by which the number of assignees grows at most from one window to the next.
const MAX_GROWTH_PER_WINDOW: usize = 2;
/// A planner that is not the first stops assigning at this multiple of the target number of probes.
const EXCESS_PROBES: f64 = 2.0;
/// A lower bound for expected numbers of probes, so that they can be divisors.
const MIN_EXPECTED_PROBES: f64 = 1e-3;

/// The settings of the probe scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an assignment lasts. Long enough for an assignee to be notified, wait its second and send a probe; short,
    /// since an assignee that failed unnoticed keeps its assignment.
    pub window: Span,
    /// The target number of probes of an endpoint in a window, over the fleet.
    pub target_probes: f64,
    /// The maximum number of failing endpoints with assignments. All forwarders probe further ones by their own backoff.
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

/// Whether any of the reported probes was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// None was answered.
    Unanswered,
    /// At least one was answered.
    Answered,
}

/// The probes of one failing endpoint.
struct FailingEndpoint {
    failing_since: Window,
    assignee_count: usize,
    initial_count: usize,
    /// Decaying sum of the assignments over windows.
    past_assignments: f64,
    /// Decaying sum of the probes over windows; both together are what one assignment brings.
    past_probes: f64,
    /// Probes in the current window.
    probes: f64,
    /// Whether a probe was answered in the current window.
    is_answered: bool,
    /// The number of windows in a row without a probe.
    windows_without_probes: u64,
    /// In order.
    assignees: Vec<ForwarderId>,
}

impl FailingEndpoint {
    /// Sets the number of assignees for the next window by what the assignments have brought so far.
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
        let sufficient = (target_probes * self.past_assignments / past_probes).round();
        let sufficient = sufficient.min(max_count as f64) as usize;
        if planners_ahead == 0 {
            return sufficient.max(1);
        }
        if self.assignee_count == 0 {
            // As far as probes show, a planner ahead of this one assigns them.
            let others_assign = self.windows_without_probes < STANDBY_WINDOWS * planners_ahead;
            return if others_assign { 0 } else { self.initial_count };
        }
        if self.probes >= EXCESS_PROBES * target_probes { 0 } else { sufficient }
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
    /// Live planners with a lower number than this one.
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

    /// Sets the live forwarders, in order, and the number of live planners with a lower number than this one.
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

    /// Starts assignments for an endpoint that has begun to fail. Before that it received `rate` attempts per second, over
    /// all forwarders.
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

    /// The number of forwarders that together send the target number of probes, if each goes on sending its share of the
    /// earlier attempts; at least one, and at most [`MAX_INITIAL_SHARE`] of all.
    fn initial_count(&self, rate: f64) -> f64 {
        let members = self.members.len() as f64;
        let attempts_per_window = (rate * self.settings.window.as_secs_f64()).max(MIN_EXPECTED_PROBES);
        let sufficient = (members * self.settings.target_probes / attempts_per_window).ceil();
        sufficient.min((members * MAX_INITIAL_SHARE).ceil()).max(1.0)
    }

    /// Starts the window of this time, unless it has started already.
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
