//! Leases played by many forwarders and some planners over a bad network, with clocks that drift: members are killed,
//! stopped, cut off and started anew, all from a seed. An auditor of its own adds up at every event what all loops were
//! told that they may send.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use granitelb_balancer::calls::Lease;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{
    ForwarderComponent, LeaseMessage, PlannerComponent, Resource, Settings,
};
use granitelb_coordination::observation::{Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

const ORIGIN: EndpointId = EndpointId(1);
/// A forwarder that may use less than so much of its fair part goes short.
const SHORT: f64 = 0.5;
const TICK: Span = Span::from_millis(50);
/// Clocks differ in rate by up to twice this, which is within the margin.
const DRIFT: f64 = 0.004;

#[derive(Clone, Debug)]
pub struct Play {
    pub planners: u8,
    /// How many forwarders are up from when on, in seconds.
    pub up: Vec<(f64, usize)>,
    pub seconds: f64,
    /// How many fetches a second all want, as a share of what there is.
    pub wanted: f64,
    /// How uneven that is over forwarders.
    pub spread: f64,
    /// Seconds between changes of one forwarder's wants; none changes without.
    pub changes: Option<f64>,
    pub loss: f64,
    /// Troubles a second: a member is killed, stopped or cut off.
    pub troubles: f64,
    /// When all planners are dead.
    pub planners_dead: Option<(f64, f64)>,
    /// A broken variant, for the auditor's sake: planners that start wait for nothing.
    pub no_wait: bool,
    pub settings: Settings,
    pub seed: u64,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            planners: 2,
            up: vec![(0.0, 40)],
            seconds: 40.0,
            wanted: 1.2,
            spread: 1.0,
            changes: Some(8.0),
            loss: 0.1,
            troubles: 0.2,
            planners_dead: None,
            no_wait: false,
            settings: Settings { origin_capacity: 300_000, ..Settings::default() },
            seed: 1,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    /// The greatest sum of all that may be used, in parts of the whole.
    pub most: f64,
    /// Moments at which it was more than the whole.
    pub exceeded: usize,
    /// What was used over what was wanted and there, over the last quarter, and Jain's index of it over forwarders.
    pub used: f64,
    pub jain: f64,
    /// The longest that a forwarder went short, in seconds.
    pub waited: f64,
    pub letters: usize,
    pub bytes: usize,
    pub largest: usize,
    pub entries: usize,
    pub restarts: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Tick,
    Wake { who: Member, incarnation: u64 },
    Comes { letter: usize },
    Trouble,
    Starts { who: Member },
}

enum Side {
    Planner(Box<PlannerComponent>),
    Forwarder(Box<ForwarderComponent>),
}

struct Process {
    side: Option<Side>,
    incarnation: u64,
    /// Its clock's rate, and what it showed at the beginning.
    rate: f64,
    base: u64,
    wake: Option<Time>,
    stopped: Time,
    cut: Time,
    /// What the loop was told last, by its own clock.
    lease: Option<Lease>,
    want: f64,
    short_since: Option<Time>,
    used: f64,
    fair: f64,
}

impl Process {
    fn clock(&self, now: Time) -> Time {
        Time(self.base + (now.0 as f64 * self.rate) as u64)
    }

    /// Without the easing: what it may use at the most.
    fn may(&self, now: Time) -> f64 {
        self.lease.map_or(0.0, |l| if self.clock(now) < l.until { l.most } else { l.then })
    }
}

struct Fleet<'a> {
    play: &'a Play,
    now: Time,
    chance: ChaCha8Rng,
    members: BTreeMap<Member, Process>,
    letters: Vec<Option<(Member, Sender, LeaseMessage)>>,
    events: BinaryHeap<Reverse<(Time, u64, What)>>,
    order: u64,
    came: Came,
}

pub fn play(play: &Play) -> Came {
    let mut fleet = Fleet {
        play,
        now: Time(0),
        chance: ChaCha8Rng::seed_from_u64(play.seed),
        members: BTreeMap::new(),
        letters: Vec::new(),
        events: BinaryHeap::new(),
        order: 0,
        came: Came::default(),
    };
    fleet.begin();
    while let Some(Reverse((time, _, what))) = fleet.events.pop() {
        if time.0 as f64 > play.seconds * 1e6 {
            break;
        }
        fleet.now = time;
        fleet.happens(what);
        fleet.audit();
    }
    fleet.sum_up();
    fleet.came
}

