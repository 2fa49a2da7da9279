//! Letters between nodes and planners, what nodes tell of themselves, and what they are told. Chance is drawn apart, so
//! that with no planner a day is the same to the last call.

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint as Listed};
use granitelb_coordination::{ForwarderId, Member, PlannerId, Sender};

use super::fellows::{Forwarder, Planner, forwarder, lease_settings, planner};
use super::*;

/// A node is told so often what planners say, and after each letter.
const ADVISES: Span = Span::from_millis(200);
/// Letters take so many milliseconds.
const WAY: std::ops::Range<u64> = 1..20;
/// Members go on for so long after the day, in which its last calls end.
const AFTER: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    Planner(usize),
    Node(usize),
}

/// All that talk is made of; there is none where there are no planners.
pub struct Talk {
    chance: ChaCha8Rng,
    leased: granitelb_coordination::leases::Settings,
    nodes: Vec<Forwarder>,
    by_id: HashMap<ForwarderId, usize>,
    /// What each node has heard of the list.
    known: Vec<std::collections::BTreeMap<EndpointId, EndpointUpdate>>,
    /// None while dead.
    planners: Vec<Option<Planner>>,
}

fn id(node: usize) -> ForwarderId {
    ForwarderId::of_name(&format!("node-{node}"))
}

