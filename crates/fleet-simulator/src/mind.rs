//! What decides at a node: the real module, or a plain policy to hold it against.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, KindId, RequestId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{
    AttemptOutcome, AttemptResult, ControlPlaneUpdate, EndpointUpdate, LocalReply, Request,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Module,
    /// Any cache by chance, and another when it was turned away.
    Random,
    /// One of a key's so many highest-ranked by chance, and another when it was turned away.
    RandomOf(usize),
    /// The emptiest of a key's so many highest-ranked, as it truly stands; waits where all are full.
    Seeing(usize),
}

/// What a seeing policy sees: how much of each cache's places is taken, all of it where no answer would come.
pub type Observation<'a> = &'a dyn Fn(EndpointId) -> f64;

/// What is to be carried out.
pub enum Order {
    Shoot { call: RequestId, cache: EndpointId, timeout: Span },
    LocalReply { call: RequestId, answer: LocalReply },
    Recall { call: RequestId, number: AttemptNumber },
}

pub enum Mind {
    Module(Box<Balancer>),
    Plain(Box<Plain>),
}

impl Mind {
    pub fn new(policy: Policy, settings: Settings, seed: u64, now: Time) -> Mind {
        match policy {
            Policy::Module => Mind::Module(Box::new(Balancer::new(settings, seed, now))),
            _ => Mind::Plain(Box::new(Plain::new(policy, settings, seed))),
        }
    }

    pub fn listed(&mut self, now: Time, listings: &[EndpointUpdate], complete: bool) {
        match self {
            Mind::Module(balancer) => balancer.on_endpoints_update(now, listings, complete),
            Mind::Plain(plain) => plain.listed(listings),
        }
    }

    pub fn call(&mut self, now: Time, id: RequestId, call: Request) {
        match self {
            Mind::Module(balancer) => balancer.on_request(now, id, call),
            Mind::Plain(plain) => plain.call(now, id, call),
        }
    }

    pub fn ended(&mut self, now: Time, id: RequestId, end: &AttemptResult) {
        match self {
            Mind::Module(balancer) => balancer.on_attempt_finished(now, id, end),
            Mind::Plain(plain) => plain.ended(id, end),
        }
    }

    /// What planners say; plain policies go by nothing of it.
    pub fn on_control_plane_update(&mut self, now: Time, advice: &ControlPlaneUpdate) {
        if let Mind::Module(balancer) = self {
            balancer.on_control_plane_update(now, advice);
        }
    }

    pub fn pull(&mut self, now: Time, sight: Observation<'_>) -> Vec<Order> {
        match self {
            Mind::Module(balancer) => {
                let mut orders = Vec::new();
                // Recalls first: they free what the next shot of the same call may need.
                loop {
                    while let Some((call, number)) = balancer.poll_cancellation() {
                        orders.push(Order::Recall { call, number });
                    }
                    if let Some(s) = balancer.poll_attempt(now) {
                        let (call, cache, timeout) = (s.request, s.cache, s.timeout);
                        orders.push(Order::Shoot { call, cache, timeout });
                    } else if let Some((call, answer)) = balancer.poll_response(now) {
                        orders.push(Order::LocalReply { call, answer });
                    } else {
                        return orders;
                    }
                }
            }
            Mind::Plain(plain) => plain.pull(now, sight),
        }
    }

    pub fn wake(&self, now: Time) -> Option<Time> {
        match self {
            Mind::Module(balancer) => balancer.poll_timeout(now),
            Mind::Plain(plain) => plain.wake(now),
        }
    }
}

struct Open {
    call: Request,
    end: Time,
    patience: Time,
    shots: u8,
    out: bool,
    lacking: bool,
    may_have_run: bool,
    passed: Vec<EndpointId>,
}

/// A plain policy: no learning, no limits, no health.
pub struct Plain {
    policy: Policy,
    settings: Settings,
    chance: ChaCha8Rng,
    ready: Vec<EndpointId>,
    origin: Option<EndpointId>,
    known: BTreeMap<EndpointId, EndpointUpdate>,
    ranks: HashMap<Key, Vec<EndpointId>>,
    open: BTreeMap<RequestId, Open>,
}

const RECHECK: Span = Span::from_millis(20);

