//! Cold caches under the sum of what all nodes send: many nodes with the real module, caches that start in different
//! ways, and a count of the work that comes to each cold one in every window of the settings' length. A day is drawn
//! from its seed, also its settings; two runs of one seed are the same. A cache that falls is counted and serves on, so
//! that one fault can't hide the next.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{Attempt, AttemptOutcome, AttemptResult, EndpointUpdate, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

/// How cold caches come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    /// New caches join, one or many; old ones stay.
    Join,
    /// Caches start again under their ids; each node hears of it by itself, some seconds late.
    RestartHeardLate,
    /// Most caches start again, each node hears within a moment.
    FleetCold,
    /// Caches restart, and most nodes do in the middle of the ramp.
    NodesRestart,
    /// Caches restart, and once more in the middle of the ramp.
    RestartTwice,
    /// Twice the calls from the middle of the ramp on.
    Burst,
    /// One key takes a third of the calls from the middle of the ramp on.
    HotKey,
    /// The settings' multiple falls to two thirds in the middle of the ramp.
    SettingsChanged,
    /// A third of the caches is gone for some seconds and comes back cold, all at once.
    ZoneBack,
}

pub const CROSSINGS: [Crossing; 9] = [
    Crossing::Join,
    Crossing::RestartHeardLate,
    Crossing::FleetCold,
    Crossing::NodesRestart,
    Crossing::RestartTwice,
    Crossing::Burst,
    Crossing::HotKey,
    Crossing::SettingsChanged,
    Crossing::ZoneBack,
];

/// A day's terms. Times are in seconds, work in seconds of a standard core.
#[derive(Clone, Debug)]
pub struct Day {
    pub crossing: Crossing,
    pub nodes: usize,
    /// What each cache does in a second when warm.
    pub capacities: Vec<f64>,
    /// Caches that start cold, the first ones.
    pub cold: usize,
    pub load: f64,
    pub mean_work: f64,
    /// Standard deviation of the logarithm of a call's work, of a node's share of the calls.
    pub work_spread: f64,
    pub node_spread: f64,
    /// Calls tell their work.
    pub told: bool,
    /// The list tells capacities.
    pub sized: bool,
    pub multiple: f64,
    pub window: f64,
    pub cold_from: f64,
    pub warm_after: f64,
    pub slo: f64,
    pub queue: usize,
    pub keys: u64,
    pub late: (f64, f64),
    pub seed: u64,
}

/// What came of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Starts of caches, those that fell, and those whose first fall was of nodes that had been told.
    pub starts: usize,
    pub falls: usize,
    pub broken: usize,
    /// The most that came in a window, as a share of N + 2 root N + 2, where two thirds were told.
    pub fullest: f64,
    pub calls: usize,
    pub served: usize,
    /// Work sent to cold caches.
    pub sent: f64,
}

impl Day {
    pub fn drawn(crossing: Crossing, seed: u64) -> Day {
        let mut chance = ChaCha8Rng::seed_from_u64(seed ^ (crossing as u64) << 32);
        let mut within = |from: f64, to: f64| from + (to - from) * chance.random::<f64>();
        let nodes = [8, 20, 30, 100, 300][within(0.0, 5.0) as usize];
        let caches = [6, 12, 24][within(0.0, 3.0) as usize];
        let speeds = within(0.0, 1.0) < 0.5;
        let capacities: Vec<f64> = (0..caches).map(|_| if speeds { within(0.6, 1.5) } else { 1.0 }).collect();
        let part = if crossing == Crossing::FleetCold { 1.0 } else { within(0.05, 0.6) };
        let mean_work: f64 = (within(0.01_f64.ln(), 0.3_f64.ln())).exp();
        Day {
            crossing,
            nodes,
            cold: ((caches as f64 * part) as usize).clamp(1, caches),
            capacities,
            load: within(0.3, 1.1),
            mean_work,
            work_spread: within(0.0, 0.8),
            node_spread: within(0.0, 1.0),
            told: within(0.0, 1.0) < 0.6,
            sized: within(0.0, 1.0) < 0.5,
            multiple: within(1.5, 4.0),
            window: within(1.0, 4.0),
            cold_from: within(0.08, 0.5),
            warm_after: within(5.0, 25.0),
            slo: mean_work * within(2.5, 25.0),
            queue: within(2.0, 30.0) as usize,
            keys: within(30.0, 600.0) as u64,
            late: (0.2, within(0.3, 5.0)),
            seed,
        }
    }

