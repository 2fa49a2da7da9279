//! Simulated nodes: each has a real balancer, receives clients' requests and sends the attempts that its
//! balancer decides on.

use std::collections::HashMap;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{Attempt, AttemptOutcome, AttemptResult, EndpointUpdate, Request};
use rand::RngExt;
use rand_distr::{Distribution, Exp1, LogNormal};

use super::{AttemptId, EventKind, InFlightAttempt, NETWORK_DELAY, Simulation};

/// The position of a node's number within its balancer's seed.
const NODE_SEED_SHIFT: u32 = 20;
/// A request's client timeout in multiples of the latency objective.
const CLIENT_TIMEOUT_SLOS: f64 = 2.0;
/// The share of the requests that have the hot key.
const HOT_KEY_SHARE: f64 = 0.33;
/// The shortest delay of a scheduled event; it is above zero so that simulated time always advances.
const CLOCK_TICK: Span = Span(1);

/// A request that has no final response yet.
struct PendingRequest {
    work: f64,
    attempts: u8,
}

/// A node of the fleet.
pub(super) struct Node {
    pub(super) balancer: Balancer,
    /// The mean rate of clients' requests, per second.
    pub(super) rate: f64,
    incarnation: u32,
    wake: Option<Time>,
    requests: HashMap<u64, PendingRequest>,
    /// The last start time of each cache that the node has been notified of.
    known_starts: HashMap<usize, Time>,
}

