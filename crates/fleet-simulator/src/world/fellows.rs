//! Nodes and planners as members of a fleet that decides together: each has its sides of the faculties that are on, and
//! its word of who lives. The same sides run in `crates/control-plane`; here letters are passed as they are, unsealed.

use std::collections::BTreeSet;

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, endpoint_health, leases};

use crate::play::{Play, Together};

/// Sides of either kind of member; a faculty that is off has none.
type Sides<V, L> = (Option<V>, Option<L>);

pub struct Fellow<V, L> {
    me: Member,
    members: Membership,
    verdicts: Option<V>,
    leases: Option<L>,
    make: Box<dyn Fn(Incarnation, Time) -> Sides<V, L>>,
    number: u64,
    /// The list that was told last: sides that are made anew have to know it.
    listed: Option<Observation>,
    is_new: bool,
    /// When it is to be looked at next.
    pub wake: Option<Time>,
}

pub type Forwarder = Fellow<endpoint_health::ForwarderComponent, leases::ForwarderComponent>;
pub type Planner = Fellow<endpoint_health::PlannerComponent, leases::PlannerComponent>;

/// What the model's servers stand: of the origin what writes leave of its places over its time, of a cache its one place.
pub fn lease_settings(play: &Play, origin_slots: usize) -> leases::Settings {
    let stands = origin_slots as f64 / play.origin_time.as_secs_f64();
    let reads = stands - 2.0 * play.writes * play.rate();
    leases::Settings {
        origin_capacity: (reads.max(0.0) * play.whole * 1000.0) as u32,
        warming_cache_capacity: 1_000_000,
        guaranteed_per_mille: play.reserve,
        long_term_per_mille: play.standing,
        forwarder_count: play.nodes as u32,
        planners: planners(play),
        initial_warmup_factor: super::COLD_FROM,
        ..leases::Settings::default()
    }
}

fn planners(play: &Play) -> BTreeSet<PlannerId> {
    (0..play.planners).map(|n| PlannerId(n as u8)).collect()
}

pub fn forwarder(play: &Play, leased: &leases::Settings, me: ForwarderId, now: Time) -> Forwarder {
    let (Together { verdicts, leases }, leased) = (play.together, leased.clone());
    let make = move |incarnation, now| {
        let said = endpoint_health::ForwarderComponent::new(
            endpoint_health::Settings::default(),
            me,
            incarnation,
            now,
        );
        let lease = leases::ForwarderComponent::new(leased.clone(), me, incarnation, now);
        (verdicts.then_some(said), leases.then_some(lease))
    };
    Fellow::new(play, Member::Forwarder(me), now, make)
}

pub fn planner(play: &Play, leased: &leases::Settings, me: PlannerId, now: Time) -> Planner {
    let (Together { verdicts, leases }, leased) = (play.together, leased.clone());
    let make = move |incarnation, now| {
        let says = endpoint_health::PlannerComponent::new(
            endpoint_health::Settings::default(),
            me,
            incarnation,
            now,
        );
        let grants = leases::PlannerComponent::new(leased.clone(), me, incarnation, now);
        (verdicts.then_some(says), leases.then_some(grants))
    };
    Fellow::new(play, Member::Planner(me), now, make)
}

impl<V, L> Fellow<V, L>
where
    V: Component<Message = endpoint_health::HealthMessage>,
    L: Component<Message = leases::LeaseMessage>,
{
    /// A process that starts now: its life is later than any before.
    fn new(
        play: &Play,
        me: Member,
        now: Time,
        make: impl Fn(Incarnation, Time) -> Sides<V, L> + 'static,
    ) -> Self {
        let incarnation = Incarnation(now.0);
        let mut members = Membership::new(me, incarnation, now);
        members.set_planners(now, planners(play));
        let (verdicts, leases) = make(incarnation, now);
        let make = Box::new(make);
        Fellow { me, members, verdicts, leases, make, number: 0, listed: None, is_new: false, wake: None }
    }

    /// Takes in a letter if it is to be heard.
    pub fn on_message(&mut self, now: Time, sender: Sender, letter: Message) -> bool {
        if self.members.accept(now, sender).is_err() {
            return false;
        }
        self.goes_on(now);
        match (letter, &mut self.verdicts, &mut self.leases) {
            (Message::Membership(message), ..) => self.members.on_message(now, sender, message).is_ok(),
            (Message::EndpointHealth(message), Some(side), _) => {
                side.on_message(now, sender, message).is_ok()
            }
            (Message::Leases(message), _, Some(side)) => side.on_message(now, sender, message).is_ok(),
            _ => false,
        }
    }

    /// The next letter to send, and to whom. Beats last: any other letter is as good as one.
    pub fn poll_message(&mut self, now: Time) -> Option<(Member, Sender, Message)> {
        self.goes_on(now);
        let verdict = self.verdicts.as_mut().and_then(|v| v.poll_message(now));
        let next = verdict.map(|(to, m)| (to, Message::EndpointHealth(m)));
        let mut lease = || self.leases.as_mut().and_then(|l| l.poll_message(now));
        let next = next.or_else(|| lease().map(|(to, m)| (to, Message::Leases(m))));
        let beat = || self.members.poll_message(now).map(|(to, m)| (to, Message::Membership(m)));
        let (to, letter) = next.or_else(beat)?;
        self.members.on_message_sent(now, to);
        self.number += 1;
        Some((
            to,
            Sender { member: self.me, incarnation: self.members.incarnation(), sequence: self.number },
            letter,
        ))
    }

    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        let verdicts = self.verdicts.as_ref().and_then(|v| v.poll_timeout(now));
        let leases = self.leases.as_ref().and_then(|l| l.poll_timeout(now));
        self.members.poll_timeout(now).into_iter().chain(verdicts).chain(leases).min()
    }

    fn goes_on(&mut self, now: Time) {
        let mut changed = self.members.poll_change(now);
        if self.members.needs_new_incarnation() {
            let incarnation = Incarnation(now.0.max(self.members.incarnation().0 + 1));
            self.members.renew(incarnation);
            (self.verdicts, self.leases) = (self.make)(incarnation, now);
            self.is_new = true;
            changed = Some(self.members.alive(now));
        }
        let Some(alive) = changed else { return };
        self.verdicts.iter_mut().for_each(|v| v.on_membership_change(now, &alive));
        self.leases.iter_mut().for_each(|l| l.on_membership_change(now, &alive));
    }
}

impl Forwarder {
    pub fn on_observation(&mut self, now: Time, sight: Observation) {
        self.verdicts.iter_mut().for_each(|v| v.on_observation(now, &sight));
        self.leases.iter_mut().for_each(|l| l.on_observation(now, &sight));
        if let Observation::EndpointsChanged(_) = sight {
            self.listed = Some(sight);
        }
    }

    /// What is to be said to the module now.
    pub fn advice(&mut self, now: Time) -> ControlPlaneUpdate {
        if std::mem::take(&mut self.is_new)
            && let Some(listed) = self.listed.take()
        {
            self.on_observation(now, listed);
        }
        let mut advice = self.verdicts.as_ref().map(|v| v.control_plane_update(now)).unwrap_or_default();
        advice.leases = self.leases.as_mut().map(|l| l.current_leases(now)).unwrap_or_default();
        advice
    }
}
