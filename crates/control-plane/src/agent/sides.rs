//! The forwarder's sides of all faculties, as one: letters go to the side that they are for, what the loop saw goes to
//! all, and what they say to the module is put into one advice. A faculty that the operator's file leaves out has no
//! side, and its letters are refused.

use std::collections::BTreeMap;

use granitelb_balancer::calls::{ControlPlaneUpdate, Lease};
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::{Component, Event};
use granitelb_coordination::membership::Members;
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{
    ForwarderId, Incarnation, Member, Sender, counterfactual, endpoint_health, leases, shard_growth,
};

use super::tally::Refused;
use crate::fleet_config::FleetConfig;

/// A forwarder's side, whatever its messages are.
trait Side {
    fn seen(&mut self, now: Time, sight: &Observation);
    fn on_message(&mut self, now: Time, from: Sender, letter: Message) -> Result<(), Refused>;
    fn on_membership_change(&mut self, now: Time, alive: &[Member]);
    fn poll_message(&mut self, now: Time) -> Option<(Member, Message)>;
    fn poll_event(&mut self) -> Option<Event>;

    /// Adds what it has to say to the module now.
    fn advise(&mut self, _now: Time, _advice: &mut ControlPlaneUpdate) {}

    /// The loop sends nothing more.
    fn leave(&mut self) {}
}

/// Makes a faculty's side one of these, by its kind of letters; what it says to the module is given on top.
macro_rules! side {
    ($faculty:ident, $kind:ident $(, $more:item)*) => {
        impl Side for $faculty::ForwarderComponent {
            fn seen(&mut self, now: Time, sight: &Observation) {
                $faculty::ForwarderComponent::seen(self, now, sight);
            }

            fn on_message(&mut self, now: Time, from: Sender, letter: Message) -> Result<(), Refused> {
                let Message::$kind(message) = letter else { return Err(Refused::Off) };
                Component::on_message(self, now, from, message).map_err(|fault| Refused::of("passed_over", &fault))
            }

            fn on_membership_change(&mut self, now: Time, alive: &[Member]) {
                Component::on_membership_change(self, now, alive);
            }

            fn poll_message(&mut self, now: Time) -> Option<(Member, Message)> {
                Component::poll_message(self, now).map(|(to, message)| (to, Message::$kind(message)))
            }

            fn poll_event(&mut self) -> Option<Event> {
                Component::poll_event(self)
            }

            $($more)*
        }
    };
}

side!(
    endpoint_health,
    EndpointHealth,
    fn advise(&mut self, now: Time, advice: &mut ControlPlaneUpdate) {
        let said = self.advice(now);
        (advice.failing, advice.answering) = (said.failing, said.answering);
    }
);
side!(
    leases,
    Leases,
    fn advise(&mut self, now: Time, advice: &mut ControlPlaneUpdate) {
        advice.leases = self.advice(now);
    },
    fn leave(&mut self) {
        leases::ForwarderComponent::leave(self);
    }
);
side!(
    shard_growth,
    ShardGrowth,
    fn advise(&mut self, _now: Time, advice: &mut ControlPlaneUpdate) {
        advice.table = self.shard_map();
    }
);
side!(counterfactual, Counterfactual);

type Faculties = BTreeMap<ComponentKind, Box<dyn Side>>;

fn faculties(operator: &FleetConfig, me: ForwarderId, incarnation: Incarnation, now: Time) -> Faculties {
    let mut all: Faculties = BTreeMap::new();
    let verdicts = endpoint_health::ForwarderComponent::new(operator.verdicts(), me, incarnation, now);
    all.insert(ComponentKind::EndpointHealth, Box::new(verdicts));
    if let Some(settings) = operator.leases() {
        all.insert(
            ComponentKind::Leases,
            Box::new(leases::ForwarderComponent::new(settings, me, incarnation, now)),
        );
    }
    if let Some(settings) = operator.growth_seen() {
        all.insert(
            ComponentKind::ShardGrowth,
            Box::new(shard_growth::ForwarderComponent::new(settings, me, incarnation, now)),
        );
    }
    if let Some(settings) = operator.hindsight() {
        all.insert(
            ComponentKind::Counterfactual,
            Box::new(counterfactual::ForwarderComponent::new(settings, me, incarnation, now)),
        );
    }
    all
}

