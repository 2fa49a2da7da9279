//! Nodes and planners as members of the control plane: each runs the enabled components and its own
//! membership state.
//!
//! `crates/control-plane` runs the same components with sealed messages; the simulator delivers messages
//! unsealed.

use std::collections::BTreeSet;

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, endpoint_health, leases};

use super::COLD_START_CAPACITY;
use crate::scenario::Scenario;

/// The leased capacity of a cache that warms up, in thousandths of a millisecond of work per second. A cache
/// has one slot, so it does one second of work per second.
const CACHE_CAPACITY: u32 = 1_000_000;

/// The components of a member. A component that the scenario disables is `None`.
struct Components<H, L> {
    health: Option<H>,
    leases: Option<L>,
}

/// A message with its sender and its receiver.
pub struct OutgoingMessage {
    pub to: Member,
    pub sender: Sender,
    pub message: Message,
}

/// A node or planner in the control plane. A member replaces its components when its incarnation changes.
pub struct SimulatedMember<H, L> {
    id: Member,
    membership: Membership,
    components: Components<H, L>,
    new_components: Box<dyn Fn(Incarnation, Time) -> Components<H, L>>,
    last_sequence: u64,
    /// The last observed endpoints, which new components must receive.
    last_endpoints: Option<Observation>,
    has_new_components: bool,
    /// The time for which the member's next poll is scheduled.
    scheduled_wake: Option<Time>,
}

/// A node in the control plane.
pub type Forwarder = SimulatedMember<endpoint_health::ForwarderComponent, leases::ForwarderComponent>;
/// A planner in the control plane.
pub type Planner = SimulatedMember<endpoint_health::PlannerComponent, leases::PlannerComponent>;

/// Returns the lease settings. The origin's capacity is its slots divided by its service time, less the work
/// of writes; the capacity of a cache that warms up is its one slot.
pub fn lease_settings(scenario: &Scenario, origin_slots: usize) -> leases::Settings {
    let origin_rate = origin_slots as f64 / scenario.origin_service_time.as_secs_f64();
    let reads = origin_rate - super::WRITE_WEIGHT * scenario.write_ratio * scenario.request_rate();
    leases::Settings {
        origin_capacity: (reads.max(0.0) * scenario.leased_capacity_factor * 1000.0) as u32,
        warming_cache_capacity: CACHE_CAPACITY,
        guaranteed_per_mille: scenario.guaranteed_per_mille,
        long_term_per_mille: scenario.long_term_per_mille,
        forwarder_count: scenario.nodes as u32,
        planners: planner_ids(scenario),
        initial_warmup_factor: COLD_START_CAPACITY,
        ..leases::Settings::default()
    }
}

fn planner_ids(scenario: &Scenario) -> BTreeSet<PlannerId> {
    (0..scenario.planners).map(|n| PlannerId(n as u8)).collect()
}

/// Returns the member of a node that starts now.
pub fn start_forwarder(
    scenario: &Scenario,
    leased: &leases::Settings,
    id: ForwarderId,
    now: Time,
) -> Forwarder {
    let enabled = scenario.control_plane;
    let leased = leased.clone();
    let new_components = move |incarnation, now| {
        let settings = endpoint_health::Settings::default();
        let health = endpoint_health::ForwarderComponent::new(settings, id, incarnation, now);
        let leases = leases::ForwarderComponent::new(leased.clone(), id, incarnation, now);
        Components {
            health: enabled.endpoint_health.then_some(health),
            leases: enabled.leases.then_some(leases),
        }
    };
    SimulatedMember::new(scenario, Member::Forwarder(id), now, new_components)
}

/// Returns a planner that starts now.
pub fn start_planner(scenario: &Scenario, leased: &leases::Settings, id: PlannerId, now: Time) -> Planner {
    let enabled = scenario.control_plane;
    let leased = leased.clone();
    let new_components = move |incarnation, now| {
        let settings = endpoint_health::Settings::default();
        let health = endpoint_health::PlannerComponent::new(settings, id, incarnation, now);
        let leases = leases::PlannerComponent::new(leased.clone(), id, incarnation, now);
        Components {
            health: enabled.endpoint_health.then_some(health),
            leases: enabled.leases.then_some(leases),
        }
    };
    SimulatedMember::new(scenario, Member::Planner(id), now, new_components)
}

