//! Simulation of the load on caches that warm up. Many nodes, each with the real balancer, send attempts to
//! caches that start in different ways. The work that arrives at each cold cache is added up over every
//! window of the configured length.
//!
//! A run and its scenario are drawn from a seed; two runs with the same seed are identical. An overloaded
//! cache is counted and continues to serve, so that one fault can't hide the next.

mod disturbance;
mod node;
mod result;
mod scenario;
mod server;

use std::collections::HashMap;

use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, EndpointUpdate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;

use crate::event_queue::EventQueue;

pub use result::SimulationResult;
pub use scenario::{DISTURBANCES, DelayRange, Disturbance, Scenario};

use node::Node;
use server::Server;

/// The time from which cold caches start, in seconds from the beginning of the run. Until then, all
/// balancers learn the rates of a warm fleet.
const WARMUP_BEGIN: f64 = 12.0;
/// The fixed part of the simulated time after [`WARMUP_BEGIN`], in seconds.
const FIXED_TIME_AFTER_START: f64 = 3.0;
/// The variable part of the simulated time after [`WARMUP_BEGIN`], in multiples of the warm-up time.
const SIMULATED_WARMUPS: f64 = 1.3;
/// The delay of a message in one direction.
const NETWORK_DELAY: Span = Span::from_millis(1);
const SIMULATION_START: Time = Time(1_000_000_000);

enum EventKind {
    /// A client's request reaches a node.
    Request { node: usize },
    /// An attempt arrives at its server. `notified` is whether the node had been notified of the server's
    /// last start when it sent the attempt.
    AttemptArrived { attempt: AttemptId, notified: bool },
    /// A server has finished the work of an attempt.
    ServiceFinished { attempt: AttemptId, cache: usize, incarnation: u32 },
    /// The node learns how an attempt ended.
    AttemptFinished { attempt: AttemptId, outcome: AttemptOutcome },
    /// A balancer's timeout is reached.
    Wake { node: usize, incarnation: u32 },
    /// A server starts with a cold cache.
    ServerStarted { cache: usize },
    /// A server stops answering.
    ServerStopped { cache: usize },
    /// A node is notified of a change of the endpoint list.
    EndpointNotified { node: usize, endpoint: EndpointUpdate },
    /// A node restarts; its balancer loses all learned state.
    NodeRestarted { node: usize },
    /// The change in the middle of the warm-up begins.
    Midpoint,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptId {
    node: usize,
    incarnation: u32,
    request: u64,
    number: u8,
}

/// An attempt whose result its node has not received yet.
struct InFlightAttempt {
    cache: usize,
    sent: Time,
    work: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Time,
    rng: ChaCha8Rng,
    work: LogNormal<f64>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    events: EventQueue<EventKind>,
    requests: u64,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// The overload multiple of the settings in force.
    overload_multiple: f64,
    /// The present request rate as a multiple of the scenario's rate.
    rate_multiple: f64,
    /// The key that takes a third of the requests, if any.
    hot_key: Option<u64>,
    result: SimulationResult,
}

/// Runs a scenario and returns the counts of the run.
pub fn simulate(scenario: &Scenario) -> SimulationResult {
    let mut simulation = Simulation::new(scenario);
    simulation.add_nodes();
    simulation.schedule_disturbance();
    simulation.run();
    simulation.result
}

impl Simulation<'_> {
    fn new(scenario: &Scenario) -> Simulation<'_> {
        let joins = scenario.disturbance == Disturbance::Join;
        let server = |cache: usize| Server::new(!(joins && cache < scenario.cold_caches));
        let log_mean_work = scenario.mean_work.ln() - scenario.work_spread.powi(2) / 2.0;
        Simulation {
            scenario,
            now: SIMULATION_START,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            work: LogNormal::new(log_mean_work, scenario.work_spread)
                .expect("the scenario's work_spread must be finite"),
            nodes: Vec::new(),
            servers: (0..scenario.capacities.len()).map(server).collect(),
            events: EventQueue::new(),
            requests: 0,
            in_flight: HashMap::new(),
            overload_multiple: scenario.overload_multiple,
            rate_multiple: 1.0,
            hot_key: None,
            result: SimulationResult::default(),
        }
    }

    fn schedule(&mut self, after: Span, kind: EventKind) {
        self.events.schedule(self.now + after, kind);
    }

    fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.rng.random::<f64>()
    }

    fn run(&mut self) {
        let seconds = WARMUP_BEGIN + FIXED_TIME_AFTER_START + self.scenario.warmup_time * SIMULATED_WARMUPS;
        let end = SIMULATION_START + Span::from_secs_f64(seconds);
        while let Some(event) = self.events.pop() {
            if event.at > end {
                break;
            }
            self.now = event.at;
            self.handle(event.kind);
        }
    }

    fn handle(&mut self, event: EventKind) {
        match event {
            EventKind::Request { node } => {
                self.schedule_next_request(node);
                self.on_request(node);
            }
            EventKind::AttemptArrived { attempt, notified } => self.on_arrival(attempt, notified),
            EventKind::ServiceFinished { attempt, cache, incarnation } => {
                self.servers[cache].finish(incarnation);
                let outcome = AttemptOutcome::Fulfilled;
                self.schedule(NETWORK_DELAY, EventKind::AttemptFinished { attempt, outcome });
            }
            EventKind::AttemptFinished { attempt, outcome } => self.on_attempt_finished(attempt, outcome),
            EventKind::Wake { node, incarnation } => self.on_wake(node, incarnation),
            EventKind::ServerStarted { cache } => self.start_server(cache),
            EventKind::ServerStopped { cache } => self.stop_server(cache),
            EventKind::EndpointNotified { node, endpoint } => self.on_endpoint_notified(node, endpoint),
            EventKind::NodeRestarted { node } => self.restart_node(node),
            EventKind::Midpoint => self.on_midpoint(),
        }
    }
}
