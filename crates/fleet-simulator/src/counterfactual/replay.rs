//! Replay of a trace to the forwarders' and the planner's components, over a network that loses, duplicates
//! and delays messages.

use std::collections::BTreeMap;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Event};
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, ForwarderComponent, PlannerComponent, Settings,
};
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::config::TraceConfig;
use super::trace::{SLO, SimulatedRequest, TRACE_START, Trace};

const ORIGIN: EndpointId = EndpointId(u64::MAX);
const PLANNER: PlannerId = PlannerId(1);
const INCARNATION: Incarnation = Incarnation(1);
/// A number that is combined with the trace's seed, so that the network's random numbers differ from those of
/// the trace.
const NETWORK_SEED: u64 = 0x70_1d;
/// The interval at which the components are polled.
const POLL_INTERVAL: Span = Span::from_millis(250);
/// The time that a replay continues after the end of the trace, in seconds.
const SECONDS_AFTER_TRACE: f64 = 18.0;
/// The exclusive upper bound of a message's delay, in milliseconds.
const MAX_DELAY_MS: u64 = 2000;
/// The time from a request's sending to its rejection by a cache.
const REJECTED_AFTER: Span = Span(500);
/// The size of each response in bytes.
const RESPONSE_BYTES: u32 = 1000;
/// The largest number of copies of a message that arrive.
const MAX_COPIES: usize = 2;

/// The result of a replay.
pub struct Replay {
    /// The planner's component at the end of the replay.
    pub planner: PlannerComponent,
    /// The events that the planner logged.
    pub planner_events: Vec<Event>,
    /// The events that the first forwarder logged because of the planner's messages.
    pub forwarder_events: Vec<Event>,
    /// The number of messages that forwarders sent.
    pub messages: usize,
    /// The total size of the bodies of the forwarders' messages, in bytes.
    pub bytes: usize,
    /// The size of the largest body of a forwarder's message, in bytes.
    pub largest_message: usize,
}

/// Replays a trace until all of its messages have arrived, and returns the planner and the counts.
pub fn replay(trace: &Trace, settings: &Settings) -> Replay {
    let mut attempts = finished_attempts(trace);
    let mut forwarders = Forwarders::new(trace.config.nodes, settings);
    let mut network = Network::new(trace.config);
    let mut replay = Replay {
        planner: PlannerComponent::new(settings.clone(), PLANNER, INCARNATION, TRACE_START),
        planner_events: Vec::new(),
        forwarder_events: Vec::new(),
        messages: 0,
        bytes: 0,
        largest_message: 0,
    };
    replay.planner.on_membership_change(TRACE_START, &forwarders.members);
    let end = TRACE_START + Span::from_secs_f64(trace.config.seconds + SECONDS_AFTER_TRACE);
    let mut now = TRACE_START;
    while now < end {
        now = now + POLL_INTERVAL;
        let later = attempts.split_off(&now);
        for finished in std::mem::replace(&mut attempts, later).into_values() {
            for NodeAttempt { node, ended_at, attempt } in finished {
                let observation = Observation::AttemptFinished(Box::new(attempt));
                forwarders.components[node].on_observation(ended_at, &observation);
            }
        }
        replay.send_reports(now, &mut forwarders, &mut network);
        for Delivery { from, message } in network.take_arrived(now) {
            replay
                .planner
                .on_message(now, from, message)
                .expect("the planner must accept a forwarder's message");
        }
        replay.deliver_comparisons(now, &mut forwarders);
        replay.planner_events.extend(std::iter::from_fn(|| replay.planner.poll_event()));
        let first = &mut forwarders.components[0];
        replay.forwarder_events.extend(std::iter::from_fn(|| first.poll_event()));
    }
    replay
}

impl Replay {
    /// Sends the pending messages of all forwarders.
    fn send_reports(&mut self, now: Time, forwarders: &mut Forwarders, network: &mut Network) {
        for (node, forwarder) in forwarders.components.iter_mut().enumerate() {
            while let Some((_, message)) = forwarder.poll_message(now) {
                let size = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
                self.messages += 1;
                self.bytes += size;
                self.largest_message = self.largest_message.max(size);
                let member = forwarders.members[node];
                let from = Sender { member, incarnation: INCARNATION, sequence: self.messages as u64 };
                network.send(now, self.messages, from, message);
            }
        }
    }

    /// Delivers the planner's messages to the first forwarder, whose events the replay returns. Messages to
    /// other forwarders are discarded.
    fn deliver_comparisons(&mut self, now: Time, forwarders: &mut Forwarders) {
        let from = Sender { member: Member::Planner(PLANNER), incarnation: INCARNATION, sequence: 1 };
        while let Some((to, message)) = self.planner.poll_message(now) {
            if to == forwarders.members[0] {
                forwarders.components[0]
                    .on_message(now, from, message)
                    .expect("a forwarder must accept the planner's message");
            }
        }
    }
}