impl<H, L> SimulatedMember<H, L>
where
    H: Component<Message = endpoint_health::HealthMessage>,
    L: Component<Message = leases::LeaseMessage>,
{
    /// Returns a member that starts now. Its incarnation is the time, so it is later than the incarnations of
    /// earlier starts.
    fn new(
        scenario: &Scenario,
        id: Member,
        now: Time,
        new_components: impl Fn(Incarnation, Time) -> Components<H, L> + 'static,
    ) -> Self {
        let incarnation = Incarnation(now.0);
        let mut membership = Membership::new(id, incarnation, now);
        membership.set_planners(now, planner_ids(scenario));
        SimulatedMember {
            id,
            membership,
            components: new_components(incarnation, now),
            new_components: Box::new(new_components),
            last_sequence: 0,
            last_endpoints: None,
            has_new_components: false,
            scheduled_wake: None,
        }
    }

    /// Delivers a message and returns whether the member accepted it.
    pub fn on_message(&mut self, now: Time, sender: Sender, message: Message) -> bool {
        if self.membership.accept(now, sender).is_err() {
            return false;
        }
        self.update_membership(now);
        match message {
            Message::Membership(message) => self.membership.on_message(now, sender, message).is_ok(),
            Message::EndpointHealth(message) => match &mut self.components.health {
                Some(health) => health.on_message(now, sender, message).is_ok(),
                None => false,
            },
            Message::Leases(message) => match &mut self.components.leases {
                Some(leases) => leases.on_message(now, sender, message).is_ok(),
                None => false,
            },
            _ => false,
        }
    }

    /// Returns the next message to send. Heartbeats come last, since any other message to a member serves as
    /// a heartbeat.
    pub fn poll_message(&mut self, now: Time) -> Option<OutgoingMessage> {
        self.update_membership(now);
        let (to, message) = self.poll_any_message(now)?;
        self.membership.on_message_sent(now, to);
        self.last_sequence += 1;
        let sender = Sender {
            member: self.id,
            incarnation: self.membership.incarnation(),
            sequence: self.last_sequence,
        };
        Some(OutgoingMessage { to, sender, message })
    }

    fn poll_any_message(&mut self, now: Time) -> Option<(Member, Message)> {
        if let Some(health) = &mut self.components.health
            && let Some((to, message)) = health.poll_message(now)
        {
            return Some((to, Message::EndpointHealth(message)));
        }
        if let Some(leases) = &mut self.components.leases
            && let Some((to, message)) = leases.poll_message(now)
        {
            return Some((to, Message::Leases(message)));
        }
        let (to, message) = self.membership.poll_message(now)?;
        Some((to, Message::Membership(message)))
    }

    /// Returns when the member must be polled if it has received no input until then.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        let health = self.components.health.as_ref().and_then(|health| health.poll_timeout(now));
        let leases = self.components.leases.as_ref().and_then(|leases| leases.poll_timeout(now));
        self.membership.poll_timeout(now).into_iter().chain(health).chain(leases).min()
    }

    /// Records that the member must be polled at `due`. Returns the time if a new timeout event must be
    /// scheduled for it.
    pub fn schedule_wake(&mut self, now: Time, due: Option<Time>) -> Option<Time> {
        let due = due?;
        if let Some(scheduled) = self.scheduled_wake
            && scheduled > now
            && due >= scheduled
        {
            return None;
        }
        self.scheduled_wake = Some(due);
        Some(due)
    }

    /// Notifies the components of membership changes, and replaces them if the member needs a new
    /// incarnation.
    fn update_membership(&mut self, now: Time) {
        let mut changed = self.membership.poll_change(now);
        if self.membership.needs_new_incarnation() {
            let incarnation = Incarnation(now.0.max(self.membership.incarnation().0 + 1));
            self.membership.renew(incarnation);
            self.components = (self.new_components)(incarnation, now);
            self.has_new_components = true;
            changed = Some(self.membership.alive(now));
        }
        let Some(alive) = changed else { return };
        if let Some(health) = &mut self.components.health {
            health.on_membership_change(now, &alive);
        }
        if let Some(leases) = &mut self.components.leases {
            leases.on_membership_change(now, &alive);
        }
    }
}

impl Forwarder {
    /// Passes an observation of the node's traffic or endpoints to the components.
    pub fn on_observation(&mut self, now: Time, observation: Observation) {
        if let Some(health) = &mut self.components.health {
            health.on_observation(now, &observation);
        }
        if let Some(leases) = &mut self.components.leases {
            leases.on_observation(now, &observation);
        }
        if let Observation::EndpointsChanged(_) = observation {
            self.last_endpoints = Some(observation);
        }
    }

    /// Returns the update that the node's balancer must receive now.
    pub fn control_plane_update(&mut self, now: Time) -> ControlPlaneUpdate {
        if self.has_new_components {
            self.has_new_components = false;
            if let Some(endpoints) = self.last_endpoints.take() {
                self.on_observation(now, endpoints);
            }
        }
        let mut update = match &self.components.health {
            Some(health) => health.control_plane_update(now),
            None => ControlPlaneUpdate::default(),
        };
        update.leases = match &mut self.components.leases {
            Some(leases) => leases.current_leases(now),
            None => Default::default(),
        };
        update
    }
}
