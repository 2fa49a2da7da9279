//! Simulation of leases among many forwarders and some planners, over an unreliable network and with drifting
//! clocks. Members are killed, suspended, disconnected and restarted; all random draws derive from one seed.
//! An independent audit adds up, after every event, the fetch rates that all balancers are permitted.

mod audit;
mod lifecycle;
mod network;
mod process;
mod result;
mod scenario;
mod workload;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::Member;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use result::SimulationResult;
pub use scenario::{FleetSize, Outage, Scenario};

use network::InFlightMessage;
use process::Process;

const ORIGIN: EndpointId = EndpointId(1);
const MICROS_PER_SECOND: f64 = 1e6;
/// Usage is measured after this share of the simulated time.
const MEASURED_FROM: f64 = 0.75;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    /// Forwarders start and stop, demands change and balancers send fetches.
    Tick,
    /// A member's timeout is reached.
    Wake { member: Member, incarnation: u64 },
    /// A message arrives at its receiver.
    Deliver { message: usize },
    /// A fault begins.
    Fault,
    /// A member that was killed starts again.
    Start { member: Member },
}

/// A scheduled event. Events are ordered by time, and events of the same time by the order of their
/// scheduling.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Time,
    sequence: u64,
    kind: EventKind,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Time,
    rng: ChaCha8Rng,
    members: BTreeMap<Member, Process>,
    /// All messages by number; `None` for a message that has arrived.
    messages: Vec<Option<InFlightMessage>>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    result: SimulationResult,
}

/// Runs a scenario and returns its measurements.
pub fn simulate(scenario: &Scenario) -> SimulationResult {
    let mut simulation = Simulation::new(scenario);
    simulation.begin();
    while let Some(Reverse(event)) = simulation.events.pop() {
        if event.at.0 as f64 > scenario.seconds * MICROS_PER_SECOND {
            break;
        }
        simulation.now = event.at;
        simulation.handle(event.kind);
        simulation.audit();
    }
    simulation.summarize();
    simulation.result
}

impl Simulation<'_> {
    fn new(scenario: &Scenario) -> Simulation<'_> {
        Simulation {
            scenario,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            members: BTreeMap::new(),
            messages: Vec::new(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            result: SimulationResult::default(),
        }
    }

    fn schedule(&mut self, after: Span, kind: EventKind) {
        self.last_sequence += 1;
        let event = ScheduledEvent { at: self.now + after, sequence: self.last_sequence, kind };
        self.events.push(Reverse(event));
    }

    fn handle(&mut self, event: EventKind) {
        match event {
            EventKind::Tick => self.tick(),
            EventKind::Wake { member, incarnation } => self.wake(member, incarnation),
            EventKind::Deliver { message } => self.deliver(message),
            EventKind::Fault => self.inject_fault(),
            EventKind::Start { member } => {
                if self.process(member).component.is_none() {
                    self.start(member);
                }
            }
        }
    }

    fn wake(&mut self, member: Member, incarnation: u64) {
        let process = self.process(member);
        if process.incarnation != incarnation {
            return;
        }
        let suspended_until = process.suspended_until;
        if suspended_until > self.now {
            self.schedule(suspended_until - self.now, EventKind::Wake { member, incarnation });
        } else {
            self.poll(member);
        }
    }

    fn process(&mut self, member: Member) -> &mut Process {
        self.members
            .get_mut(&member)
            .expect("each member must have a process from the beginning of the simulation")
    }

    /// Returns the simulated time in seconds.
    fn second(&self) -> f64 {
        self.now.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the number of forwarders that the scenario wants to be up now.
    fn target_size(&self) -> usize {
        self.scenario.forwarders_at(self.second())
    }

    /// Returns whether usage is measured now.
    fn is_measured(&self) -> bool {
        self.now.0 as f64 > self.scenario.seconds * (MEASURED_FROM * MICROS_PER_SECOND)
    }
}
