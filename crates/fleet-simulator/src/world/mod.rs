//! The fleet as it runs: events in order of time, nodes, servers and what passes between them.

mod events;
mod fellows;
mod nodes;
mod servers;
mod talk;
mod troubles;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};

use crate::came::Came;
use crate::faults::Kind;
use crate::mind::{Mind, Order};
use crate::network::Network;
use crate::play::{MOST_SHOTS, Play, READ_TIMEOUT, SLO, WRITE_TIMEOUT};
use crate::popularity::Popularity;
use crate::server::{Job, Server};

use events::{Next, ShotId, What};
use talk::Talk;

const START: Time = Time(1_000_000_000);
const COLD_FROM: f64 = 0.25;
const WARM_AFTER: Span = Span::from_millis(20_000);
/// A client that does not heed the time to come back, or was told none, waits so long.
const BACKOFF: Span = Span::from_millis(60);
/// Connections that were idle for longer than this share of the servers' limit are not used.
const IDLE_SHARE: f64 = 0.7;

struct Call {
    first: Time,
    deadline: Time,
    key: Key,
    write: bool,
    again: bool,
    shots: u8,
    out: usize,
    missed: Vec<usize>,
}

struct Attempt {
    server: usize,
    at: Time,
    /// Its connection is up, and so may be used again.
    up: bool,
    job: Job,
}

struct Node {
    mind: Mind,
    zone: usize,
    rate: f64,
    incarnation: u32,
    calls: HashMap<u64, Call>,
    shots: HashMap<(u64, u8), Attempt>,
    idle: HashMap<usize, Vec<Time>>,
    wake: Option<Time>,
}

struct World<'a> {
    play: &'a Play,
    network: Network<'a>,
    now: Time,
    chance: ChaCha8Rng,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    listed: Vec<EndpointUpdate>,
    origin: usize,
    origin_slots: usize,
    popularity: Popularity,
    events: BinaryHeap<Reverse<Next>>,
    order: u64,
    calls: u64,
    talk: Option<Talk>,
    came: Came,
}

/// Plays it through.
pub fn play(play: &Play) -> Came {
    let mut world = World::new(play);
    world.run();
    world.came
}

/// What every node is told of the site.
fn settings(play: &Play) -> Settings {
    let request_class = |billed_value, effect| RequestClass {
        slo: SLO,
        billed_value,
        value_after_slo: 0.0,
        offered: true,
        effect,
    };
    let window = Span::from_millis(3000);
    let dropped = Effect::Deduplicated { scope: DedupScope::All, window };
    Settings {
        origin: Some(KindId(1)),
        request_classes: vec![request_class(1.0, Effect::Idempotent), request_class(2.0, dropped)],
        nodes: play.nodes as f64,
        list_on_request: false,
        max_poll_interval: Span::from_millis(10_000),
        only_draining_binds: false,
        cold_from: COLD_FROM,
        warm_after: WARM_AFTER,
        fall_multiple: 3.0,
        fall_window: Span::from_millis(2000),
        max_attempts: MOST_SHOTS,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: Span::from_millis(1500),
        value_by_work: true,
        steady_sizes: false,
    }
}