impl Plain {
    fn new(policy: Policy, settings: Settings, seed: u64) -> Plain {
        let chance = ChaCha8Rng::seed_from_u64(seed);
        Plain {
            policy,
            settings,
            chance,
            ready: Vec::new(),
            origin: None,
            known: BTreeMap::new(),
            ranks: HashMap::new(),
            open: BTreeMap::new(),
        }
    }

    fn listed(&mut self, listings: &[EndpointUpdate]) {
        self.known.extend(listings.iter().map(|l| (l.cache, *l)));
        let is_origin = |l: &&EndpointUpdate| l.kind == KindId(1);
        self.origin = self.known.values().find(is_origin).map(|l| l.cache);
        self.ready = self.known.values().filter(|l| l.ready && !is_origin(l)).map(|l| l.cache).collect();
        self.ranks.clear();
    }

    fn call(&mut self, now: Time, id: RequestId, call: Request) {
        let slo = self.settings.request_classes[call.request_class.0 as usize].slo;
        let open = Open {
            call,
            end: now + call.budget,
            patience: now + slo.scaled(0.4),
            shots: 0,
            out: false,
            lacking: false,
            may_have_run: false,
            passed: Vec::new(),
        };
        self.open.insert(id, open);
    }

    fn ended(&mut self, id: RequestId, end: &AttemptResult) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.out = false;
        open.may_have_run |= !end.outcome.proves_not_executed();
        if end.outcome == AttemptOutcome::CacheMiss {
            open.lacking = true;
        }
        open.passed.push(end.cache);
        if end.answered {
            self.open.remove(&id);
        }
    }

    fn ranked(&mut self, key: Key, most: usize) -> Vec<EndpointId> {
        let ready = &self.ready;
        let rank = || {
            let hasher = BuildHasherDefault::<DefaultHasher>::default();
            let mut all: Vec<_> = ready.iter().map(|c| (hasher.hash_one((key, c)), *c)).collect();
            all.sort_unstable();
            all.truncate(most);
            all.into_iter().map(|(_, c)| c).collect()
        };
        self.ranks.entry(key).or_insert_with(rank).clone()
    }

    fn choose(&mut self, id: RequestId, sight: Observation<'_>) -> Option<EndpointId> {
        let (key, passed) = (self.open[&id].call.key, self.open[&id].passed.clone());
        let mut pool = match self.policy {
            Policy::RandomOf(most) | Policy::Seeing(most) => self.ranked(key, most),
            _ => self.ready.clone(),
        };
        pool.retain(|c| !passed.contains(c));
        if let Policy::Seeing(_) = self.policy {
            let emptiest = pool.into_iter().map(|c| (sight(c), c)).min_by(|a, b| a.0.total_cmp(&b.0));
            return emptiest.filter(|(crowd, _)| *crowd < 1.0).map(|(_, c)| c);
        }
        let n = self.chance.random_range(0..pool.len().max(1));
        pool.get(n).copied()
    }

    fn pull(&mut self, now: Time, sight: Observation<'_>) -> Vec<Order> {
        let mut orders = Vec::new();
        let waiting: Vec<_> = self.open.iter().filter(|(_, o)| !o.out).map(|(id, _)| *id).collect();
        for id in waiting {
            let open = &self.open[&id];
            let over = open.shots >= self.settings.max_attempts || now >= open.end;
            // What may have run is not sent again by a plain policy, unless a repeat is harmless.
            let barred = open.may_have_run && open.call.write;
            let at_origin = open.call.write || open.lacking;
            let patience = open.patience;
            let cache = if at_origin { self.origin } else { self.choose(id, sight) };
            let given_up = over || barred || (cache.is_none() && now >= patience);
            if given_up {
                self.open.remove(&id);
                let answer = if barred {
                    LocalReply::Errored
                } else {
                    LocalReply::RateLimited { retry_after: self.settings.max_retry_after }
                };
                orders.push(Order::LocalReply { call: id, answer });
            } else if let Some(cache) = cache {
                let open = self.open.get_mut(&id).expect("looked at above");
                open.out = true;
                open.shots += 1;
                orders.push(Order::Shoot { call: id, cache, timeout: open.end - now });
            }
        }
        orders
    }

    fn wake(&self, now: Time) -> Option<Time> {
        let waits = self.open.values().any(|o| !o.out);
        let end = self.open.values().map(|o| o.end).min();
        if waits { Some(now + RECHECK) } else { end }
    }
}
