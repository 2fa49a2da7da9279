//! The forwarder's side of all coordination components, behind one interface.
//!
//! A received message is passed to the component that it addresses, and an observation to all components. The
//! results of all components for the balancer are merged into one [`ControlPlaneUpdate`]. Membership always
//! runs; any other component runs if the fleet configuration enables it. Messages for a component that does
//! not run are rejected.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;
use granitelb_balancer::{ControlPlaneUpdate, Lease};
use granitelb_coordination::component::{Component, Event};
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{
    ForwarderId, Incarnation, Member, Sender, counterfactual, endpoint_health, leases, shard_growth,
};

use super::metrics::RejectedMessage;
use crate::fleet_config::FleetConfig;

/// The operations of a forwarder's component that an agent needs in addition to [`Component`].
trait ForwarderComponent: Component {
    /// Wraps one of the component's messages for sending.
    fn wrap(message: Self::Message) -> Message;

    /// Unwraps a received message; `None` if it belongs to another component.
    fn unwrap(message: Message) -> Option<Self::Message>;

    /// Handles an observation of the event loop.
    fn on_observation(&mut self, now: Time, observation: &Observation);

    /// Adds the component's current results to an update for the balancer.
    fn add_to_update(&mut self, _now: Time, _update: &mut ControlPlaneUpdate) {}

    /// Prepares the component's last messages, after the event loop has sent its last attempt.
    fn shut_down(&mut self) {}
}

impl ForwarderComponent for endpoint_health::ForwarderComponent {
    fn wrap(message: Self::Message) -> Message {
        Message::EndpointHealth(message)
    }

    fn unwrap(message: Message) -> Option<Self::Message> {
        match message {
            Message::EndpointHealth(message) => Some(message),
            _ => None,
        }
    }

    fn on_observation(&mut self, now: Time, observation: &Observation) {
        endpoint_health::ForwarderComponent::on_observation(self, now, observation);
    }

    fn add_to_update(&mut self, now: Time, update: &mut ControlPlaneUpdate) {
        let health = self.control_plane_update(now);
        update.failing = health.failing;
        update.answering = health.answering;
    }
}

impl ForwarderComponent for leases::ForwarderComponent {
    fn wrap(message: Self::Message) -> Message {
        Message::Leases(message)
    }

    fn unwrap(message: Message) -> Option<Self::Message> {
        match message {
            Message::Leases(message) => Some(message),
            _ => None,
        }
    }

    fn on_observation(&mut self, now: Time, observation: &Observation) {
        leases::ForwarderComponent::on_observation(self, now, observation);
    }

    fn add_to_update(&mut self, now: Time, update: &mut ControlPlaneUpdate) {
        update.leases = self.current_leases(now);
    }

    fn shut_down(&mut self) {
        leases::ForwarderComponent::shut_down(self);
    }
}

impl ForwarderComponent for shard_growth::ForwarderComponent {
    fn wrap(message: Self::Message) -> Message {
        Message::ShardGrowth(message)
    }

    fn unwrap(message: Message) -> Option<Self::Message> {
        match message {
            Message::ShardGrowth(message) => Some(message),
            _ => None,
        }
    }

    fn on_observation(&mut self, now: Time, observation: &Observation) {
        shard_growth::ForwarderComponent::on_observation(self, now, observation);
    }

    fn add_to_update(&mut self, _now: Time, update: &mut ControlPlaneUpdate) {
        update.shard_map = self.shard_map();
    }
}

impl ForwarderComponent for counterfactual::ForwarderComponent {
    fn wrap(message: Self::Message) -> Message {
        Message::Counterfactual(message)
    }

    fn unwrap(message: Message) -> Option<Self::Message> {
        match message {
            Message::Counterfactual(message) => Some(message),
            _ => None,
        }
    }

    fn on_observation(&mut self, now: Time, observation: &Observation) {
        counterfactual::ForwarderComponent::on_observation(self, now, observation);
    }
}