impl World<'_> {
    fn new(play: &Play) -> World<'_> {
        let mut chance = ChaCha8Rng::seed_from_u64(play.seed);
        let popularity = Popularity::new(play);
        let keeps = (popularity.pooled(play).1 / play.caches as f64).ceil() as usize;
        let cache = |n: usize, chance: &mut ChaCha8Rng| {
            let queue = chance.random_range(play.queue.0..=play.queue.1);
            Server::new(n % play.zones, 1, queue, 0.9 + 0.2 * chance.random::<f64>(), keeps)
        };
        let mut servers: Vec<_> = (0..play.caches).map(|n| cache(n, &mut chance)).collect();
        // What misses and writes ask of the origin on a usual day.
        let asked = play.rate() * ((1.0 - play.writes) * (1.0 - play.hits) + play.writes * 2.0);
        let slots = (asked * play.origin_headroom * play.origin_time.as_secs_f64()).ceil() as usize;
        let origin = servers.len();
        servers.push(Server::new(usize::from(play.zones > 1), 1_000_000, slots * 4, 1.0, 0));
        let spread = LogNormal::new(0.0, play.node_spread).expect("a sound spread");
        let shares: Vec<f64> = (0..play.nodes).map(|_| spread.sample(&mut chance)).collect();
        let total: f64 = shares.iter().sum();
        let mut world = World {
            play,
            network: Network { play, start: START + Span::from_secs_f64(play.warm_up) },
            now: START,
            nodes: Vec::new(),
            servers,
            listed: Vec::new(),
            origin,
            origin_slots: slots,
            popularity,
            events: BinaryHeap::new(),
            order: 0,
            calls: 0,
            talk: None,
            came: Came::of(play.seconds),
            chance,
        };
        world.listed = (0..=origin).map(|n| world.listing(n)).collect();
        for (n, share) in shares.iter().enumerate() {
            let mut mind = Mind::new(play.policy, settings(play), play.seed ^ (n as u64) << 20, START);
            mind.listed(START, &world.listed, true);
            let rate = play.rate() * share / total;
            let (calls, shots, idle) = (HashMap::new(), HashMap::new(), HashMap::new());
            world.nodes.push(Node {
                mind,
                zone: n % play.zones,
                rate,
                incarnation: 0,
                calls,
                shots,
                idle,
                wake: None,
            });
            let first = world.gap(n);
            world.later(first, What::Call { node: n });
        }
        world.plan_faults();
        world.begin_talk();
        world
    }

    fn listing(&self, server: usize) -> EndpointUpdate {
        let s = &self.servers[server];
        EndpointUpdate {
            cache: EndpointId(server as u64),
            kind: KindId(u16::from(server == self.origin)),
            size: 1.0,
            zone: ZoneId(s.zone as u32),
            cell: CellId(0),
            ready: !s.left,
            draining: false,
            started: s.started,
        }
    }

    fn later(&mut self, after: Span, what: What) {
        self.order += 1;
        self.events.push(Reverse(Next(self.now + after, self.order, what)));
    }

    /// Seconds since the day began, after the warm-up.
    fn day_s(&self, at: Time) -> f64 {
        at.0 as f64 / 1e6 - START.0 as f64 / 1e6 - self.play.warm_up
    }

    fn gap(&mut self, node: usize) -> Span {
        let gap: f64 = Exp1.sample(&mut self.chance);
        let burst = self.network.acting(self.now).find_map(|k| match k {
            Kind::Burst(by) => Some(by),
            _ => None,
        });
        let rate = self.nodes[node].rate * burst.unwrap_or(1.0);
        Span::from_secs_f64(gap / rate)
    }

    fn run(&mut self) {
        while let Some(Reverse(Next(time, _, what))) = self.events.pop() {
            self.now = time;
            self.happens(what);
        }
        let left: usize = self.nodes.iter().map(|n| n.calls.len()).sum();
        self.came.unsound += left;
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Call { node } => self.call(node),
            What::Again { node, first, key, write, deadline } => {
                self.try_call(node, first, key, write, deadline, true);
            }
            What::Connected { shot } => self.write(shot),
            What::Comes { shot, server, job } => self.comes(shot, server, job),
            What::Done { server, incarnation, job } => self.done(server, incarnation, job),
            What::LocalReply { shot, outcome, stored } => self.shot_ends(shot, outcome, stored),
            What::GiveUp { shot } => {
                let up = self.shot(shot).is_some_and(|s| s.up);
                let outcome = if up { AttemptOutcome::TimedOut } else { AttemptOutcome::Unreachable };
                self.shot_ends(shot, outcome, false);
            }
            What::Wake { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.nodes[node].wake = None;
                self.pull(node);
            }
            What::List { node, incarnation, listing } if self.nodes[node].incarnation == incarnation => {
                self.nodes[node].mind.listed(self.now, &[listing], false);
                self.heard_list(node, listing);
                self.pull(node);
            }
            What::Wake { .. } | What::List { .. } => {}
            What::Loses { zone } => self.lose(zone),
            What::Returns { zone } => self.bring_back(zone),
            What::Replaces { old } => self.replace(old),
            What::Leaves { server } => self.servers[server].down = true,
            What::Kills { node } => self.kill(node),
            What::Message { to, incarnation, sender, letter } => {
                self.letter_comes(to, incarnation, sender, *letter)
            }
            What::Round { of, incarnation } => self.round(of, incarnation),
            What::PlannersDie => self.planners_die(),
            What::PlannersReturn => self.planners_return(),
        }
    }

    /// The second of the day, once it has begun.
    fn second(&self, at: Time) -> Option<usize> {
        let second = self.day_s(at);
        (second >= 0.0).then_some(second as usize)
    }
}
