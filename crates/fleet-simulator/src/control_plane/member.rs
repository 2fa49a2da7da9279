//! A simulated member of the control plane: its membership state, its endpoint health component and its
//! messages.

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::HealthMessage;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::Message;
use granitelb_coordination::{Incarnation, Member, PlannerId, Sender};

const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// A message that a member sends.
pub(super) struct OutgoingMessage {
    pub(super) to: Member,
    pub(super) sender: Sender,
    pub(super) message: Message,
}

/// A member whose endpoint health component is a `C`.
pub(super) struct MemberState<C> {
    own_id: Member,
    membership: Membership,
    pub(super) health: C,
    new_component: Box<dyn Fn(Incarnation, Time) -> C>,
    last_sequence: u64,
    /// The time for which a poll is scheduled.
    wake: Option<Time>,
}

impl<C: Component<Message = HealthMessage>> MemberState<C> {
    pub(super) fn new(
        own_id: Member,
        planners: usize,
        now: Time,
        new_component: impl Fn(Incarnation, Time) -> C + 'static,
    ) -> MemberState<C> {
        let mut membership = Membership::new(own_id, FIRST_INCARNATION, now);
        membership.set_planners(now, (0..planners).map(|n| PlannerId(n as u8)));
        MemberState {
            own_id,
            membership,
            health: new_component(FIRST_INCARNATION, now),
            new_component: Box::new(new_component),
            last_sequence: 0,
            wake: None,
        }
    }

    /// Handles a received message and returns whether it was accepted.
    pub(super) fn on_message(&mut self, now: Time, sender: Sender, message: Message) -> bool {
        if self.membership.accept(now, sender).is_err() {
            return false;
        }
        self.update_membership(now);
        match message {
            Message::Membership(message) => self.membership.on_message(now, sender, message).is_ok(),
            Message::EndpointHealth(message) => self.health.on_message(now, sender, message).is_ok(),
            _ => false,
        }
    }

    /// Returns the next message to send, if any. The health component's messages come before those of the
    /// membership.
    pub(super) fn poll_message(&mut self, now: Time) -> Option<OutgoingMessage> {
        self.update_membership(now);
        let (to, message) = if let Some((to, message)) = self.health.poll_message(now) {
            (to, Message::EndpointHealth(message))
        } else {
            let (to, message) = self.membership.poll_message(now)?;
            (to, Message::Membership(message))
        };
        self.membership.on_message_sent(now, to);
        self.last_sequence += 1;
        let incarnation = self.membership.incarnation();
        let sender = Sender { member: self.own_id, incarnation, sequence: self.last_sequence };
        Some(OutgoingMessage { to, sender, message })
    }

    /// Returns the time for which another poll must be scheduled, or `None` if the scheduled poll comes early
    /// enough.
    pub(super) fn reschedule(&mut self, now: Time) -> Option<Time> {
        let membership_timeout = self.membership.poll_timeout(now);
        let timeout = membership_timeout.into_iter().chain(self.health.poll_timeout(now)).min()?;
        let is_needed = self.wake.is_none_or(|wake| wake <= now || timeout < wake);
        if !is_needed {
            return None;
        }
        self.wake = Some(timeout);
        Some(timeout)
    }

    /// Passes changes of the membership to the health component. A member that was declared dead starts a new
    /// incarnation with a new component.
    fn update_membership(&mut self, now: Time) {
        let changed = self.membership.poll_change(now);
        if self.membership.needs_new_incarnation() {
            let incarnation = Incarnation(self.membership.incarnation().0 + 1);
            self.membership.renew(incarnation);
            self.health = (self.new_component)(incarnation, now);
            self.health.on_membership_change(now, &self.membership.alive(now));
        } else if let Some(alive) = changed {
            self.health.on_membership_change(now, &alive);
        }
    }
}