/// A [`ForwarderComponent`] without its associated types, so that components of different types can be stored
/// together.
trait AnyComponent {
    fn on_observation(&mut self, now: Time, observation: &Observation);
    fn on_message(&mut self, now: Time, from: Sender, message: Message) -> Result<(), RejectedMessage>;
    fn on_membership_change(&mut self, now: Time, alive: &[Member]);
    fn poll_message(&mut self, now: Time) -> Option<(Member, Message)>;
    fn poll_event(&mut self) -> Option<Event>;
    fn add_to_update(&mut self, now: Time, update: &mut ControlPlaneUpdate);
    fn shut_down(&mut self);
}

impl<C: ForwarderComponent> AnyComponent for C {
    fn on_observation(&mut self, now: Time, observation: &Observation) {
        ForwarderComponent::on_observation(self, now, observation);
    }

    fn on_message(&mut self, now: Time, from: Sender, message: Message) -> Result<(), RejectedMessage> {
        let message = C::unwrap(message).ok_or(RejectedMessage::ComponentDisabled)?;
        Component::on_message(self, now, from, message).map_err(|error| RejectedMessage::by_component(&error))
    }

    fn on_membership_change(&mut self, now: Time, alive: &[Member]) {
        Component::on_membership_change(self, now, alive);
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, Message)> {
        let (to, message) = Component::poll_message(self, now)?;
        Some((to, C::wrap(message)))
    }

    fn poll_event(&mut self) -> Option<Event> {
        Component::poll_event(self)
    }

    fn add_to_update(&mut self, now: Time, update: &mut ControlPlaneUpdate) {
        ForwarderComponent::add_to_update(self, now, update);
    }

    fn shut_down(&mut self) {
        ForwarderComponent::shut_down(self);
    }
}

type ComponentMap = BTreeMap<ComponentKind, Box<dyn AnyComponent>>;

/// Creates the components that the fleet configuration enables.
fn enabled_components(
    config: &FleetConfig,
    forwarder: ForwarderId,
    incarnation: Incarnation,
    now: Time,
) -> ComponentMap {
    let mut components = ComponentMap::new();
    let health =
        endpoint_health::ForwarderComponent::new(config.health_settings(), forwarder, incarnation, now);
    components.insert(ComponentKind::EndpointHealth, Box::new(health));
    if let Some(settings) = config.lease_settings() {
        let leases = leases::ForwarderComponent::new(settings, forwarder, incarnation, now);
        components.insert(ComponentKind::Leases, Box::new(leases));
    }
    if let Some(settings) = config.growth_forwarder_settings() {
        let growth = shard_growth::ForwarderComponent::new(settings, forwarder, incarnation, now);
        components.insert(ComponentKind::ShardGrowth, Box::new(growth));
    }
    if let Some(settings) = config.counterfactual_settings() {
        let counterfactual = counterfactual::ForwarderComponent::new(settings, forwarder, incarnation, now);
        components.insert(ComponentKind::Counterfactual, Box::new(counterfactual));
    }
    components
}

/// The lease that removes an endpoint's limit: it allows more attempts than any node sends.
const UNLIMITED_LEASE: Lease = Lease { quota: 1e9, expires_at: Time(0), quota_after_expiry: 1e9 };

/// All components of one forwarder.
pub(super) struct Components {
    forwarder: ForwarderId,
    members: Membership,
    enabled: ComponentMap,
    /// The endpoints with a lease in the latest update.
    leased: Vec<EndpointId>,
    /// The endpoints that had a lease when leases were disabled. Each update removes their limits.
    unlimited: Vec<EndpointId>,
}

impl Components {
    /// Creates the components of a forwarder that starts with this incarnation.
    pub fn new(
        config: &FleetConfig,
        forwarder: ForwarderId,
        incarnation: Incarnation,
        now: Time,
    ) -> Components {
        let mut members = Membership::new(Member::Forwarder(forwarder), incarnation, now);
        members.set_planners(now, config.planners.keys().copied());
        Components {
            forwarder,
            members,
            enabled: enabled_components(config, forwarder, incarnation, now),
            leased: Vec::new(),
            unlimited: Vec::new(),
        }
    }

