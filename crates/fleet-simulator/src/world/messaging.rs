//! Control plane messages between nodes and planners, and the members' timeouts.
//!
//! This module draws from a random generator of its own, so that a day without planners does not
//! depend on this module.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::message::Message;
use granitelb_coordination::{ForwarderId, Member, PlannerId, Sender, leases};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::World;
use super::events::EventKind;
use super::members::{Forwarder, OutgoingMessage, Planner, lease_settings, start_forwarder, start_planner};

/// The longest time between control plane updates of a node's policy, which also follow each accepted
/// message.
const UPDATE_INTERVAL: Span = Span::from_millis(200);
/// The one-way latency of a message, in milliseconds.
const MESSAGE_LATENCY_MS: Range<u64> = 1..20;
/// The time from the end of the day until members stop, in seconds. The day's last requests end in this time.
const SHUTDOWN_DELAY_S: f64 = 2.0;
/// The times of the first polls of nodes' members, in microseconds from the start.
const NODE_START_US: Range<u64> = 1..500_000;
/// A number that is combined with the scenario's seed, so that this module's draws differ from all others.
const MESSAGING_SEED: u64 = 0x7a1c;
/// The shortest delay of an event, for events that follow at once.
const MIN_DELAY: Span = Span(1);
/// The incarnation of planners in events, which do not distinguish a planner's incarnations.
const PLANNER_INCARNATION: u32 = 0;

/// Identifies a member of the control plane by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberIndex {
    Planner(usize),
    Node(usize),
}

/// The state of the control plane, which exists only if there are planners.
pub struct ControlPlane {
    rng: ChaCha8Rng,
    lease_settings: leases::Settings,
    pub nodes: Vec<Forwarder>,
    node_by_id: HashMap<ForwarderId, usize>,
    /// The endpoints that each node knows.
    pub known_endpoints: Vec<BTreeMap<EndpointId, EndpointUpdate>>,
    /// All planners; `None` for a planner that is down.
    planners: Vec<Option<Planner>>,
}

impl ControlPlane {
    fn poll_message(&mut self, member: MemberIndex, now: Time) -> Option<OutgoingMessage> {
        match member {
            MemberIndex::Planner(n) => self.planners[n].as_mut()?.poll_message(now),
            MemberIndex::Node(n) => self.nodes[n].poll_message(now),
        }
    }

    /// Returns when a new timeout event of the member is due, or `None` if the scheduled event comes early
    /// enough.
    fn schedule_wake(&mut self, member: MemberIndex, now: Time) -> Option<Time> {
        match member {
            MemberIndex::Planner(n) => {
                let planner = self.planners[n].as_mut()?;
                let due = planner.poll_timeout(now);
                planner.schedule_wake(now, due)
            }
            MemberIndex::Node(n) => {
                let node = &mut self.nodes[n];
                let next_update = now + UPDATE_INTERVAL;
                let due = node.poll_timeout(now).map_or(next_update, |due| due.min(next_update));
                node.schedule_wake(now, Some(due))
            }
        }
    }
}

fn forwarder_id(node: usize) -> ForwarderId {
    ForwarderId::of_name(&format!("node-{node}"))
}

