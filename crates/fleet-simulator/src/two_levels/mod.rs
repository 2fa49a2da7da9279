//! Many forwarders with a module each, some planners, caches and a lossy network, in one process and in simulated
//! time. Everything is drawn from a seed; two runs of one seed are the same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{Effect, RequestClass, Settings as ModuleSettings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

use granitelb_coordination::endpoint_health::{
    ForwarderComponent, HealthMessage, HealthStatus, PlannerComponent,
};
use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::{ForwarderId, Member, PlannerId, Sender, Settings};

mod node;
mod play;

use node::Node;
pub use play::{Came, Play};

const ANSWER: Span = Span::from_millis(20);
const SLO: Span = Span::from_millis(600);
const TIMEOUT: Span = Span::from_millis(1200);
const START: Time = Time(1_000_000_000);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Call {
        forwarder: usize,
    },
    Ends {
        forwarder: usize,
        shot: ShotOut,
        outcome: u8,
    },
    Wake {
        forwarder: usize,
    },
    /// A member's letters are looked after.
    Letters {
        of: Of,
    },
    Comes {
        to: Of,
        letter: usize,
    },
    HoldersDie,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Of {
    Planner(usize),
    Forwarder(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShotOut {
    call: u64,
    number: u8,
    cache: u64,
    sent: Time,
}

struct Forwarder {
    balancer: Balancer,
    node: Node<ForwarderComponent>,
    alive: bool,
    shots: BTreeMap<u64, u8>,
    /// Shots out, by call and number.
    out: BTreeMap<(u64, u8), ShotOut>,
    /// Calls out, and when each came.
    open: BTreeMap<u64, Time>,
    wake: Option<Time>,
}

struct Fleet<'a> {
    play: &'a Play,
    now: Time,
    chance: ChaCha8Rng,
    /// For letters alone: the calls of a fleet are the same with planners and without.
    ways: ChaCha8Rng,
    forwarders: Vec<Forwarder>,
    planners: Vec<Node<PlannerComponent>>,
    events: BinaryHeap<Reverse<(Time, u64, What)>>,
    order: u64,
    calls: u64,
    secrets: Secrets,
    letters: Vec<Option<Vec<u8>>>,
    /// Answered by hung caches and by the others, by tenths of a second after the hang's end.
    after: BTreeMap<u64, (usize, usize)>,
    /// The last shot at a cache that hangs.
    last_at_hung: Time,
    died_at: Option<Time>,
    came: Came,
}

fn module_settings(play: &Play) -> ModuleSettings {
    ModuleSettings {
        origin: Some(KindId(1)),
        request_classes: vec![RequestClass {
            slo: SLO,
            billed_value: 1.0,
            value_after_slo: 0.0,
            offered: true,
            effect: Effect::Idempotent,
        }],
        nodes: play.forwarders as f64,
        list_on_request: false,
        max_poll_interval: Span::from_millis(10_000),
        only_draining_binds: false,
        cold_from: 0.2,
        warm_after: Span::from_millis(20_000),
        fall_multiple: 3.0,
        fall_window: Span::from_millis(2000),
        max_attempts: 3,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: Span::from_millis(1500),
        value_by_work: false,
        steady_sizes: false,
    }
}

/// Plays it through.
pub fn play(play: &Play) -> Came {
    let mut fleet = Fleet::new(play);
    fleet.run();
    fleet.came
}

fn at(seconds: f64) -> Time {
    START + Span::from_secs_f64(seconds)
}

impl Fleet<'_> {
    fn new(play: &Play) -> Fleet<'_> {
        let listing = |n: usize| EndpointUpdate {
            cache: EndpointId(n as u64),
            kind: KindId(u16::from(n == play.caches)),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started: None,
        };
        let listings: Vec<_> = (0..=play.caches).map(listing).collect();
        let mut chance = ChaCha8Rng::seed_from_u64(play.seed);
        let forwarder = |n: usize| {
            let mut balancer = Balancer::new(module_settings(play), play.seed ^ (n as u64) << 20, START);
            balancer.on_endpoints_update(START, &listings, true);
            let id = ForwarderId(n as u64);
            let make =
                move |incarnation, now| ForwarderComponent::new(Settings::default(), id, incarnation, now);
            let node = Node::new(Member::Forwarder(id), play.planners, START, make);
            let (shots, out, open) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
            Forwarder { balancer, node, alive: true, shots, out, open, wake: None }
        };
        let planner = |n: usize| {
            let id = PlannerId(n as u8);
            let make =
                move |incarnation, now| PlannerComponent::new(Settings::default(), id, incarnation, now);
            Node::new(Member::Planner(id), play.planners, START, make)
        };
        let mut fleet = Fleet {
            forwarders: (0..play.forwarders).map(forwarder).collect(),
            planners: (0..play.planners).map(planner).collect(),
            now: START,
            events: BinaryHeap::new(),
            order: 0,
            calls: 0,
            secrets: Secrets::single(Secret::new(b"of all that are played").expect("long enough")),
            letters: Vec::new(),
            after: BTreeMap::new(),
            last_at_hung: START,
            died_at: None,
            came: Came::default(),
            ways: ChaCha8Rng::seed_from_u64(chance.random()),
            chance,
            play,
        };
        for n in 0..play.forwarders {
            let first = fleet.gap();
            fleet.later(first, What::Call { forwarder: n });
            // Members start one after the other.
            let spread = Span((500_000.0 * fleet.chance.random::<f64>()) as u64);
            fleet.later(spread, What::Letters { of: Of::Forwarder(n) });
        }
        (0..play.planners).for_each(|n| fleet.later(Span(1), What::Letters { of: Of::Planner(n) }));
        if let Some(seconds) = play.holders_die {
            fleet.later(Span::from_secs_f64(seconds), What::HoldersDie);
        }
        fleet
    }

    fn gap(&mut self) -> Span {
        let gap: f64 = Exp1.sample(&mut self.chance);
        Span::from_secs_f64(gap / self.play.rate)
    }

    fn later(&mut self, after: Span, what: What) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, what)));
    }

    fn is_hung(&self, cache: u64) -> bool {
        let (from, to) = self.play.hang;
        (cache as usize) < self.play.hung && self.now >= at(from) && self.now < at(to)
    }

    /// When a member that stands still goes on, if it does.
    fn stands_until(&self, of: Of) -> Option<Time> {
        let Of::Planner(n) = of else { return None };
        let (from, to) = self.play.planners_dead.filter(|_| n < self.play.dead)?;
        (self.now >= at(from) && self.now < at(to)).then_some(at(to))
    }

    /// Sends a letter, which arrives after a while or never; says which it is and when it does.
    fn post(&mut self, sender: Sender, letter: &Message) -> Option<(usize, Span)> {
        let lost = self.ways.random::<f64>() < self.play.loss;
        let ms = self.ways.random_range(1..20);
        let mut bytes = message::seal(sender, letter, &self.secrets).ok().filter(|_| !lost)?;
        self.came.letters += 1;
        if self.play.spoilt > 0.0 && self.ways.random::<f64>() < self.play.spoilt {
            let bit = self.ways.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        self.came.bytes += bytes.len();
        self.letters.push(Some(bytes));
        Some((self.letters.len() - 1, Span::from_millis(ms)))
    }

    /// Opens a letter that has come, unless it is not what it says.
    fn open(&mut self, letter: usize) -> Option<(Sender, Message)> {
        let read = message::open(&self.letters[letter].take()?, &self.secrets);
        self.came.refused += usize::from(read.is_err());
        read.ok()
    }

    fn run(&mut self) {
        let end = at(self.play.seconds);
        while let Some(Reverse((time, _, what))) = self.events.pop() {
            self.now = time;
            match what {
                What::Call { forwarder } if time < end => self.call(forwarder),
                What::Letters { of } if time < end => self.letters(of),
                What::Comes { to, letter } => self.comes(to, letter),
                What::HoldersDie => self.holders_die(),
                What::Call { .. } | What::Letters { .. } => {}
                What::Ends { forwarder, shot, outcome } => self.shot_ends(forwarder, shot, outcome),
                What::Wake { forwarder } => {
                    self.forwarders[forwarder].wake = None;
                    self.pull(forwarder);
                }
            }
        }
        self.came.unsound += self.forwarders.iter().map(|f| f.open.len()).sum::<usize>();
        let well = |(_, (hung, others)): &(&u64, &(usize, usize))| {
            let (caches, ill) = (self.play.caches as f64, self.play.hung as f64);
            *others > 0 && *hung as f64 / ill >= 0.5 * *others as f64 / (caches - ill)
        };
        self.came.back_after = self.after.iter().find(well).map(|(second, _)| *second as f64);
    }

    fn call(&mut self, n: usize) {
        if !self.forwarders[n].alive {
            return;
        }
        let next = self.gap();
        self.later(next, What::Call { forwarder: n });
        let zipf = Zipf::new(self.play.keys, 0.8).expect("sound figures");
        let key = Key(zipf.sample(&mut self.chance) as u64);
        self.calls += 1;
        self.came.calls += 1;
        let id = self.calls;
        let call =
            Request { request_class: RequestClassId(0), key, budget: TIMEOUT, work: None, write: false };
        let f = &mut self.forwarders[n];
        f.open.insert(id, self.now);
        f.balancer.on_request(self.now, RequestId(id), call);
        self.pull(n);
    }

    fn shot_ends(&mut self, n: usize, shot: ShotOut, outcome: u8) {
        if !self.forwarders[n].alive {
            return;
        }
        let f = &mut self.forwarders[n];
        // One that was called off has ended already.
        if f.out.remove(&(shot.call, shot.number)).is_none() {
            return;
        }
        let outcome = [AttemptOutcome::Fulfilled, AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]
            [usize::from(outcome)];
        let mut answered = false;
        if outcome == AttemptOutcome::Fulfilled
            && let Some(came) = f.open.remove(&shot.call)
        {
            answered = true;
            self.came.fulfilled += 1;
            self.came.in_time += usize::from(self.now - came <= SLO);
        }
        let (cache, latency) = (EndpointId(shot.cache), self.now - shot.sent);
        f.node.verdicts.on_observation(self.now, &ended(shot, outcome, latency, self.play));
        let end = AttemptResult {
            number: AttemptNumber(shot.number),
            cache,
            outcome,
            latency,
            answered: answered || !f.open.contains_key(&shot.call),
        };
        f.balancer.on_attempt_finished(self.now, RequestId(shot.call), &end);
        if answered && self.now >= at(self.play.hang.1) && (shot.cache as usize) < self.play.caches {
            let second = (self.now - at(self.play.hang.1)).0 / 1_000_000;
            let count = self.after.entry(second).or_default();
            *(if (shot.cache as usize) < self.play.hung { &mut count.0 } else { &mut count.1 }) += 1;
        }
        self.pull(n);
    }

    /// Carries out what a forwarder decides until nothing is left.
    fn pull(&mut self, n: usize) {
        if !self.forwarders[n].alive {
            return;
        }
        while let Some((call, number)) = self.forwarders[n].balancer.poll_cancellation() {
            if let Some(shot) = self.forwarders[n].out.get(&(call.0, number.0)).copied() {
                self.later(Span(1), What::Ends { forwarder: n, shot, outcome: 2 });
            }
        }
        while let Some(shot) = self.forwarders[n].balancer.poll_attempt(self.now) {
            let hung = self.is_hung(shot.cache.0);
            if hung {
                self.came.wasted += 1;
                let late = self.now >= at(self.play.hang.0 + 3.0);
                self.came.wasted_late += usize::from(late);
                self.shot_at_hung();
            }
            let f = &mut self.forwarders[n];
            let is_origin = shot.cache.0 as usize == self.play.caches;
            f.node.verdicts.on_observation(
                self.now,
                &Observation::AttemptSent { cache: shot.cache, is_origin, write: false },
            );
            let number = f.shots.entry(shot.request.0).or_insert(0);
            let out = ShotOut { call: shot.request.0, number: *number, cache: shot.cache.0, sent: self.now };
            *number += 1;
            f.out.insert((out.call, out.number), out);
            let (after, outcome) = if hung { (shot.timeout, 1) } else { (ANSWER, 0) };
            self.later(after, What::Ends { forwarder: n, shot: out, outcome });
        }
        while let Some((id, answer)) = self.forwarders[n].balancer.poll_response(self.now) {
            match self.forwarders[n].open.remove(&id.0) {
                Some(_) if matches!(answer, LocalReply::Errored) => self.came.errored += 1,
                Some(_) => self.came.rate_limited += 1,
                None => self.came.unsound += 1,
            }
        }
        let wake = self.forwarders[n].balancer.poll_timeout(self.now);
        if let Some(time) = wake.filter(|w| self.forwarders[n].wake.is_none_or(|known| *w < known)) {
            self.forwarders[n].wake = Some(time);
            self.later((time - self.now).max(Span(1)), What::Wake { forwarder: n });
        }
    }

    /// For how long caches that hang were left alone.
    fn shot_at_hung(&mut self) {
        let from = self.last_at_hung.max(at(self.play.hang.0 + 4.0));
        if self.now > from {
            let quiet = (self.now - from).as_secs_f64();
            self.came.longest_quiet = Some(self.came.longest_quiet.map_or(quiet, |q| q.max(quiet)));
        }
        self.last_at_hung = self.now;
        if let Some(died) = self.died_at.take() {
            self.came.taken_over_after = Some((self.now - died).as_secs_f64());
        }
    }

    fn holders_die(&mut self) {
        let now = self.now;
        for f in self.forwarders.iter_mut().filter(|f| !f.node.verdicts.assigned_probes(now).is_empty()) {
            f.alive = false;
            f.open.clear();
            self.came.died += 1;
        }
        self.died_at = Some(now);
    }

    fn is_alive(&self, of: Of) -> bool {
        match of {
            Of::Planner(_) => true,
            Of::Forwarder(n) => self.forwarders[n].alive,
        }
    }

    /// A letter comes to a member.
    fn comes(&mut self, to: Of, letter: usize) {
        let Some((sender, letter)) = self.open(letter) else { return };
        if self.stands_until(to).is_some() || !self.is_alive(to) {
            return;
        }
        match to {
            Of::Planner(n) => {
                self.planners[n].on_message(self.now, sender, letter);
            }
            Of::Forwarder(n) => {
                let f = &mut self.forwarders[n];
                if f.node.on_message(self.now, sender, letter) {
                    let advice = f.node.verdicts.control_plane_update(self.now);
                    f.balancer.on_control_plane_update(self.now, &advice);
                    self.pull(n);
                }
            }
        }
        self.letters(to);
    }

    /// Sends what a member has to send.
    fn letters(&mut self, of: Of) {
        if !self.is_alive(of) || self.now >= at(self.play.seconds) {
            return;
        }
        if let Some(until) = self.stands_until(of) {
            self.later(until - self.now, What::Letters { of });
            return;
        }
        let now = self.now;
        while let Some((to, sender, mut letter)) = match of {
            Of::Planner(n) => self.planners[n].poll_message(now),
            Of::Forwarder(n) => self.forwarders[n].node.poll_message(now),
        } {
            if self.play.liar && matches!(of, Of::Planner(0) | Of::Forwarder(0)) {
                self.lie(&mut letter);
            }
            let Some((letter, way)) = self.post(sender, &letter) else { continue };
            let to = match to {
                Member::Planner(id) => Of::Planner(id.0.into()),
                Member::Forwarder(id) => Of::Forwarder(id.0 as usize),
            };
            self.later(way, What::Comes { to, letter });
        }
        let (wake, known) = match of {
            Of::Planner(n) => (self.planners[n].poll_timeout(now), &mut self.planners[n].wake),
            Of::Forwarder(n) => {
                (self.forwarders[n].node.poll_timeout(now), &mut self.forwarders[n].node.wake)
            }
        };
        if let Some(time) = wake.filter(|w| known.is_none_or(|k| k <= now || *w < k)) {
            *known = Some(time);
            self.later((time - now).max(Span(1)), What::Letters { of });
        }
    }

    fn lie(&self, letter: &mut Message) {
        match letter {
            Message::EndpointHealth(HealthMessage::Report(report)) => {
                report.endpoints.iter_mut().for_each(|s| (s.answered, s.failed) = (0.0, 1000.0));
            }
            Message::EndpointHealth(HealthMessage::Update(plan)) => {
                let fails = HealthStatus::Failing { ago: Span::ZERO };
                plan.statuses = (0..self.play.caches as u64).map(|c| (EndpointId(c), fails)).collect();
            }
            _ => {}
        }
    }
}

/// What the forwarder's loop tells of a shot that has ended.
fn ended(shot: ShotOut, outcome: AttemptOutcome, latency: Span, play: &Play) -> Observation {
    Observation::AttemptFinished(Box::new(FinishedAttempt {
        request_hash: shot.call,
        number: shot.number,
        key: Key(0),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache: EndpointId(shot.cache),
        is_origin: shot.cache as usize == play.caches,
        candidates: Vec::new(),
        outcome,
        latency,
        bytes: 0,
        in_flight_at_send: 0,
        slo: SLO,
    }))
}
