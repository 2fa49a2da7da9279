//! A member's letters: who lives, its side of the verdicts, and what it sends.

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Faculty;
use granitelb_coordination::endpoint_health::Message;
use granitelb_coordination::membership::Members;
use granitelb_coordination::message::Letter;
use granitelb_coordination::{Life, Member, PlannerId, Sender};

pub struct Node<V> {
    me: Member,
    members: Members,
    pub verdicts: V,
    make: Box<dyn Fn(Life, Time) -> V>,
    number: u64,
    /// When it is to be looked at next.
    pub wake: Option<Time>,
}

impl<V: Faculty<Message = Message>> Node<V> {
    pub fn new(me: Member, planners: usize, now: Time, make: impl Fn(Life, Time) -> V + 'static) -> Node<V> {
        let mut members = Members::new(me, Life(1), now);
        members.set_planners(now, (0..planners).map(|n| PlannerId(n as u8)));
        let verdicts = make(Life(1), now);
        Node { me, members, verdicts, make: Box::new(make), number: 0, wake: None }
    }

    /// Takes in a letter if it is to be heard.
    pub fn heard(&mut self, now: Time, sender: Sender, letter: Letter) -> bool {
        if self.members.take(now, sender).is_err() {
            return false;
        }
        self.goes_on(now);
        match letter {
            Letter::Members(message) => self.members.heard(now, sender, message).is_ok(),
            Letter::Verdicts(message) => self.verdicts.heard(now, sender, message).is_ok(),
            _ => false,
        }
    }

    /// The next letter to send, and to whom.
    pub fn next_letter(&mut self, now: Time) -> Option<(Member, Sender, Letter)> {
        self.goes_on(now);
        let verdict = self.verdicts.next_letter(now).map(|(to, m)| (to, Letter::Verdicts(m)));
        let (to, letter) =
            verdict.or_else(|| self.members.next_letter(now).map(|(to, m)| (to, Letter::Members(m))))?;
        self.members.sent(now, to);
        self.number += 1;
        Some((to, Sender { member: self.me, life: self.members.life(), number: self.number }, letter))
    }

    /// When to look at it again.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        self.members.next_wake(now).into_iter().chain(self.verdicts.next_wake(now)).min()
    }

    fn goes_on(&mut self, now: Time) {
        let changed = self.members.changed(now);
        if self.members.must_be_new() {
            let life = Life(self.members.life().0 + 1);
            self.members.renewed(life);
            self.verdicts = (self.make)(life, now);
            self.verdicts.members(now, &self.members.alive(now));
        } else if let Some(alive) = changed {
            self.verdicts.members(now, &alive);
        }
    }
}
