//! Simulation of a fleet: a queue of events, nodes, servers and the network between nodes and servers.
//!
//! [`World`] owns all state. The event loop takes the earliest event, which changes the state and schedules
//! further events. All random draws of the data path come from one generator, so the results depend on the
//! order of draws.

mod attempts;
mod events;
mod faults;
mod members;
mod messaging;
mod observations;
mod requests;
mod servers;
mod setup;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, EndpointUpdate};
use rand_chacha::ChaCha8Rng;

use crate::network::{MICROS_PER_SECOND, Network};
use crate::policy::NodePolicy;
use crate::popularity::Popularity;
use crate::results::RunResult;
use crate::scenario::Scenario;
use crate::server::{Server, ServerJob};

use events::{EventKind, ScheduledEvent};
use messaging::ControlPlane;
use requests::TrackedRequest;

/// The simulated time at which the warm-up begins.
const START: Time = Time(1_000_000_000);
/// The share of its full capacity that a cache has right after a cold start.
const COLD_START_CAPACITY: f64 = 0.25;
/// The time from a cold start until the cache has its full capacity.
const WARM_UP_TIME: Span = Span::from_millis(20_000);
/// The work of a write at the origin, relative to the work of a read.
const WRITE_WEIGHT: f64 = 2.0;

/// An attempt that a node has in flight.
struct InFlightAttempt {
    server: usize,
    sent_at: Time,
    /// Whether the attempt's connection is established, so that the connection can be reused afterwards.
    is_connected: bool,
    job: ServerJob,
}

struct Node {
    policy: NodePolicy,
    zone: usize,
    /// The mean rate of requests that arrive at the node, per second.
    request_rate: f64,
    /// The number of restarts; events of an earlier incarnation are ignored.
    incarnation: u32,
    requests: HashMap<u64, TrackedRequest>,
    /// Attempts in flight, by request and number of the attempt.
    attempts: HashMap<(u64, u8), InFlightAttempt>,
    /// The times since which connections are idle, by server.
    idle_connections: HashMap<usize, Vec<Time>>,
    /// The time of the scheduled timeout event of the policy, if any.
    scheduled_wake: Option<Time>,
}

struct World<'a> {
    scenario: &'a Scenario,
    network: Network<'a>,
    now: Time,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Caches, followed by the origin; caches that are added later come after the origin.
    servers: Vec<Server>,
    /// The endpoints as service discovery last reported them, by index of the server.
    endpoints: Vec<EndpointUpdate>,
    /// The index of the origin in `servers`.
    origin: usize,
    origin_slots: usize,
    popularity: Popularity,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event_sequence: u64,
    last_request: u64,
    /// The state of the control plane; `None` without planners and after the end of the day.
    control_plane: Option<ControlPlane>,
    result: RunResult,
}

/// Runs a scenario to its end and returns the measured results.
pub fn run(scenario: &Scenario) -> RunResult {
    let mut world = World::new(scenario);
    world.process_events();
    world.result
}

impl World<'_> {
    fn schedule(&mut self, after: Span, kind: EventKind) {
        self.last_event_sequence += 1;
        let event = ScheduledEvent { at: self.now + after, sequence: self.last_event_sequence, kind };
        self.events.push(Reverse(event));
    }

    /// Returns the seconds from the beginning of the day to a time; negative during the warm-up.
    fn day_seconds(&self, at: Time) -> f64 {
        at.0 as f64 / MICROS_PER_SECOND - START.0 as f64 / MICROS_PER_SECOND - self.scenario.warm_up_s
    }

    /// Returns the second of the day at a time, or `None` during the warm-up.
    fn second_of_day(&self, at: Time) -> Option<usize> {
        let seconds = self.day_seconds(at);
        if seconds >= 0.0 { Some(seconds as usize) } else { None }
    }

    /// Returns the time from the start of the warm-up to this second of the day.
    fn since_start(&self, seconds: f64) -> Span {
        Span::from_secs_f64(self.scenario.warm_up_s + seconds)
    }

    fn process_events(&mut self) {
        while let Some(Reverse(event)) = self.events.pop() {
            self.now = event.at;
            self.process(event.kind);
        }
        let unanswered: usize = self.nodes.iter().map(|node| node.requests.len()).sum();
        self.result.invariant_violations += unanswered;
    }

    fn process(&mut self, kind: EventKind) {
        match kind {
            EventKind::RequestArrives { node } => self.on_request_arrival(node),
            EventKind::RequestRetried { node, request } => self.submit_request(node, request),
            EventKind::ConnectionEstablished { attempt } => self.transmit_attempt(attempt),
            EventKind::AttemptArrives { attempt, server, job } => {
                self.on_attempt_arrival(attempt, server, job);
            }
            EventKind::JobCompleted { server, incarnation, job } => {
                self.on_job_completed(server, incarnation, job);
            }
            EventKind::AttemptFinished { attempt, outcome, fills_caches } => {
                self.on_attempt_finished(attempt, outcome, fills_caches);
            }
            EventKind::AttemptTimeout { attempt } => self.on_attempt_timeout(attempt),
            EventKind::PolicyTimeout { node, incarnation } => self.on_policy_timeout(node, incarnation),
            EventKind::EndpointReported { node, incarnation, endpoint } => {
                self.on_endpoint_reported(node, incarnation, endpoint);
            }
            EventKind::ZoneFails { zone } => self.fail_zone(zone),
            EventKind::ZoneReturns { zone } => self.restore_zone(zone),
            EventKind::CacheReplaced { old } => self.replace_cache(old),
            EventKind::CacheStops { server } => self.servers[server].is_down = true,
            EventKind::NodeKilled { node } => self.restart_node(node),
            EventKind::MessageArrives { to, incarnation, sender, message } => {
                self.on_message(to, incarnation, sender, *message);
            }
            EventKind::MemberTimeout { member, incarnation } => self.on_member_timeout(member, incarnation),
            EventKind::PlannersFail => self.fail_planners(),
            EventKind::PlannersReturn => self.restart_planners(),
        }
    }

    fn on_attempt_timeout(&mut self, attempt: events::AttemptId) {
        let is_connected = self.attempt(attempt).is_some_and(|attempt| attempt.is_connected);
        let outcome = if is_connected { AttemptOutcome::TimedOut } else { AttemptOutcome::Unreachable };
        self.on_attempt_finished(attempt, outcome, false);
    }

    fn on_policy_timeout(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation == incarnation {
            self.nodes[node].scheduled_wake = None;
            self.run_policy(node);
        }
    }

    fn on_endpoint_reported(&mut self, node: usize, incarnation: u32, endpoint: EndpointUpdate) {
        if self.nodes[node].incarnation == incarnation {
            self.nodes[node].policy.on_endpoints_update(self.now, &[endpoint], false);
            self.observe_endpoint(node, endpoint);
            self.run_policy(node);
        }
    }
}
