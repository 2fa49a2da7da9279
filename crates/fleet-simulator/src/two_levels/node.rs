//! A member's letters: who lives, its side of the verdicts, and what it sends.

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::HealthMessage;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::Message;
use granitelb_coordination::{Incarnation, Member, PlannerId, Sender};

pub struct Node<V> {
    me: Member,
    members: Membership,
    pub verdicts: V,
    make: Box<dyn Fn(Incarnation, Time) -> V>,
    number: u64,
    /// When it is to be looked at next.
    pub wake: Option<Time>,
}

impl<V: Component<Message = HealthMessage>> Node<V> {
    pub fn new(
        me: Member,
        planners: usize,
        now: Time,
        make: impl Fn(Incarnation, Time) -> V + 'static,
    ) -> Node<V> {
        let mut members = Membership::new(me, Incarnation(1), now);
        members.set_planners(now, (0..planners).map(|n| PlannerId(n as u8)));
        let verdicts = make(Incarnation(1), now);
        Node { me, members, verdicts, make: Box::new(make), number: 0, wake: None }
    }

    /// Takes in a letter if it is to be heard.
    pub fn on_message(&mut self, now: Time, sender: Sender, letter: Message) -> bool {
        if self.members.accept(now, sender).is_err() {
            return false;
        }
        self.goes_on(now);
        match letter {
            Message::Membership(message) => self.members.on_message(now, sender, message).is_ok(),
            Message::EndpointHealth(message) => self.verdicts.on_message(now, sender, message).is_ok(),
            _ => false,
        }
    }

    /// The next letter to send, and to whom.
    pub fn poll_message(&mut self, now: Time) -> Option<(Member, Sender, Message)> {
        self.goes_on(now);
        let verdict = self.verdicts.poll_message(now).map(|(to, m)| (to, Message::EndpointHealth(m)));
        let (to, letter) =
            verdict.or_else(|| self.members.poll_message(now).map(|(to, m)| (to, Message::Membership(m))))?;
        self.members.on_message_sent(now, to);
        self.number += 1;
        Some((
            to,
            Sender { member: self.me, incarnation: self.members.incarnation(), sequence: self.number },
            letter,
        ))
    }

    /// When to look at it again.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        self.members.poll_timeout(now).into_iter().chain(self.verdicts.poll_timeout(now)).min()
    }

    fn goes_on(&mut self, now: Time) {
        let changed = self.members.poll_change(now);
        if self.members.needs_new_incarnation() {
            let incarnation = Incarnation(self.members.incarnation().0 + 1);
            self.members.renew(incarnation);
            self.verdicts = (self.make)(incarnation, now);
            self.verdicts.on_membership_change(now, &self.members.alive(now));
        } else if let Some(alive) = changed {
            self.verdicts.on_membership_change(now, &alive);
        }
    }
}