impl Simulation<'_> {
    /// Adds all nodes, each with a randomly drawn share of the requests.
    pub(super) fn add_nodes(&mut self) {
        let scenario = self.scenario;
        let spread =
            LogNormal::new(0.0, scenario.node_spread).expect("the scenario's node_spread must be finite");
        let shares: Vec<f64> = (0..scenario.nodes).map(|_| spread.sample(&mut self.rng)).collect();
        let sum: f64 = shares.iter().sum();
        let total_rate = scenario.load * scenario.capacities.iter().sum::<f64>() / scenario.mean_work;
        for (number, share) in shares.into_iter().enumerate() {
            let node = Node {
                balancer: self.new_balancer(number as u64),
                rate: total_rate * share / sum,
                incarnation: 0,
                wake: None,
                requests: HashMap::new(),
                known_starts: HashMap::new(),
            };
            self.nodes.push(node);
            self.schedule_next_request(number);
        }
    }

    /// Returns a new balancer that has received the present endpoint list and nothing else.
    fn new_balancer(&self, seed: u64) -> Balancer {
        let mut settings = self.scenario.settings();
        settings.overload_multiple = self.overload_multiple;
        let seed = self.scenario.seed ^ seed << NODE_SEED_SHIFT;
        let mut balancer = Balancer::new(settings, seed, self.now);
        let ready = (0..self.servers.len()).filter(|cache| self.servers[*cache].ready);
        let endpoints: Vec<_> = ready.map(|cache| self.endpoint_update(cache)).collect();
        balancer.on_endpoints_update(self.now, &endpoints, true);
        balancer
    }

    /// Replaces a node's balancer by a new one that is notified of all caches at once. The node's pending
    /// requests are lost.
    pub(super) fn restart_node(&mut self, node: usize) {
        let balancer = self.new_balancer(self.events.scheduled_count());
        let servers = self.servers.iter().enumerate();
        let known_starts = servers.filter_map(|(cache, server)| Some((cache, server.started?))).collect();
        let node = &mut self.nodes[node];
        node.balancer = balancer;
        node.incarnation += 1;
        node.wake = None;
        node.known_starts = known_starts;
        node.requests.clear();
    }

    pub(super) fn on_endpoint_notified(&mut self, node: usize, endpoint: EndpointUpdate) {
        let cache = endpoint.id.0 as usize;
        if let Some(started) = endpoint.started
            && endpoint.ready
        {
            self.nodes[node].known_starts.insert(cache, started);
        }
        self.nodes[node].balancer.on_endpoints_update(self.now, &[endpoint], false);
        self.poll_balancer(node);
    }

    pub(super) fn schedule_next_request(&mut self, node: usize) {
        let standard_gap: f64 = Exp1.sample(&mut self.rng);
        let gap = standard_gap / (self.nodes[node].rate * self.rate_multiple);
        self.schedule(Span::from_secs_f64(gap), EventKind::Request { node });
    }

    pub(super) fn on_request(&mut self, node: usize) {
        let id = self.requests;
        self.requests += 1;
        let work = self.work.sample(&mut self.rng);
        let key = self.draw_key();
        let request = Request {
            request_class: RequestClassId(0),
            key: Key(key),
            client_timeout: Span::from_secs_f64(self.scenario.slo * CLIENT_TIMEOUT_SLOS),
            work: self.scenario.declares_work.then_some(Span::from_secs_f64(work)),
            write: false,
        };
        self.result.requests += 1;
        self.nodes[node].requests.insert(id, PendingRequest { work, attempts: 0 });
        self.nodes[node].balancer.on_request(self.now, RequestId(id), request);
        self.poll_balancer(node);
    }

    /// Draws a key from the square of a uniform number, so that low keys are requested more often.
    fn draw_key(&mut self) -> u64 {
        let uniform = self.rng.random::<f64>();
        let usual = (uniform * uniform * self.scenario.keys as f64) as u64;
        match self.hot_key {
            Some(hot_key) if self.rng.random::<f64>() < HOT_KEY_SHARE => hot_key,
            _ => usual,
        }
    }

    pub(super) fn on_wake(&mut self, node: usize, incarnation: u32) {
        let is_current = self.nodes[node].incarnation == incarnation;
        if is_current && self.nodes[node].wake == Some(self.now) {
            self.nodes[node].wake = None;
            self.poll_balancer(node);
        }
    }

    /// Carries out all pending decisions of a node's balancer, then schedules the balancer's next timeout.
    pub(super) fn poll_balancer(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        loop {
            let balancer = &mut self.nodes[node].balancer;
            if let Some((request, number)) = balancer.poll_cancellation() {
                let attempt = AttemptId { node, incarnation, request: request.0, number: number.0 };
                let outcome = AttemptOutcome::Cancelled;
                self.schedule(CLOCK_TICK, EventKind::AttemptFinished { attempt, outcome });
            } else if let Some(attempt) = balancer.poll_attempt(self.now) {
                self.send(node, &attempt);
            } else if let Some((request, _)) = balancer.poll_response(self.now) {
                self.nodes[node].requests.remove(&request.0);
            } else {
                break;
            }
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(timeout) = state.balancer.poll_timeout(self.now) else { return };
        let wake = timeout.max(self.now + CLOCK_TICK);
        if state.wake.is_none_or(|scheduled| wake < scheduled) {
            state.wake = Some(wake);
            let incarnation = state.incarnation;
            self.schedule(wake - self.now, EventKind::Wake { node, incarnation });
        }
    }

    fn send(&mut self, node: usize, attempt: &Attempt) {
        let cache = attempt.endpoint.0 as usize;
        let request = attempt.request.0;
        let state = &mut self.nodes[node];
        let Some(pending) = state.requests.get_mut(&request) else { return };
        let work = pending.work;
        let number = pending.attempts;
        pending.attempts += 1;
        let started = self.servers[cache].started;
        let notified = started.is_none() || state.known_starts.get(&cache).copied() == started;
        let id = AttemptId { node, incarnation: state.incarnation, request, number };
        self.in_flight.insert(id, InFlightAttempt { cache, sent: self.now, work });
        self.schedule(NETWORK_DELAY, EventKind::AttemptArrived { attempt: id, notified });
        let outcome = AttemptOutcome::TimedOut;
        self.schedule(attempt.timeout, EventKind::AttemptFinished { attempt: id, outcome });
    }

    /// Reports an attempt's result to its node's balancer. Only the first result of each attempt is reported.
    pub(super) fn on_attempt_finished(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else { return };
        let node = &mut self.nodes[attempt.node];
        if node.incarnation != attempt.incarnation {
            return;
        }
        let is_fulfilled = outcome == AttemptOutcome::Fulfilled;
        let latency = self.now - in_flight.sent;
        if is_fulfilled {
            let was_pending = node.requests.remove(&attempt.request).is_some();
            if was_pending && latency <= Span::from_secs_f64(self.scenario.slo) {
                self.result.fulfilled_in_time += 1;
            }
        }
        let result = AttemptResult {
            number: AttemptNumber(attempt.number),
            endpoint: EndpointId(in_flight.cache as u64),
            outcome,
            latency,
            answered: is_fulfilled,
        };
        node.balancer.on_attempt_finished(self.now, RequestId(attempt.request), &result);
        self.poll_balancer(attempt.node);
    }
}