    fn settings(&self) -> Settings {
        let request_class = RequestClass {
            slo: Span::from_secs_f64(self.slo),
            billed_value: 1.0,
            value_after_slo: 0.0,
            offered: true,
            effect: Effect::Idempotent,
        };
        Settings {
            origin: None,
            request_classes: vec![request_class],
            nodes: self.nodes as f64,
            list_on_request: false,
            max_poll_interval: Span::from_millis(10_000),
            only_draining_binds: false,
            cold_from: self.cold_from,
            warm_after: Span::from_secs_f64(self.warm_after),
            fall_multiple: self.multiple,
            fall_window: Span::from_secs_f64(self.window),
            max_attempts: 4,
            hedged_requests: false,
            may_cancel: true,
            max_retry_after: Span::from_millis(1500),
            value_by_work: false,
            steady_sizes: self.sized,
        }
    }
}

enum What {
    Call { node: usize },
    Comes { shot: ShotId, told: bool },
    Done { shot: ShotId, cache: usize, incarnation: u32 },
    Ends { shot: ShotId, outcome: AttemptOutcome },
    Wake { node: usize, incarnation: u32 },
    Start { cache: usize },
    Gone { cache: usize },
    Heard { node: usize, listing: EndpointUpdate },
    Kill { node: usize },
    Middle,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ShotId {
    node: usize,
    incarnation: u32,
    call: u64,
    number: u8,
}

struct Next(Time, u64, What);

impl PartialEq for Next {
    fn eq(&self, other: &Next) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Next) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    fn cmp(&self, other: &Next) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Node {
    balancer: Balancer,
    incarnation: u32,
    rate: f64,
    wake: Option<Time>,
    /// Work, and shots so far.
    calls: HashMap<u64, (f64, u8)>,
    /// The start of each cache that it was told of.
    knows: HashMap<usize, Time>,
}

struct Server {
    started: Option<Time>,
    ready: bool,
    free_at: Time,
    held: usize,
    incarnation: u32,
    /// Arrivals since the start and in the window: when, work in mean calls, told.
    window: VecDeque<(Time, f64, bool)>,
    fell: bool,
}

/// All is warm and learnt by then; in the middle of the ramp something else happens.
const BEGIN: f64 = 12.0;
const NET: Span = Span::from_millis(1);
const ORIGIN_OF_TIME: Time = Time(1_000_000_000);

struct World<'a> {
    day: &'a Day,
    now: Time,
    chance: ChaCha8Rng,
    work: LogNormal<f64>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<Next>>,
    made: u64,
    calls: u64,
    /// Shots whose end the node was not told: where, when and with what work.
    out: HashMap<ShotId, (usize, Time, f64)>,
    multiple: f64,
    burst: f64,
    hot: Option<u64>,
    came: Outcomes,
}

/// Plays a day through.
pub fn play(day: &Day) -> Outcomes {
    let mut world = World::new(day);
    world.run();
    world.came
}