/// What frees a server of its lease: more than any node sends.
const FREE: Lease = Lease { most: 1e9, until: Time(0), then: 1e9 };

pub(super) struct Sides {
    me: ForwarderId,
    members: Members,
    faculties: Faculties,
    /// Servers with a lease in the last advice, and those that had one when leases were turned off.
    leased: Vec<EndpointId>,
    freed: Vec<EndpointId>,
}

impl Sides {
    pub fn new(operator: &FleetConfig, me: ForwarderId, incarnation: Incarnation, now: Time) -> Sides {
        let mut members = Members::new(Member::Forwarder(me), incarnation, now);
        members.set_planners(now, operator.planners.keys().copied());
        let (leased, freed) = (Vec::new(), Vec::new());
        Sides { me, members, faculties: faculties(operator, me, incarnation, now), leased, freed }
    }

    /// Goes on under a new life. Who else lives, and which of their letters came already, is still known.
    pub fn renew(&mut self, operator: &FleetConfig, incarnation: Incarnation, now: Time) {
        self.members.renewed(incarnation);
        self.members.set_planners(now, operator.planners.keys().copied());
        self.faculties = faculties(operator, self.me, incarnation, now);
        if !self.faculties.contains_key(&ComponentKind::Leases) {
            self.freed.append(&mut self.leased);
        } else {
            self.freed.clear();
        }
        let alive = self.members.alive(now);
        self.faculties.values_mut().for_each(|side| side.on_membership_change(now, &alive));
    }

    pub fn seen(&mut self, now: Time, sight: &Observation) {
        self.faculties.values_mut().for_each(|side| side.seen(now, sight));
    }

    /// A letter that was signed has come.
    pub fn on_message(&mut self, now: Time, from: Sender, letter: Message) -> Result<(), Refused> {
        self.members.take(now, from).map_err(|stale| Refused::of("stale", &stale))?;
        self.tell_alive(now);
        let kind = letter.kind();
        match letter {
            Message::Membership(message) => self
                .members
                .on_message(now, from, message)
                .map_err(|fault| Refused::of("passed_over", &fault)),
            letter => self.faculties.get_mut(&kind).ok_or(Refused::Off)?.on_message(now, from, letter),
        }
    }

    /// Tells all sides where the members that live have changed.
    pub fn tell_alive(&mut self, now: Time) {
        if let Some(alive) = self.members.changed(now) {
            self.faculties.values_mut().for_each(|side| side.on_membership_change(now, &alive));
        }
    }

    /// Whether this process was taken for dead: nothing that was granted to this life counts any more.
    pub fn must_be_new(&self) -> bool {
        self.members.must_be_new()
    }

    /// The least life under which it may go on.
    pub fn least_incarnation(&self) -> Incarnation {
        self.members.least_incarnation()
    }

    pub fn leave(&mut self) {
        self.faculties.values_mut().for_each(|side| side.leave());
    }

    pub fn poll_message(&mut self, now: Time) -> Option<(Member, Message)> {
        // Beats last: any other letter is as good as one.
        let next = self.faculties.values_mut().find_map(|side| side.poll_message(now));
        let next =
            next.or_else(|| self.members.poll_message(now).map(|(to, m)| (to, Message::Membership(m))))?;
        self.members.sent(now, next.0);
        Some(next)
    }

    pub fn poll_event(&mut self) -> Option<Event> {
        let members = self.members.poll_event();
        members.or_else(|| self.faculties.values_mut().find_map(|side| side.poll_event()))
    }

    /// What is to be said to the module now.
    pub fn advice(&mut self, now: Time) -> ControlPlaneUpdate {
        let mut advice = ControlPlaneUpdate::default();
        self.faculties.values_mut().for_each(|side| side.advise(now, &mut advice));
        self.leased = advice.leases.iter().map(|(cache, _)| *cache).collect();
        // The module keeps what it was told last, and the loop may miss an advice: said for as long as they are off.
        advice.leases.extend(self.freed.iter().map(|cache| (*cache, FREE)));
        advice
    }
}
