//! Simulated forwarders: each has a real balancer and reports its attempts to its endpoint health component.

use std::collections::BTreeMap;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{Effect, RequestClass, Settings as BalancerSettings};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{Attempt, AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use granitelb_coordination::endpoint_health::ForwarderComponent;
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::{ForwarderId, Member, Settings};
use rand_distr::{Distribution, Exp1, Zipf};

use super::member::MemberState;
use super::{CLOCK_TICK, EventKind, SIMULATION_START, Scenario, Simulation};

/// The time from an attempt's sending to its response, for caches that don't hang and for the origin.
const RESPONSE_TIME: Span = Span::from_millis(20);
const SLO: Span = Span::from_millis(600);
const CLIENT_TIMEOUT: Span = Span::from_millis(1200);
const MAX_POLL_INTERVAL: Span = Span::from_millis(10_000);
const WARMUP_TIME: Span = Span::from_millis(20_000);
const OVERLOAD_WINDOW: Span = Span::from_millis(2000);
const MAX_RETRY_AFTER: Span = Span::from_millis(1500);
const ORIGIN_KIND: KindId = KindId(1);
/// The exponent of the Zipf distribution of keys.
const KEY_EXPONENT: f64 = 0.8;
/// The position of a forwarder's number within its balancer's seed.
const FORWARDER_SEED_SHIFT: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    request: u64,
    number: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlightAttempt {
    id: AttemptId,
    cache: u64,
    sent: Time,
}

/// A forwarder of the fleet.
pub(super) struct Forwarder {
    balancer_wake: Option<Time>,
    pub(super) balancer: Balancer,
    pub(super) member: MemberState<ForwarderComponent>,
    pub(super) is_alive: bool,
    /// The number of attempts sent for each request.
    attempts: BTreeMap<u64, u8>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// The arrival time of each request that has no final response yet.
    pub(super) pending: BTreeMap<u64, Time>,
}

impl Forwarder {
    pub(super) fn new(scenario: &Scenario, number: usize) -> Forwarder {
        let seed = scenario.seed ^ (number as u64) << FORWARDER_SEED_SHIFT;
        let mut balancer = Balancer::new(balancer_settings(scenario), seed, SIMULATION_START);
        balancer.on_endpoints_update(SIMULATION_START, &endpoints(scenario), true);
        let id = ForwarderId(number as u64);
        let new_component =
            move |incarnation, now| ForwarderComponent::new(Settings::default(), id, incarnation, now);
        let me = Member::Forwarder(id);
        Forwarder {
            balancer_wake: None,
            balancer,
            member: MemberState::new(me, scenario.planners, SIMULATION_START, new_component),
            is_alive: true,
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Records an attempt as in flight, under the request's next attempt number, and returns the record.
    fn start_attempt(&mut self, attempt: &Attempt, now: Time) -> InFlightAttempt {
        let request = attempt.request.0;
        let next_number = self.attempts.entry(request).or_insert(0);
        let id = AttemptId { request, number: *next_number };
        *next_number += 1;
        let in_flight = InFlightAttempt { id, cache: attempt.endpoint.0, sent: now };
        self.in_flight.insert(id, in_flight);
        in_flight
    }
}

fn balancer_settings(scenario: &Scenario) -> BalancerSettings {
    let request_class = RequestClass {
        slo: SLO,
        billed_value: 1.0,
        value_after_slo: 0.0,
        is_offered: true,
        effect: Effect::Idempotent,
    };
    BalancerSettings {
        origin: Some(ORIGIN_KIND),
        request_classes: vec![request_class],
        nodes: scenario.forwarders as f64,
        list_on_request: false,
        max_poll_interval: MAX_POLL_INTERVAL,
        only_draining_excludes: false,
        initial_capacity_share: 0.2,
        warmup_duration: WARMUP_TIME,
        overload_multiple: 3.0,
        overload_window: OVERLOAD_WINDOW,
        max_attempts: 3,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: MAX_RETRY_AFTER,
        is_value_per_work: false,
        sizes_are_capacities: false,
    }
}

/// Returns the endpoint list: all caches, followed by the origin.
fn endpoints(scenario: &Scenario) -> Vec<EndpointUpdate> {
    let endpoint = |number: usize| EndpointUpdate {
        id: EndpointId(number as u64),
        kind: if number == scenario.caches { ORIGIN_KIND } else { KindId(0) },
        size: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        ready: true,
        draining: false,
        started: None,
    };
    (0..=scenario.caches).map(endpoint).collect()
}

impl Simulation<'_> {
    pub(super) fn schedule_next_request(&mut self, forwarder: usize) {
        let standard_gap: f64 = Exp1.sample(&mut self.rng);
        let gap = Span::from_secs_f64(standard_gap / self.scenario.rate);
        self.schedule(gap, EventKind::Request { forwarder });
    }

    pub(super) fn on_request(&mut self, forwarder: usize) {
        if !self.forwarders[forwarder].is_alive {
            return;
        }
        self.schedule_next_request(forwarder);
        let keys =
            Zipf::new(self.scenario.keys, KEY_EXPONENT).expect("the scenario must have at least one key");
        let key = Key(keys.sample(&mut self.rng) as u64);
        self.last_request += 1;
        self.result.requests += 1;
        let id = self.last_request;
        let request = Request {
            request_class: RequestClassId(0),
            key,
            client_timeout: CLIENT_TIMEOUT,
            work: None,
            write: false,
        };
        let state = &mut self.forwarders[forwarder];
        state.pending.insert(id, self.now);
        state.balancer.on_request(self.now, RequestId(id), request);
        self.poll_balancer(forwarder);
    }

    pub(super) fn on_wake(&mut self, forwarder: usize) {
        self.forwarders[forwarder].balancer_wake = None;
        self.poll_balancer(forwarder);
    }

    /// Handles the end of an attempt. An attempt whose end has been reported before is ignored; a cancelled
    /// attempt, for example, ends at its cancellation.
    pub(super) fn on_attempt_finished(
        &mut self,
        forwarder: usize,
        attempt: InFlightAttempt,
        outcome: AttemptOutcome,
    ) {
        let state = &mut self.forwarders[forwarder];
        if !state.is_alive || state.in_flight.remove(&attempt.id).is_none() {
            return;
        }
        let mut is_final_response = false;
        if outcome == AttemptOutcome::Fulfilled
            && let Some(arrived) = state.pending.remove(&attempt.id.request)
        {
            is_final_response = true;
            self.result.fulfilled += 1;
            if self.now - arrived <= SLO {
                self.result.fulfilled_in_time += 1;
            }
        }
        self.report_attempt(forwarder, attempt, outcome);
        if is_final_response {
            self.record_recovery(attempt.cache);
        }
        self.poll_balancer(forwarder);
    }

    /// Reports the end of an attempt to the health component and to the balancer.
    fn report_attempt(&mut self, forwarder: usize, attempt: InFlightAttempt, outcome: AttemptOutcome) {
        let latency = self.now - attempt.sent;
        let is_origin = self.is_origin(attempt.cache);
        let state = &mut self.forwarders[forwarder];
        let observation = finished_attempt(attempt, outcome, latency, is_origin);
        state.member.health.on_observation(self.now, &observation);
        let result = AttemptResult {
            number: AttemptNumber(attempt.id.number),
            endpoint: EndpointId(attempt.cache),
            outcome,
            latency,
            answered: !state.pending.contains_key(&attempt.id.request),
        };
        state.balancer.on_attempt_finished(self.now, RequestId(attempt.id.request), &result);
    }

    /// Carries out all pending decisions of a forwarder's balancer, then schedules the balancer's next
    /// timeout.
    pub(super) fn poll_balancer(&mut self, forwarder: usize) {
        if !self.forwarders[forwarder].is_alive {
            return;
        }
        while let Some((request, number)) = self.forwarders[forwarder].balancer.poll_cancellation() {
            let id = AttemptId { request: request.0, number: number.0 };
            if let Some(attempt) = self.forwarders[forwarder].in_flight.get(&id).copied() {
                let outcome = AttemptOutcome::Cancelled;
                self.schedule(CLOCK_TICK, EventKind::AttemptFinished { forwarder, attempt, outcome });
            }
        }
        while let Some(attempt) = self.forwarders[forwarder].balancer.poll_attempt(self.now) {
            self.send_attempt(forwarder, &attempt);
        }
        while let Some((request, reply)) = self.forwarders[forwarder].balancer.poll_response(self.now) {
            self.record_local_reply(forwarder, request, &reply);
        }
        self.schedule_wake(forwarder);
    }

    fn send_attempt(&mut self, forwarder: usize, attempt: &Attempt) {
        let is_hung = self.is_hung(attempt.endpoint.0);
        if is_hung {
            self.record_attempt_at_hung_cache();
        }
        let is_origin = self.is_origin(attempt.endpoint.0);
        let state = &mut self.forwarders[forwarder];
        let observation = Observation::AttemptSent { cache: attempt.endpoint, is_origin, write: false };
        state.member.health.on_observation(self.now, &observation);
        let in_flight = state.start_attempt(attempt, self.now);
        let (duration, outcome) = if is_hung {
            (attempt.timeout, AttemptOutcome::TimedOut)
        } else {
            (RESPONSE_TIME, AttemptOutcome::Fulfilled)
        };
        self.schedule(duration, EventKind::AttemptFinished { forwarder, attempt: in_flight, outcome });
    }

    fn record_local_reply(&mut self, forwarder: usize, request: RequestId, reply: &LocalReply) {
        let was_pending = self.forwarders[forwarder].pending.remove(&request.0).is_some();
        if !was_pending {
            self.result.invalid_requests += 1;
        } else if matches!(reply, LocalReply::Errored) {
            self.result.errored += 1;
        } else {
            self.result.rate_limited += 1;
        }
    }

    fn schedule_wake(&mut self, forwarder: usize) {
        let state = &mut self.forwarders[forwarder];
        let Some(timeout) = state.balancer.poll_timeout(self.now) else { return };
        if state.balancer_wake.is_none_or(|scheduled| timeout < scheduled) {
            state.balancer_wake = Some(timeout);
            let wait = (timeout - self.now).max(CLOCK_TICK);
            self.schedule(wait, EventKind::Wake { forwarder });
        }
    }

    fn is_origin(&self, cache: u64) -> bool {
        cache as usize == self.scenario.caches
    }
}

/// Returns the observation that a forwarder passes to its health component when an attempt finishes.
fn finished_attempt(
    attempt: InFlightAttempt,
    outcome: AttemptOutcome,
    latency: Span,
    is_origin: bool,
) -> Observation {
    Observation::AttemptFinished(Box::new(FinishedAttempt {
        request_hash: attempt.id.request,
        number: attempt.id.number,
        key: Key(0),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache: EndpointId(attempt.cache),
        is_origin,
        candidates: Vec::new(),
        outcome,
        latency,
        bytes: 0,
        in_flight_at_send: 0,
        slo: SLO,
    }))
}