    /// Recreates all components except membership under a new incarnation. Membership keeps which members are
    /// alive, and which of their messages were received before.
    pub fn restart(&mut self, config: &FleetConfig, incarnation: Incarnation, now: Time) {
        self.members.renew(incarnation);
        self.members.set_planners(now, config.planners.keys().copied());
        self.enabled = enabled_components(config, self.forwarder, incarnation, now);
        if self.enabled.contains_key(&ComponentKind::Leases) {
            self.unlimited.clear();
        } else {
            self.unlimited.append(&mut self.leased);
        }
        let alive = self.members.alive(now);
        self.notify_membership_change(now, &alive);
    }

    /// Passes an observation to all components.
    pub fn on_observation(&mut self, now: Time, observation: &Observation) {
        for component in self.enabled.values_mut() {
            component.on_observation(now, observation);
        }
    }

    /// Processes a message whose signature was verified.
    pub fn on_message(&mut self, now: Time, from: Sender, message: Message) -> Result<(), RejectedMessage> {
        self.members.accept(now, from).map_err(RejectedMessage::Stale)?;
        self.update_membership(now);
        if let Message::Membership(message) = message {
            let result = self.members.on_message(now, from, message);
            return result.map_err(|error| RejectedMessage::by_component(&error));
        }
        let component = self.enabled.get_mut(&message.kind()).ok_or(RejectedMessage::ComponentDisabled)?;
        component.on_message(now, from, message)
    }

    /// Notifies all components if the set of live members has changed.
    pub fn update_membership(&mut self, now: Time) {
        if let Some(alive) = self.members.poll_change(now) {
            self.notify_membership_change(now, &alive);
        }
    }

    fn notify_membership_change(&mut self, now: Time, alive: &[Member]) {
        for component in self.enabled.values_mut() {
            component.on_membership_change(now, alive);
        }
    }

    /// Whether other members declared this member failed. The member then has to restart with a new
    /// incarnation, and leases that were granted to the current incarnation are void.
    pub fn needs_restart(&self) -> bool {
        self.members.needs_new_incarnation()
    }

    /// The lowest incarnation with which this member may restart.
    pub fn min_incarnation(&self) -> Incarnation {
        self.members.min_next_incarnation()
    }

    /// Prepares the last messages of all components, after the event loop has sent its last attempt.
    pub fn shut_down(&mut self) {
        for component in self.enabled.values_mut() {
            component.shut_down();
        }
    }

    /// The next message to send, and its receiver.
    pub fn poll_message(&mut self, now: Time) -> Option<(Member, Message)> {
        let (to, message) = self.next_message(now)?;
        self.members.on_message_sent(now, to);
        Some((to, message))
    }

    /// The next message of any component, or else of membership: heartbeats come last, since any other
    /// message replaces a heartbeat.
    fn next_message(&mut self, now: Time) -> Option<(Member, Message)> {
        for component in self.enabled.values_mut() {
            if let Some(next) = component.poll_message(now) {
                return Some(next);
            }
        }
        let (to, heartbeat) = self.members.poll_message(now)?;
        Some((to, Message::Membership(heartbeat)))
    }

    /// The next event to log.
    pub fn poll_event(&mut self) -> Option<Event> {
        if let Some(event) = self.members.poll_event() {
            return Some(event);
        }
        self.enabled.values_mut().find_map(|component| component.poll_event())
    }

    /// The update that the balancer is to apply now, with the results of all components.
    pub fn update(&mut self, now: Time) -> ControlPlaneUpdate {
        let mut update = ControlPlaneUpdate::default();
        for component in self.enabled.values_mut() {
            component.add_to_update(now, &mut update);
        }
        self.leased = update.leases.iter().map(|(endpoint, _)| *endpoint).collect();
        // The balancer keeps a lease until it gets another lease, and the event loop may miss an update.
        // While leases are disabled, each update therefore removes the limits again.
        let unlimited = self.unlimited.iter().map(|endpoint| (*endpoint, UNLIMITED_LEASE));
        update.leases.extend(unlimited);
        update
    }
}