impl World<'_> {
    pub(super) fn begin_talk(&mut self) {
        let play = self.play;
        if play.planners == 0 {
            return;
        }
        let leased = lease_settings(play, self.origin_slots);
        let planner = |n| Some(planner(play, &leased, PlannerId(n as u8), self.now));
        let listed = self.listed.iter().map(|l| (l.cache, *l)).collect();
        self.talk = Some(Talk {
            chance: ChaCha8Rng::seed_from_u64(play.seed ^ 0x7a1c),
            nodes: (0..play.nodes).map(|n| forwarder(play, &leased, id(n), self.now)).collect(),
            by_id: (0..play.nodes).map(|n| (id(n), n)).collect(),
            known: vec![listed; play.nodes],
            planners: (0..play.planners).map(planner).collect(),
            leased,
        });
        (0..play.nodes).for_each(|n| self.tell_list(n));
        (0..play.planners)
            .for_each(|n| self.later(Span(1), What::Round { of: Seat::Planner(n), incarnation: 0 }));
        for n in 0..play.nodes {
            // Processes start one after the other.
            let talk = self.talk.as_mut().expect("made above");
            let spread = Span(talk.chance.random_range(1..500_000));
            self.later(spread, What::Round { of: Seat::Node(n), incarnation: 0 });
        }
        if let Some((from, to)) = play.planners_dead {
            let at = |s: f64| Span::from_secs_f64(play.warm_up + s);
            self.later(at(from), What::PlannersDie);
            self.later(at(to), What::PlannersReturn);
        }
    }

    pub(super) fn saw(&mut self, node: usize, sight: impl FnOnce(&Self) -> Observation) {
        if self.talk.is_none() {
            return;
        }
        let sight = sight(self);
        let now = self.now;
        self.talk.iter_mut().for_each(|t| t.nodes[node].on_observation(now, sight.clone()));
    }

    /// A node hears of a line of the list.
    pub(super) fn heard_list(&mut self, node: usize, listing: EndpointUpdate) {
        let Some(talk) = &mut self.talk else { return };
        talk.known[node].insert(listing.cache, listing);
        self.tell_list(node);
    }

    fn tell_list(&mut self, node: usize) {
        let Some(talk) = &mut self.talk else { return };
        let server = |l: &EndpointUpdate| Listed {
            cache: l.cache,
            is_origin: l.kind == KindId(1),
            zone: l.zone.0 as u16,
            size: l.size,
            started: l.started,
            warm_after: WARM_AFTER,
        };
        let servers = talk.known[node].values().filter(|l| l.ready).map(server).collect();
        talk.nodes[node].on_observation(self.now, Observation::EndpointsChanged(servers));
    }

    pub(super) fn saw_end(&mut self, shot: &Attempt, outcome: AttemptOutcome) {
        let job = shot.job;
        let latency = self.now - shot.at;
        self.saw(job.node, |world| {
            Observation::AttemptFinished(Box::new(FinishedAttempt {
                request_hash: job.call,
                number: job.number,
                key: job.key,
                request_class: RequestClassId(u16::from(job.write)),
                write: job.write,
                work: Some(world.play.work.scaled(world.popularity.size(job.key))),
                cache: EndpointId(shot.server as u64),
                is_origin: shot.server == world.origin,
                candidates: Vec::new(),
                outcome,
                latency,
                bytes: 0,
                in_flight_at_send: 0,
                slo: SLO,
            }))
        });
    }

    /// A node starts anew, and its member with it.
    pub(super) fn renew_fellow(&mut self, n: usize) {
        let Some(talk) = &mut self.talk else { return };
        talk.nodes[n] = forwarder(self.play, &talk.leased, id(n), self.now);
        talk.known[n] = self.listed.iter().map(|l| (l.cache, *l)).collect();
        self.tell_list(n);
        let incarnation = self.nodes[n].incarnation;
        self.later(Span(1), What::Round { of: Seat::Node(n), incarnation });
    }

    pub(super) fn planners_die(&mut self) {
        self.talk.iter_mut().for_each(|t| t.planners.iter_mut().for_each(|p| *p = None));
    }

    /// They know nothing of what their earlier lives granted.
    pub(super) fn planners_return(&mut self) {
        let Some(talk) = &mut self.talk else { return };
        for n in 0..talk.planners.len() {
            talk.planners[n] = Some(planner(self.play, &talk.leased, PlannerId(n as u8), self.now));
        }
        (0..self.play.planners)
            .for_each(|n| self.later(Span(1), What::Round { of: Seat::Planner(n), incarnation: 0 }));
    }

    /// A letter comes, unless whom it was to has ended since.
    pub(super) fn letter_comes(&mut self, to: Seat, incarnation: u32, sender: Sender, letter: Message) {
        let now = self.now;
        let Some(talk) = &mut self.talk else { return };
        match to {
            Seat::Planner(n) => {
                let Some(planner) = &mut talk.planners[n] else { return };
                planner.on_message(now, sender, letter);
                self.write_letters(to);
            }
            Seat::Node(n) if self.nodes[n].incarnation == incarnation => {
                if talk.nodes[n].on_message(now, sender, letter) {
                    self.advise(n);
                }
                self.write_letters(to);
            }
            Seat::Node(_) => {}
        }
    }

    /// A member's own moment has come.
    pub(super) fn round(&mut self, of: Seat, incarnation: u32) {
        if let Seat::Node(n) = of {
            if self.nodes[n].incarnation != incarnation {
                return;
            }
            self.advise(n);
        }
        self.write_letters(of);
    }

    fn advise(&mut self, n: usize) {
        let Some(talk) = &mut self.talk else { return };
        let mut advice = talk.nodes[n].advice(self.now);
        // While caches are filled the origin takes all.
        if self.now < self.network.start {
            advice.leases.clear();
        }
        if advice != ControlPlaneUpdate::default() {
            self.nodes[n].mind.on_control_plane_update(self.now, &advice);
            self.pull(n);
        }
    }

    fn zone_of(&self, seat: Seat) -> usize {
        match seat {
            Seat::Planner(n) => n % self.play.zones,
            Seat::Node(n) => self.nodes[n].zone,
        }
    }

    /// Sends what a member has to send, and says when to look at it again.
    fn write_letters(&mut self, of: Seat) {
        let now = self.now;
        let over = self.day_s(now) >= self.play.seconds + AFTER;
        let Some(mut talk) = self.talk.take().filter(|_| !over) else { return };
        let next = |talk: &mut Talk| match of {
            Seat::Planner(n) => talk.planners[n].as_mut()?.poll_message(now),
            Seat::Node(n) => talk.nodes[n].poll_message(now),
        };
        while let Some((to, sender, letter)) = next(&mut talk) {
            let (to, incarnation) = match to {
                Member::Planner(id) => (Seat::Planner(id.0.into()), 0),
                Member::Forwarder(id) => {
                    (Seat::Node(talk.by_id[&id]), self.nodes[talk.by_id[&id]].incarnation)
                }
            };
            let lost = talk.chance.random::<f64>() < self.play.loss;
            let way = Span::from_millis(talk.chance.random_range(WAY));
            self.came.letters += 1;
            if !lost && !self.network.is_cut(now, self.zone_of(of), self.zone_of(to)) {
                self.later(way, What::Message { to, incarnation, sender, letter: Box::new(letter) });
            }
        }
        let (wake, known) = match of {
            Seat::Planner(n) => match &mut talk.planners[n] {
                Some(planner) => (planner.poll_timeout(now), &mut planner.wake),
                None => (None, &mut None),
            },
            Seat::Node(n) => {
                let fellow = &mut talk.nodes[n];
                (
                    Some(fellow.poll_timeout(now).map_or(now + ADVISES, |w| w.min(now + ADVISES))),
                    &mut fellow.wake,
                )
            }
        };
        if let Some(time) = wake.filter(|w| known.is_none_or(|k| k <= now || *w < k)) {
            *known = Some(time);
            let incarnation = if let Seat::Node(n) = of { self.nodes[n].incarnation } else { 0 };
            self.later((time - now).max(Span(1)), What::Round { of, incarnation });
        }
        self.talk = Some(talk);
    }
}
