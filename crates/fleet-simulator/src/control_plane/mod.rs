//! Simulation of the endpoint health component of the control plane: many forwarders with a balancer each,
//! some planners, caches of which some hang, and a lossy network.
//!
//! A run is drawn from its seed; two runs with the same seed are identical. Messages draw from a random
//! generator of their own, so that a fleet's requests are the same with planners and without.

mod faults;
mod forwarder;
mod member;
mod messaging;
mod result;
mod scenario;

use std::collections::BTreeMap;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::endpoint_health::PlannerComponent;
use granitelb_coordination::message::{Secret, Secrets};
use granitelb_coordination::{Member, PlannerId, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event_queue::EventQueue;

pub use result::SimulationResult;
pub use scenario::{Period, Scenario};

use faults::RecoveryCounts;
use forwarder::{Forwarder, InFlightAttempt};
use member::MemberState;

const SIMULATION_START: Time = Time(1_000_000_000);
/// The shortest delay between an event and an event that it causes; above zero so that simulated time always
/// advances.
const CLOCK_TICK: Span = Span(1);
/// The time over which the forwarders' first polls are spread, in microseconds.
const START_SPREAD_MICROS: f64 = 500_000.0;
/// The secret that authenticates all messages. Its length counts towards `message_bytes`.
const SHARED_SECRET: &[u8] = b"of all that are played";

enum EventKind {
    /// A client's request reaches a forwarder.
    Request { forwarder: usize },
    /// An attempt ends at its forwarder.
    AttemptFinished { forwarder: usize, attempt: InFlightAttempt, outcome: AttemptOutcome },
    /// A balancer's timeout is reached.
    Wake { forwarder: usize },
    /// A member is polled for messages to send.
    MemberPoll { member: MemberIndex },
    /// A sealed message arrives at a member.
    MessageArrived { to: MemberIndex, sealed: Vec<u8> },
    /// All forwarders with a probe assignment are killed.
    KillProbers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberIndex {
    Planner(usize),
    Forwarder(usize),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Time,
    rng: ChaCha8Rng,
    /// The generator for the loss, delay and corruption of messages.
    network_rng: ChaCha8Rng,
    forwarders: Vec<Forwarder>,
    planners: Vec<MemberState<PlannerComponent>>,
    events: EventQueue<EventKind>,
    last_request: u64,
    secrets: Secrets,
    /// Numbers of responses in each second after the end of the hang.
    recovery: BTreeMap<u64, RecoveryCounts>,
    /// When the last attempt was sent to a hung cache.
    last_attempt_at_hung_cache: Time,
    /// When the forwarders with a probe assignment were killed; `None` again after the next attempt at a hung
    /// cache.
    probers_killed_at: Option<Time>,
    result: SimulationResult,
}

/// Runs a scenario and returns the counts of the run.
pub fn simulate(scenario: &Scenario) -> SimulationResult {
    let mut simulation = Simulation::new(scenario);
    simulation.schedule_start();
    simulation.run();
    simulation.summarize();
    simulation.result
}

/// Converts seconds from the start of the run to a time.
fn time_at(seconds: f64) -> Time {
    SIMULATION_START + Span::from_secs_f64(seconds)
}

fn new_planner(scenario: &Scenario, number: usize) -> MemberState<PlannerComponent> {
    let id = PlannerId(number as u8);
    let new_component =
        move |incarnation, now| PlannerComponent::new(Settings::default(), id, incarnation, now);
    MemberState::new(Member::Planner(id), scenario.planners, SIMULATION_START, new_component)
}

impl Simulation<'_> {
    fn new(scenario: &Scenario) -> Simulation<'_> {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let network_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let secret = Secret::new(SHARED_SECRET).expect("SHARED_SECRET must be long enough for a secret");
        Simulation {
            scenario,
            now: SIMULATION_START,
            rng,
            network_rng,
            forwarders: (0..scenario.forwarders).map(|number| Forwarder::new(scenario, number)).collect(),
            planners: (0..scenario.planners).map(|number| new_planner(scenario, number)).collect(),
            events: EventQueue::new(),
            last_request: 0,
            secrets: Secrets::single(secret),
            recovery: BTreeMap::new(),
            last_attempt_at_hung_cache: SIMULATION_START,
            probers_killed_at: None,
            result: SimulationResult::default(),
        }
    }

    /// Schedules each forwarder's first request and each member's first poll. The first polls of forwarders
    /// are spread over [`START_SPREAD_MICROS`].
    fn schedule_start(&mut self) {
        for forwarder in 0..self.scenario.forwarders {
            self.schedule_next_request(forwarder);
            let delay = Span((START_SPREAD_MICROS * self.rng.random::<f64>()) as u64);
            let member = MemberIndex::Forwarder(forwarder);
            self.schedule(delay, EventKind::MemberPoll { member });
        }
        for planner in 0..self.scenario.planners {
            let member = MemberIndex::Planner(planner);
            self.schedule(CLOCK_TICK, EventKind::MemberPoll { member });
        }
        if let Some(seconds) = self.scenario.probers_killed_at {
            self.schedule(Span::from_secs_f64(seconds), EventKind::KillProbers);
        }
    }

    fn schedule(&mut self, after: Span, kind: EventKind) {
        self.events.schedule(self.now + after, kind);
    }

    /// Returns the time from which clients and members send nothing more.
    fn end(&self) -> Time {
        time_at(self.scenario.seconds)
    }

    /// Handles events until none is left, so that attempts and messages in flight at the end are completed.
    fn run(&mut self) {
        while let Some(event) = self.events.pop() {
            self.now = event.at;
            self.handle(event.kind);
        }
    }

    fn handle(&mut self, event: EventKind) {
        match event {
            EventKind::Request { forwarder } => {
                if self.now < self.end() {
                    self.on_request(forwarder);
                }
            }
            EventKind::AttemptFinished { forwarder, attempt, outcome } => {
                self.on_attempt_finished(forwarder, attempt, outcome);
            }
            EventKind::Wake { forwarder } => self.on_wake(forwarder),
            EventKind::MemberPoll { member } => self.poll_member(member),
            EventKind::MessageArrived { to, sealed } => self.on_message_arrived(to, &sealed),
            EventKind::KillProbers => self.kill_probers(),
        }
    }

    fn summarize(&mut self) {
        let unanswered: usize = self.forwarders.iter().map(|forwarder| forwarder.pending.len()).sum();
        self.result.invalid_requests += unanswered;
        self.result.recovery_time = self.recovery_time();
    }
}