impl Fleet<'_> {
    fn settings(&self) -> Settings {
        let planners = (0..self.play.planners).map(PlannerId).collect();
        Settings { planners, ..self.play.settings.clone() }
    }

    fn later(&mut self, after: Span, what: What) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, what)));
    }

    fn begin(&mut self) {
        let most = self.play.up.iter().map(|(_, n)| *n).max().unwrap_or(0);
        let planners = (0..self.play.planners).map(|p| Member::Planner(PlannerId(p)));
        let forwarders = (0..most).map(|f| Member::Forwarder(ForwarderId(f as u64)));
        for who in planners.chain(forwarders) {
            let rate = 1.0 + DRIFT * (2.0 * self.chance.random::<f64>() - 1.0);
            let base = self.chance.random_range(0..1_000_000_000_000);
            let process = Process {
                side: None,
                incarnation: 0,
                rate,
                base,
                wake: None,
                stopped: Time(0),
                cut: Time(0),
                lease: None,
                want: 0.0,
                short_since: None,
                used: 0.0,
                fair: 0.0,
            };
            self.members.insert(who, process);
            if matches!(who, Member::Planner(_)) {
                self.start(who);
            }
        }
        self.later(Span(0), What::Tick);
        self.trouble_later();
    }

    fn start(&mut self, who: Member) {
        let (settings, now) = (self.settings(), self.now);
        let alive: Vec<_> = (0..self.play.planners).map(|p| Member::Planner(PlannerId(p))).collect();
        self.draw_want(who);
        let process = self.members.get_mut(&who).expect("a member");
        process.incarnation += 1;
        process.wake = None;
        process.stopped = now;
        let (incarnation, clock) = (Incarnation(process.incarnation), process.clock(now));
        process.side = Some(match who {
            Member::Planner(id) => {
                let longest = if self.play.no_wait { Span::ZERO } else { settings.max_duration };
                let mut side = PlannerComponent::new(
                    Settings { max_duration: longest, ..settings },
                    id,
                    incarnation,
                    clock,
                );
                side.on_membership_change(clock, &alive);
                Side::Planner(Box::new(side))
            }
            Member::Forwarder(id) => {
                let mut side = ForwarderComponent::new(settings, id, incarnation, clock);
                side.on_membership_change(clock, &alive);
                side.seen(clock, &Observation::EndpointsChanged(vec![origin()]));
                process.lease = side.current_leases(clock).first().map(|a| a.1);
                Side::Forwarder(Box::new(side))
            }
        });
        self.came.restarts += 1;
        self.pull(who);
    }

    fn draw_want(&mut self, who: Member) {
        let up = self.up().max(1) as f64;
        let mean = self.play.wanted * f64::from(self.play.settings.origin_capacity) / 1000.0 / up;
        let spread =
            LogNormal::new(-self.play.spread.powi(2) / 2.0, self.play.spread).expect("a sound spread");
        let want = mean * spread.sample(&mut self.chance);
        self.members.get_mut(&who).expect("a member").want = want;
    }

    /// How many forwarders are up now.
    fn up(&self) -> usize {
        let second = self.now.0 as f64 / 1e6;
        self.play.up.iter().rev().find(|(from, _)| *from <= second).map_or(0, |(_, n)| *n)
    }

    fn trouble_later(&mut self) {
        if self.play.troubles > 0.0 {
            let gap = -(1.0 - self.chance.random::<f64>()).ln() / self.play.troubles;
            self.later(Span::from_secs_f64(gap), What::Trouble);
        }
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Tick => self.tick(),
            What::Wake { who, incarnation } => {
                let process = &self.members[&who];
                if process.incarnation == incarnation && process.stopped > self.now {
                    self.later(process.stopped - self.now, What::Wake { who, incarnation });
                } else if process.incarnation == incarnation {
                    self.pull(who);
                }
            }
            What::Comes { letter } => self.comes(letter),
            What::Trouble => self.trouble(),
            What::Starts { who } => {
                if self.members[&who].side.is_none() {
                    self.start(who);
                }
            }
        }
    }

    fn trouble(&mut self) {
        self.trouble_later();
        let up = self.up();
        let planner = self.chance.random::<f64>() < 0.4;
        let who = if planner {
            Member::Planner(PlannerId(self.chance.random_range(0..self.play.planners)))
        } else {
            Member::Forwarder(ForwarderId(self.chance.random_range(0..up.max(1)) as u64))
        };
        let lasts = Span::from_secs_f64(0.2 + 6.0 * self.chance.random::<f64>());
        let (kind, now) = (self.chance.random_range(0..3), self.now);
        let process = self.members.get_mut(&who).expect("a member");
        match kind {
            0 => {
                self.kill(who);
                self.later(lasts, What::Starts { who });
            }
            1 => process.stopped = now + lasts,
            _ => process.cut = now + lasts,
        }
    }

    fn kill(&mut self, who: Member) {
        let process = self.members.get_mut(&who).expect("a member");
        (process.side, process.lease, process.short_since) = (None, None, None);
    }

    /// Letters to send, what the loop may do from now on, and when to look again.
    fn pull(&mut self, who: Member) {
        let now = self.now;
        let process = self.members.get_mut(&who).expect("a member");
        let (clock, incarnation) = (process.clock(now), process.incarnation);
        let mut out = Vec::new();
        let (wake, entries) = match &mut process.side {
            None => return,
            Some(Side::Planner(side)) => {
                while let Some(letter) = side.poll_message(clock) {
                    out.push(letter);
                }
                (side.poll_timeout(clock), side.entries())
            }
            Some(Side::Forwarder(side)) => {
                process.lease = side.current_leases(clock).first().map(|a| a.1);
                while let Some(letter) = side.poll_message(clock) {
                    out.push(letter);
                }
                (side.poll_timeout(clock), side.entries())
            }
        };
        let rate = process.rate;
        self.came.entries = self.came.entries.max(entries);
        if let Some(at) = wake {
            let after = Span(((at - clock).0 as f64 / rate) as u64 + 1);
            if process.wake.is_none_or(|known| known <= now || now + after < known) {
                process.wake = Some(now + after);
                self.later(after, What::Wake { who, incarnation });
            }
        }
        for (to, message) in out {
            let sender = Sender { member: who, incarnation: Incarnation(incarnation), number: 0 };
            self.send(to, sender, message);
        }
    }

    fn send(&mut self, to: Member, from: Sender, message: LeaseMessage) {
        let bytes = postcard::to_allocvec(&message).map_or(0, |b| b.len());
        self.came.letters += 1;
        self.came.bytes += bytes;
        self.came.largest = self.came.largest.max(bytes);
        let copies = 1 + usize::from(self.chance.random::<f64>() < self.play.loss);
        for _ in 0..copies {
            if self.chance.random::<f64>() < self.play.loss {
                continue;
            }
            let late = self.chance.random::<f64>() < self.play.loss;
            let way = self.chance.random_range(200..if late { 3_000_000 } else { 5_000 });
            let letter = self.letters.len();
            self.letters.push(Some((to, from, message.clone())));
            self.later(Span(way), What::Comes { letter });
        }
    }

    fn comes(&mut self, n: usize) {
        let Some((to, from, message)) = self.letters[n].take() else { return };
        let now = self.now;
        let cut = |m: Member| self.members[&m].cut > now;
        if cut(to) || cut(from.member) {
            return;
        }
        let process = self.members.get_mut(&to).expect("a member");
        if process.stopped > now {
            // It waits in the socket until the process goes on.
            let after = process.stopped - now;
            self.letters[n] = Some((to, from, message));
            self.later(after, What::Comes { letter: n });
            return;
        }
        let clock = process.clock(now);
        let _ = match &mut process.side {
            None => return,
            Some(Side::Planner(side)) => side.on_message(clock, from, message),
            Some(Side::Forwarder(side)) => side.on_message(clock, from, message),
        };
        self.pull(to);
    }

    /// Forwarders come and go, want and use.
    fn tick(&mut self) {
        self.later(TICK, What::Tick);
        let (up, now) = (self.up(), self.now);
        if let Some((from, to)) = self.play.planners_dead {
            let second = now.0 as f64 / 1e6;
            for p in (0..self.play.planners).map(|p| Member::Planner(PlannerId(p))) {
                match (self.members[&p].side.is_some(), second >= from && second < to) {
                    (true, true) => self.kill(p),
                    (false, false) if second >= to && second < to + 1.0 => self.start(p),
                    _ => {}
                }
            }
        }
        let forwarders: Vec<_> = self.members.keys().filter_map(|m| number(*m).map(|n| (*m, n))).collect();
        for (who, n) in forwarders {
            let is_up = self.members[&who].side.is_some();
            if n >= up && is_up {
                self.kill(who);
            } else if n < up && self.members[&who].incarnation == 0
                || n < up && !is_up && self.play.troubles == 0.0
            {
                self.start(who);
            }
            if let Some(every) = self.play.changes
                && self.chance.random::<f64>() < TICK.as_secs_f64() / every
            {
                self.draw_want(who);
            }
            self.uses(who);
        }
        self.fairness();
    }

    fn uses(&mut self, who: Member) {
        let (now, last) = (self.now, self.now.0 as f64 > self.play.seconds * 0.75e6);
        let drawn: f64 = self.chance.random();
        let process = self.members.get_mut(&who).expect("a member");
        if process.stopped > now {
            return;
        }
        let (clock, may) = (process.clock(now), process.may(now));
        let Some(Side::Forwarder(side)) = &mut process.side else { return };
        let rate = process.want.min(may);
        // Whole fetches, by chance.
        let fetches = (rate * TICK.as_secs_f64() + drawn).floor() as usize;
        for _ in 0..fetches {
            side.seen(clock, &Observation::AttemptSent { cache: ORIGIN, is_origin: true, write: false });
        }
        let denied = ((process.want - rate).max(0.0) * TICK.as_secs_f64() + drawn).floor() as usize;
        (0..denied).for_each(|_| side.seen(clock, &Observation::FetchDenied));
        if last {
            process.used += rate;
        }
    }

    /// Each one's fair part: max-min over what is wanted now.
    fn fairness(&mut self) {
        let (now, last) = (self.now, self.now.0 as f64 > self.play.seconds * 0.75e6);
        let settings = &self.play.settings;
        let (whole, own) = (settings.capacity(Resource::Origin), settings.guaranteed_share(Resource::Origin));
        // Own parts of forwarders that are not up are nobody's.
        let idle = f64::from(own) * settings.forwarder_count.saturating_sub(self.up() as u32) as f64;
        let whole = (f64::from(whole) - idle) / 1000.0;
        let live = |p: &&mut Process| matches!(p.side, Some(Side::Forwarder(_)));
        let mut wants: Vec<_> = self.members.values_mut().filter(live).map(|p| p.want).collect();
        wants.sort_unstable_by(f64::total_cmp);
        let (mut left, mut level) = (whole, f64::MAX);
        for (n, want) in wants.iter().enumerate() {
            let even = left / (wants.len() - n) as f64;
            if *want > even {
                level = even;
                break;
            }
            left -= want;
        }
        let mut waited: f64 = 0.0;
        for process in self.members.values_mut().filter(live) {
            let fair = process.want.min(level);
            if last {
                process.fair += fair;
            }
            if process.may(now) >= SHORT * fair {
                process.short_since = None;
            } else {
                let since = *process.short_since.get_or_insert(now);
                waited = waited.max((now - since).as_secs_f64());
            }
        }
        // Planners wait after their own start.
        if now.0 > 8_000_000 {
            self.came.waited = self.came.waited.max(waited);
        }
    }

    /// The auditor: all that loops may use now, and the own parts of those that are not up.
    fn audit(&mut self) {
        let settings = &self.play.settings;
        let whole = f64::from(settings.origin_capacity) / 1000.0;
        let own = f64::from(settings.guaranteed_share(Resource::Origin)) / 1000.0;
        let forwarders = self.members.values().filter(|p| matches!(p.side, Some(Side::Forwarder(_))));
        let beyond: f64 = forwarders.map(|p| (p.may(self.now) - own).max(0.0)).sum();
        let sum = (beyond + own * f64::from(settings.forwarder_count)) / whole;
        self.came.most = self.came.most.max(sum);
        self.came.exceeded += usize::from(sum > 1.0 + 1e-9);
    }

    fn sum_up(&mut self) {
        let served: Vec<(f64, f64)> =
            self.members.values().filter(|p| p.fair > 0.0).map(|p| (p.used, p.fair)).collect();
        let (used, fair) = served.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        let parts: Vec<f64> = served.iter().map(|(u, f)| u / f).collect();
        let (sum, squares) = parts.iter().fold((0.0, 0.0), |s, p| (s.0 + p, s.1 + p * p));
        self.came.used = used / fair;
        self.came.jain = sum * sum / (parts.len() as f64 * squares);
    }
}

fn number(member: Member) -> Option<usize> {
    match member {
        Member::Forwarder(id) => Some(id.0 as usize),
        Member::Planner(_) => None,
    }
}

fn origin() -> ObservedEndpoint {
    ObservedEndpoint {
        cache: ORIGIN,
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    }
}