impl World<'_> {
    fn new(day: &Day) -> World<'_> {
        let mut chance = ChaCha8Rng::seed_from_u64(day.seed);
        let spread = LogNormal::new(0.0, day.node_spread).expect("a sound spread");
        let shares: Vec<f64> = (0..day.nodes).map(|_| spread.sample(&mut chance)).collect();
        let sum: f64 = shares.iter().sum();
        let rate = day.load * day.capacities.iter().sum::<f64>() / day.mean_work;
        let joins = day.crossing == Crossing::Join;
        let server = |n: usize| Server {
            started: None,
            ready: !(joins && n < day.cold),
            free_at: ORIGIN_OF_TIME,
            held: 0,
            incarnation: 0,
            window: VecDeque::new(),
            fell: false,
        };
        let servers: Vec<_> = (0..day.capacities.len()).map(server).collect();
        let mut world = World {
            day,
            now: ORIGIN_OF_TIME,
            work: LogNormal::new(day.mean_work.ln() - day.work_spread.powi(2) / 2.0, day.work_spread)
                .expect("a sound spread"),
            nodes: Vec::new(),
            servers,
            events: BinaryHeap::new(),
            made: 0,
            calls: 0,
            out: HashMap::new(),
            multiple: day.multiple,
            burst: 1.0,
            hot: None,
            came: Outcomes::default(),
            chance,
        };
        for (n, share) in shares.into_iter().enumerate() {
            let balancer = world.fresh(n as u64);
            let rate = rate * share / sum;
            let (wake, calls, knows) = (None, HashMap::new(), HashMap::new());
            world.nodes.push(Node { balancer, incarnation: 0, rate, wake, calls, knows });
            world.next_call(n);
        }
        world.plan();
        world
    }

    /// A node's module that knows nothing but the list as it stands.
    fn fresh(&self, seed: u64) -> Balancer {
        let mut settings = self.day.settings();
        settings.fall_multiple = self.multiple;
        let mut balancer = Balancer::new(settings, self.day.seed ^ seed << 20, self.now);
        let ready = (0..self.servers.len()).filter(|n| self.servers[*n].ready);
        let list: Vec<_> = ready.map(|n| self.listing(n)).collect();
        balancer.on_endpoints_update(self.now, &list, true);
        balancer
    }

    fn listing(&self, n: usize) -> EndpointUpdate {
        EndpointUpdate {
            cache: EndpointId(n as u64),
            kind: KindId(0),
            size: if self.day.sized { self.day.capacities[n] } else { 1.0 },
            zone: ZoneId(0),
            cell: CellId(0),
            ready: self.servers[n].ready,
            draining: false,
            started: self.servers[n].started,
        }
    }

    fn later(&mut self, wait: Span, what: What) {
        self.made += 1;
        self.events.push(Reverse(Next(self.now + wait, self.made, what)));
    }

    fn within(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.chance.random::<f64>()
    }

    fn next_call(&mut self, node: usize) {
        let gap: f64 = Exp1.sample(&mut self.chance);
        let gap = gap / (self.nodes[node].rate * self.burst);
        self.later(Span::from_secs_f64(gap), What::Call { node });
    }

    fn plan(&mut self) {
        let day = self.day;
        let at = Span::from_secs_f64;
        let spread = self.within(0.0, 3.0);
        let middle = BEGIN + day.warm_after * self.within(0.1, 0.6);
        for cache in 0..day.cold {
            let away = if day.crossing == Crossing::ZoneBack { 4.0 } else { 0.3 };
            let when =
                BEGIN + if day.crossing == Crossing::ZoneBack { 0.0 } else { self.within(0.0, spread) };
            if day.crossing != Crossing::Join {
                self.later(at(when - away), What::Gone { cache });
            }
            self.later(at(when), What::Start { cache });
            if day.crossing == Crossing::RestartTwice {
                self.later(at(middle - 0.3), What::Gone { cache });
                self.later(at(middle), What::Start { cache });
            }
        }
        if day.crossing == Crossing::NodesRestart {
            for node in 0..day.nodes * 7 / 10 {
                let when = middle + self.within(0.0, 0.5);
                self.later(at(when), What::Kill { node });
            }
        }
        self.later(at(middle), What::Middle);
    }

    fn run(&mut self) {
        let end = ORIGIN_OF_TIME + Span::from_secs_f64(BEGIN + 3.0 + self.day.warm_after * 1.3);
        while let Some(Reverse(Next(at, _, what))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happens(what);
        }
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Call { node } => {
                self.next_call(node);
                self.call(node);
            }
            What::Comes { shot, told } => self.comes(shot, told),
            What::Done { shot, cache, incarnation } => {
                let server = &mut self.servers[cache];
                server.held -= usize::from(server.incarnation == incarnation);
                self.later(NET, What::Ends { shot, outcome: AttemptOutcome::Fulfilled });
            }
            What::Ends { shot, outcome } => self.ends(shot, outcome),
            What::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].wake == Some(self.now) {
                    self.nodes[node].wake = None;
                    self.pull(node);
                }
            }
            What::Start { cache } => {
                let server = &mut self.servers[cache];
                (server.started, server.ready) = (Some(self.now), true);
                (server.free_at, server.held, server.fell) = (self.now, 0, false);
                server.incarnation += 1;
                server.window.clear();
                self.came.starts += 1;
                self.tell(cache);
            }
            What::Gone { cache } => {
                self.servers[cache].ready = false;
                if self.day.crossing == Crossing::ZoneBack {
                    self.tell(cache);
                }
            }
            What::Heard { node, listing } => {
                let cache = listing.cache.0 as usize;
                if let Some(started) = listing.started.filter(|_| listing.ready) {
                    self.nodes[node].knows.insert(cache, started);
                }
                self.nodes[node].balancer.on_endpoints_update(self.now, &[listing], false);
                self.pull(node);
            }
            What::Kill { node } => {
                let balancer = self.fresh(self.made);
                let knows = self.servers.iter().enumerate().filter_map(|(n, s)| Some((n, s.started?)));
                let knows = knows.collect();
                let n = &mut self.nodes[node];
                (n.balancer, n.incarnation, n.wake, n.knows) = (balancer, n.incarnation + 1, None, knows);
                n.calls.clear();
            }
            What::Middle => match self.day.crossing {
                Crossing::Burst => self.burst = 2.0,
                // One whose best candidate is a cold cache, as the busiest node has it.
                Crossing::HotKey => {
                    let busy = (0..self.nodes.len())
                        .max_by(|a, b| self.nodes[*a].rate.total_cmp(&self.nodes[*b].rate));
                    let balancer = &self.nodes[busy.expect("a fleet has nodes")].balancer;
                    let cold = |k: &u64| {
                        balancer.ranked(Key(*k)).first().is_some_and(|c| c.0 < self.day.cold as u64)
                    };
                    self.hot = (0..self.day.keys).rev().find(cold);
                }
                Crossing::SettingsChanged => {
                    self.multiple = self.day.multiple / 1.5;
                    let settings = Settings { fall_multiple: self.multiple, ..self.day.settings() };
                    for n in 0..self.nodes.len() {
                        self.nodes[n].balancer.on_settings_update(self.now, settings.clone());
                        self.pull(n);
                    }
                }
                _ => {}
            },
        }
    }

    /// Each node hears of a line by itself.
    fn tell(&mut self, cache: usize) {
        let listing = self.listing(cache);
        let late = match self.day.crossing {
            Crossing::FleetCold => (0.2, 0.3),
            _ => self.day.late,
        };
        for node in 0..self.nodes.len() {
            let wait = self.within(late.0, late.1);
            self.later(Span::from_secs_f64(wait), What::Heard { node, listing });
        }
    }

    fn call(&mut self, node: usize) {
        let id = self.calls;
        self.calls += 1;
        let work = self.work.sample(&mut self.chance);
        // Squared, so that low ones are asked for more.
        let drawn = self.chance.random::<f64>();
        let usual = (drawn * drawn * self.day.keys as f64) as u64;
        let key = self.hot.filter(|_| self.chance.random::<f64>() < 0.33).unwrap_or(usual);
        let call = Request {
            request_class: RequestClassId(0),
            key: Key(key),
            budget: Span::from_secs_f64(self.day.slo * 2.0),
            work: self.day.told.then_some(Span::from_secs_f64(work)),
            write: false,
        };
        self.came.calls += 1;
        self.nodes[node].calls.insert(id, (work, 0));
        self.nodes[node].balancer.on_request(self.now, RequestId(id), call);
        self.pull(node);
    }

    fn pull(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        loop {
            let n = &mut self.nodes[node];
            if let Some((call, number)) = n.balancer.poll_cancellation() {
                let shot = ShotId { node, incarnation, call: call.0, number: number.0 };
                self.later(Span(1), What::Ends { shot, outcome: AttemptOutcome::Cancelled });
            } else if let Some(shot) = n.balancer.poll_attempt(self.now) {
                self.send(node, &shot);
            } else if let Some((call, _)) = n.balancer.poll_response(self.now) {
                n.calls.remove(&call.0);
            } else {
                break;
            }
        }
        let n = &mut self.nodes[node];
        if let Some(wake) = n.balancer.poll_timeout(self.now).map(|w| w.max(self.now + Span(1)))
            && n.wake.is_none_or(|w| wake < w)
        {
            n.wake = Some(wake);
            self.later(wake - self.now, What::Wake { node, incarnation });
        }
    }

    fn send(&mut self, node: usize, shot: &Attempt) {
        let cache = shot.cache.0 as usize;
        let n = &mut self.nodes[node];
        let Some((work, shots)) = n.calls.get_mut(&shot.request.0) else { return };
        let (work, number) = (*work, *shots);
        *shots += 1;
        let started = self.servers[cache].started;
        let told = started.is_none() || n.knows.get(&cache).copied() == started;
        let id = ShotId { node, incarnation: n.incarnation, call: shot.request.0, number };
        self.out.insert(id, (cache, self.now, work));
        self.later(NET, What::Comes { shot: id, told });
        self.later(shot.timeout, What::Ends { shot: id, outcome: AttemptOutcome::TimedOut });
    }

    fn warmth(&self, started: Option<Time>) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (self.now - started).as_secs_f64() / self.day.warm_after;
        self.day.cold_from + (1.0 - self.day.cold_from) * age.min(1.0)
    }

    fn comes(&mut self, shot: ShotId, told: bool) {
        let Some(&(cache, _, work)) = self.out.get(&shot) else { return };
        if !self.servers[cache].ready {
            return self.later(NET, What::Ends { shot, outcome: AttemptOutcome::Unreachable });
        }
        let warmth = self.warmth(self.servers[cache].started);
        if warmth < 1.0 {
            self.count(cache, work, told, warmth);
        }
        let speed = self.day.capacities[cache] * warmth;
        let server = &mut self.servers[cache];
        if server.held > self.day.queue {
            return self.later(NET, What::Ends { shot, outcome: AttemptOutcome::Rejected });
        }
        server.held += 1;
        server.free_at = server.free_at.max(self.now) + Span::from_secs_f64(work / speed);
        let (wait, incarnation) = (server.free_at - self.now, server.incarnation);
        self.later(wait, What::Done { shot, cache, incarnation });
    }

    /// What came to a cold cache in the window that ends now.
    fn count(&mut self, cache: usize, work: f64, told: bool, warmth: f64) {
        let (day, now) = (self.day, self.now);
        let can = self.multiple * day.capacities[cache] * warmth * day.window;
        let n = can / day.mean_work;
        let server = &mut self.servers[cache];
        server.window.push_back((now, work / day.mean_work, told));
        while server.window.front().is_some_and(|f| now - f.0 > Span::from_secs_f64(day.window)) {
            server.window.pop_front();
        }
        let all: f64 = server.window.iter().map(|w| w.1).sum();
        let of_told: f64 = server.window.iter().filter(|w| w.2).map(|w| w.1).sum();
        let most = n + 2.0 * n.sqrt() + 2.0;
        self.came.sent += work;
        if of_told > all * 2.0 / 3.0 {
            self.came.fullest = self.came.fullest.max(all / most);
        }
        if all > most && !server.fell {
            server.fell = true;
            self.came.falls += 1;
            self.came.broken += usize::from(of_told > all * 2.0 / 3.0);
        }
    }

    fn ends(&mut self, shot: ShotId, outcome: AttemptOutcome) {
        // The end that comes first is the one that counts.
        let Some((cache, sent, _)) = self.out.remove(&shot) else { return };
        let node = &mut self.nodes[shot.node];
        if node.incarnation != shot.incarnation {
            return;
        }
        let fulfilled = outcome == AttemptOutcome::Fulfilled;
        let latency = self.now - sent;
        if fulfilled
            && node.calls.remove(&shot.call).is_some()
            && latency <= Span::from_secs_f64(self.day.slo)
        {
            self.came.served += 1;
        }
        let (number, cache) = (AttemptNumber(shot.number), EndpointId(cache as u64));
        let end = AttemptResult { number, cache, outcome, latency, answered: fulfilled };
        node.balancer.on_attempt_finished(self.now, RequestId(shot.call), &end);
        self.pull(shot.node);
    }
}