/// The forwarders of a replay: their components, and their member ids in the same order.
struct Forwarders {
    components: Vec<ForwarderComponent>,
    members: Vec<Member>,
}

impl Forwarders {
    fn new(count: usize, settings: &Settings) -> Forwarders {
        let mut components = Vec::new();
        let mut members = Vec::new();
        for id in (0..count as u64).map(ForwarderId) {
            let mut component = ForwarderComponent::new(settings.clone(), id, INCARNATION, TRACE_START);
            component.on_membership_change(TRACE_START, &[Member::Planner(PLANNER)]);
            components.push(component);
            members.push(Member::Forwarder(id));
        }
        Forwarders { components, members }
    }
}

/// When a copy of a message arrives. Copies that arrive at the same time are ordered by their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Time,
    copy: usize,
}

/// A message that the network delivers.
struct Delivery {
    from: Sender,
    message: CounterfactualMessage,
}

/// The network from forwarders to the planner.
struct Network {
    rng: ChaCha8Rng,
    loss: f64,
    duplication: f64,
    in_flight: BTreeMap<Arrival, Delivery>,
}

impl Network {
    fn new(config: TraceConfig) -> Network {
        Network {
            rng: ChaCha8Rng::seed_from_u64(config.seed ^ NETWORK_SEED),
            loss: config.loss,
            duplication: config.duplication,
            in_flight: BTreeMap::new(),
        }
    }

    /// Sends a message, of which zero, one or two copies arrive.
    fn send(&mut self, now: Time, number: usize, from: Sender, message: CounterfactualMessage) {
        let arrives = !self.rng.random_bool(self.loss);
        let is_duplicated = self.rng.random_bool(self.duplication);
        let copies = usize::from(arrives) + usize::from(is_duplicated);
        for copy in 0..copies {
            let delay = Span::from_millis(self.rng.random_range(0..MAX_DELAY_MS));
            let arrival = Arrival { at: now + delay, copy: number * MAX_COPIES + copy };
            self.in_flight.insert(arrival, Delivery { from, message: message.clone() });
        }
    }

    /// Takes the messages that have arrived by now, in order of arrival.
    fn take_arrived(&mut self, now: Time) -> impl Iterator<Item = Delivery> + use<> {
        let later = self.in_flight.split_off(&Arrival { at: now, copy: usize::MAX });
        std::mem::replace(&mut self.in_flight, later).into_values()
    }
}

/// A finished attempt with its node and the time of its end.
struct NodeAttempt {
    node: usize,
    ended_at: Time,
    attempt: FinishedAttempt,
}

/// Returns all attempts of a trace by the time of their end.
fn finished_attempts(trace: &Trace) -> BTreeMap<Time, Vec<NodeAttempt>> {
    let mut by_end: BTreeMap<Time, Vec<NodeAttempt>> = BTreeMap::new();
    for request in &trace.requests {
        for finished in attempts_of(request) {
            by_end.entry(finished.ended_at).or_default().push(finished);
        }
    }
    by_end
}

/// Returns the attempts of a request, in the order of sending.
fn attempts_of(request: &SimulatedRequest) -> Vec<NodeAttempt> {
    let ends_after_sending =
        |after: Span, attempt| NodeAttempt { node: request.node, ended_at: request.at + after, attempt };
    let outcome = request.chosen_outcome();
    if outcome.is_rejected {
        let attempt = first_attempt(request, AttemptOutcome::Rejected, REJECTED_AFTER);
        return vec![ends_after_sending(REJECTED_AFTER, attempt)];
    }
    let is_cancelled = outcome.response_after > request.cancelled_after;
    let ends_after = if is_cancelled { request.cancelled_after } else { outcome.response_after };
    let last_outcome = if is_cancelled { AttemptOutcome::Cancelled } else { AttemptOutcome::Fulfilled };
    if outcome.is_hit || outcome.miss_after > request.cancelled_after {
        return vec![ends_after_sending(ends_after, first_attempt(request, last_outcome, ends_after))];
    }
    let first = first_attempt(request, AttemptOutcome::CacheMiss, outcome.miss_after);
    let at_origin = FinishedAttempt {
        number: 1,
        cache: ORIGIN,
        is_origin: true,
        outcome: last_outcome,
        latency: Span(ends_after.0 - outcome.miss_after.0),
        ..first.clone()
    };
    vec![ends_after_sending(outcome.miss_after, first), ends_after_sending(ends_after, at_origin)]
}

fn first_attempt(request: &SimulatedRequest, outcome: AttemptOutcome, latency: Span) -> FinishedAttempt {
    FinishedAttempt {
        request_hash: request.request_hash,
        number: 0,
        key: request.key,
        request_class: RequestClassId(0),
        write: false,
        work: Some(request.work_estimate),
        cache: EndpointId(request.chosen_cache()),
        is_origin: false,
        candidates: request.candidates.map(EndpointId).to_vec(),
        outcome,
        latency,
        bytes: RESPONSE_BYTES,
        in_flight_at_send: request.in_flight[request.position],
        slo: SLO,
    }
}