impl World<'_> {
    pub(super) fn start_control_plane(&mut self) {
        let scenario = self.scenario;
        if scenario.planners == 0 {
            return;
        }
        let lease_settings = lease_settings(scenario, self.origin_slots);
        let new_node = |n| start_forwarder(scenario, &lease_settings, forwarder_id(n), self.now);
        let new_planner = |n| Some(start_planner(scenario, &lease_settings, PlannerId(n as u8), self.now));
        self.control_plane = Some(ControlPlane {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ MESSAGING_SEED),
            nodes: (0..scenario.nodes).map(new_node).collect(),
            node_by_id: (0..scenario.nodes).map(|n| (forwarder_id(n), n)).collect(),
            known_endpoints: vec![self.endpoints_by_id(); scenario.nodes],
            planners: (0..scenario.planners).map(new_planner).collect(),
            lease_settings,
        });
        for n in 0..scenario.nodes {
            self.observe_endpoints(n);
        }
        self.schedule_planners();
        self.schedule_nodes();
        if let Some(outage) = scenario.planner_outage {
            self.schedule(self.since_start(outage.from_s), EventKind::PlannersFail);
            self.schedule(self.since_start(outage.to_s), EventKind::PlannersReturn);
        }
    }

    fn endpoints_by_id(&self) -> BTreeMap<EndpointId, EndpointUpdate> {
        self.endpoints.iter().map(|endpoint| (endpoint.id, *endpoint)).collect()
    }

    fn schedule_planners(&mut self) {
        for n in 0..self.scenario.planners {
            self.schedule_member(MIN_DELAY, MemberIndex::Planner(n));
        }
    }

    /// Schedules the first polls of nodes' members, spread over [`NODE_START_US`].
    fn schedule_nodes(&mut self) {
        for n in 0..self.scenario.nodes {
            let Some(control_plane) = &mut self.control_plane else { return };
            let delay = Span(control_plane.rng.random_range(NODE_START_US));
            self.schedule_member(delay, MemberIndex::Node(n));
        }
    }

    fn schedule_member(&mut self, delay: Span, member: MemberIndex) {
        let incarnation = self.incarnation_of(member);
        self.schedule(delay, EventKind::MemberTimeout { member, incarnation });
    }

    fn incarnation_of(&self, member: MemberIndex) -> u32 {
        match member {
            MemberIndex::Planner(_) => PLANNER_INCARNATION,
            MemberIndex::Node(n) => self.nodes[n].incarnation,
        }
    }

    /// Restarts the member of a node that restarts.
    pub(super) fn restart_member(&mut self, n: usize) {
        let endpoints = self.endpoints_by_id();
        let Some(control_plane) = &mut self.control_plane else { return };
        let leased = &control_plane.lease_settings;
        control_plane.nodes[n] = start_forwarder(self.scenario, leased, forwarder_id(n), self.now);
        control_plane.known_endpoints[n] = endpoints;
        self.observe_endpoints(n);
        self.schedule_member(MIN_DELAY, MemberIndex::Node(n));
    }

    pub(super) fn fail_planners(&mut self) {
        if let Some(control_plane) = &mut self.control_plane {
            control_plane.planners.fill_with(|| None);
        }
    }

    /// Restarts all planners without the state of their earlier incarnations, so that they don't know the
    /// granted leases.
    pub(super) fn restart_planners(&mut self) {
        let Some(control_plane) = &mut self.control_plane else { return };
        for n in 0..control_plane.planners.len() {
            let leased = &control_plane.lease_settings;
            let restarted = start_planner(self.scenario, leased, PlannerId(n as u8), self.now);
            control_plane.planners[n] = Some(restarted);
        }
        self.schedule_planners();
    }

    /// Delivers a message, unless its receiver has stopped or restarted since the message was sent.
    pub(super) fn on_message(&mut self, to: MemberIndex, incarnation: u32, sender: Sender, message: Message) {
        if self.incarnation_of(to) != incarnation {
            return;
        }
        let now = self.now;
        let Some(control_plane) = &mut self.control_plane else { return };
        match to {
            MemberIndex::Planner(n) => {
                let Some(planner) = &mut control_plane.planners[n] else { return };
                planner.on_message(now, sender, message);
            }
            MemberIndex::Node(n) => {
                if control_plane.nodes[n].on_message(now, sender, message) {
                    self.update_policy(n);
                }
            }
        }
        self.send_messages(to);
    }

    pub(super) fn on_member_timeout(&mut self, member: MemberIndex, incarnation: u32) {
        if self.incarnation_of(member) != incarnation {
            return;
        }
        if let MemberIndex::Node(n) = member {
            self.update_policy(n);
        }
        self.send_messages(member);
    }

    fn zone_of(&self, member: MemberIndex) -> usize {
        match member {
            MemberIndex::Planner(n) => n % self.scenario.zones,
            MemberIndex::Node(n) => self.nodes[n].zone,
        }
    }

    /// Sends all pending messages of a member and schedules the member's next timeout. [`SHUTDOWN_DELAY_S`]
    /// after the end of the day, the control plane stops instead.
    fn send_messages(&mut self, from: MemberIndex) {
        let now = self.now;
        if self.day_seconds(now) >= self.scenario.duration_s + SHUTDOWN_DELAY_S {
            self.control_plane = None;
            return;
        }
        let Some(mut control_plane) = self.control_plane.take() else { return };
        while let Some(outgoing) = control_plane.poll_message(from, now) {
            self.transmit_message(&mut control_plane, from, outgoing);
        }
        if let Some(due) = control_plane.schedule_wake(from, now) {
            self.schedule_member((due - now).max(MIN_DELAY), from);
        }
        self.control_plane = Some(control_plane);
    }

    fn transmit_message(
        &mut self,
        control_plane: &mut ControlPlane,
        from: MemberIndex,
        outgoing: OutgoingMessage,
    ) {
        let to = match outgoing.to {
            Member::Planner(id) => MemberIndex::Planner(id.0.into()),
            Member::Forwarder(id) => MemberIndex::Node(control_plane.node_by_id[&id]),
        };
        let is_lost = control_plane.rng.random::<f64>() < self.scenario.message_loss;
        let latency = Span::from_millis(control_plane.rng.random_range(MESSAGE_LATENCY_MS));
        self.result.messages_sent += 1;
        if is_lost || self.network.is_partitioned(self.now, self.zone_of(from), self.zone_of(to)) {
            return;
        }
        let incarnation = self.incarnation_of(to);
        let message = Box::new(outgoing.message);
        let sender = outgoing.sender;
        self.schedule(latency, EventKind::MessageArrives { to, incarnation, sender, message });
    }
}
