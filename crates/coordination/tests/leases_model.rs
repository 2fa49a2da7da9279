//! Exhaustive search, up to a depth, over the orders of messages between two planners and three forwarders.
//! Messages are lost, duplicated, delayed and reordered, and one planner restarts. At each moment, the leases
//! that forwarders hold must add up to at most the capacity.
//!
//! A message takes at least one tick, so the steps of different members within a tick are independent:
//! members take turns in a fixed order, and every possible step of each member is tried in its turn. For each
//! forwarder, the greatest amount that it held within a tick is counted.
//!
//! The search must detect each of three broken variants of the protocol.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{
    Holdings, LeaseMessage, PlannerComponent, PlannerIncarnation, Resource, ResourceAmount, Settings,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const FORWARDERS: usize = 3;
const PLANNERS: [PlannerId; 2] = [PlannerId(0), PlannerId(1)];
/// The forwarder that uses the second planner and may change to the first one.
const ROAMING_FORWARDER: usize = 2;
const CAPACITY: u32 = 10;
/// The time at which the search begins. The planners have then been running for longer than any lease lasts.
const START: Time = Time(100);
/// The extension of a loan in the variant [`Variant::LongLoan`], in microseconds.
const LOAN_EXTENSION: u32 = 4;
/// The times at which the first forwarder sends its two requests before the search.
const SETUP_REQUESTS_AT: [Time; 2] = [START, Time(START.0 + 4)];
const SETUP_TICKS: u8 = 5;

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Correct,
    /// A planner grants immediately after its restart.
    NoStartupWait,
    /// A forwarder measures a lease's duration from the arrival of the grant.
    DurationFromArrival,
    /// A borrower counts a loan for longer than the lender does.
    LongLoan,
}

fn settings(variant: Variant) -> Settings {
    Settings {
        origin_capacity: CAPACITY,
        guaranteed_per_mille: 0,
        forwarder_count: FORWARDERS as u32,
        planners: PLANNERS.into(),
        lease_duration: Span(4),
        loan_duration: Span(7),
        max_duration: if variant == Variant::LongLoan { Span(11) } else { Span(7) },
        clock_drift_per_mille: 0,
        clock_margin: Span(0),
        request_interval: Span(3),
        target_refresh_interval: Span(0),
        ..Settings::default()
    }
}

/// The number of steps and faults of each kind that may still happen.
#[derive(Clone, Hash)]
struct Budget {
    requests: [u8; FORWARDERS],
    duplicates: u8,
    restarts: u8,
    ticks: u8,
    /// The maximum delay of a message, in ticks; a message that has not arrived by then is lost. A lease
    /// lasts 4 ticks and a loan 7.
    max_delay: u64,
}

#[derive(Clone, Hash, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightMessage {
    to: Member,
    from: Member,
    incarnation: Incarnation,
    sent_at: Time,
    message: LeaseMessage,
}

#[derive(Clone)]
struct Planner {
    incarnation: Incarnation,
    component: PlannerComponent,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    forwarder: Member,
    request_id: u64,
}

#[derive(Clone)]
struct State {
    now: Time,
    /// The index of the member whose turn it is: first the planners, then the forwarders.
    turn: usize,
    /// The greatest amount that each forwarder held in this tick.
    peaks: [u32; FORWARDERS],
    planners: Vec<Planner>,
    forwarders: Vec<Holdings>,
    /// When each request of a forwarder was sent.
    requested_at: BTreeMap<RequestKey, Time>,
    /// The messages in flight, each with the number of times that it may still arrive. A message that never
    /// arrives is lost.
    messages: BTreeMap<InFlightMessage, u8>,
    budget: Budget,
}

struct Search {
    variant: Variant,
    demands: [u32; FORWARDERS],
    visited: HashSet<u64>,
    most_held: u32,
    has_seen_loans: bool,
}

impl State {
    fn start(variant: Variant, budget: Budget) -> State {
        let planners = PLANNERS.map(|id| {
            let mut component = PlannerComponent::new(settings(variant), id, Incarnation(1), Time(0));
            component.on_membership_change(Time(0), &PLANNERS.map(Member::Planner));
            component.poll_message(START);
            Planner { incarnation: Incarnation(1), component }
        });
        State {
            now: START,
            turn: 0,
            peaks: [0; FORWARDERS],
            planners: planners.to_vec(),
            forwarders: vec![Holdings::default(); FORWARDERS],
            requested_at: BTreeMap::new(),
            messages: BTreeMap::new(),
            budget,
        }
    }

    fn fingerprint(&self) -> u64 {
        let planners: Vec<_> = self
            .planners
            .iter()
            .map(|planner| (planner.incarnation, planner.component.hashable_state()))
            .collect();
        let state =
            (self.now, self.turn, self.peaks, planners, &self.forwarders, &self.messages, &self.budget);
        BuildHasherDefault::<DefaultHasher>::default().hash_one(state)
    }

    fn update_peaks(&mut self) {
        for (peak, forwarder) in self.peaks.iter_mut().zip(&self.forwarders) {
            *peak = forwarder.usable(self.now, Resource::Origin).max(*peak);
        }
    }

    fn member_in_turn(&self) -> Member {
        match self.turn {
            planner if planner < PLANNERS.len() => Member::Planner(PLANNERS[planner]),
            index => Member::Forwarder(ForwarderId((index - PLANNERS.len()) as u64)),
        }
    }

    /// Ends the turn. After the last turn of a tick, the next tick begins.
    fn end_turn(&mut self) {
        self.turn += 1;
        if self.turn == PLANNERS.len() + FORWARDERS {
            self.turn = 0;
            self.peaks = [0; FORWARDERS];
            self.budget.ticks -= 1;
            self.now = self.now + Span(1);
            self.begin_tick();
        }
    }

    fn begin_tick(&mut self) {
        let now = self.now;
        let max_delay = Span(self.budget.max_delay);
        self.messages.retain(|message, _| now - message.sent_at <= max_delay);
        for forwarder in &mut self.forwarders {
            forwarder.expire(now);
        }
        for planner in 0..PLANNERS.len() {
            self.send_planner_messages(planner);
        }
        self.update_peaks();
    }

    fn send(&mut self, from: Member, incarnation: Incarnation, to: Member, message: LeaseMessage) {
        let message = InFlightMessage { to, from, incarnation, sent_at: self.now, message };
        *self.messages.entry(message).or_default() += 1;
    }

    fn send_planner_messages(&mut self, index: usize) {
        let incarnation = self.planners[index].incarnation;
        while let Some((to, message)) = self.planners[index].component.poll_message(self.now) {
            self.send(Member::Planner(PLANNERS[index]), incarnation, to, message);
        }
    }

    /// Delivers a message. If `is_duplicated`, the message may arrive once more.
    fn deliver(&mut self, message: &InFlightMessage, is_duplicated: bool, variant: Variant) {
        if is_duplicated {
            self.budget.duplicates -= 1;
        } else {
            *self.messages.get_mut(message).expect("the message is in flight") -= 1;
        }
        self.messages.retain(|_, count| *count > 0);
        match message.to {
            Member::Planner(id) => self.deliver_to_planner(id.0 as usize, message, variant),
            Member::Forwarder(id) => self.deliver_to_forwarder(id.0 as usize, message, variant),
        }
    }

    fn deliver_to_planner(&mut self, index: usize, envelope: &InFlightMessage, variant: Variant) {
        let sender = Sender { member: envelope.from, incarnation: envelope.incarnation, sequence: 0 };
        let mut message = envelope.message.clone();
        if let (LeaseMessage::Grant { duration, .. }, Variant::LongLoan) = (&mut message, variant) {
            *duration += LOAN_EXTENSION;
        }
        // The result is unused: the planner may ignore the message.
        let _ = self.planners[index].component.on_message(self.now, sender, message);
        self.send_planner_messages(index);
    }

    fn deliver_to_forwarder(&mut self, index: usize, envelope: &InFlightMessage, variant: Variant) {
        let LeaseMessage::Grant { request_id, granted, duration } = &envelope.message else { return };
        let Member::Planner(planner) = envelope.from else { return };
        let key = RequestKey { forwarder: envelope.to, request_id: *request_id };
        let requested_at = self.requested_at.get(&key).copied().unwrap_or(self.now);
        let mut duration = Span(u64::from(*duration));
        if variant == Variant::DurationFromArrival {
            duration = duration + (self.now - requested_at);
        }
        let from = PlannerIncarnation { planner, incarnation: envelope.incarnation };
        let forwarder = &mut self.forwarders[index];
        // The result is unused: the forwarder may ignore the grant.
        let _ = forwarder.on_grant(self.now, from, *request_id, granted, duration);
        forwarder.mark_applied();
        self.update_peaks();
    }

    fn request(&mut self, index: usize, planner: PlannerId, amount: u32) {
        self.budget.requests[index] -= 1;
        let forwarder = Member::Forwarder(ForwarderId(index as u64));
        let wanted = [ResourceAmount { resource: Resource::Origin, amount }];
        for message in self.forwarders[index].request(self.now, planner, &wanted) {
            if let LeaseMessage::Request { request_id, .. } = &message {
                let key = RequestKey { forwarder, request_id: *request_id };
                self.requested_at.insert(key, self.now);
            }
            self.send(forwarder, Incarnation(1), Member::Planner(planner), message);
        }
    }

    fn restart_planner(&mut self, index: usize, variant: Variant) {
        self.budget.restarts -= 1;
        let started_at = if variant == Variant::NoStartupWait { Time(0) } else { self.now };
        let incarnation = Incarnation(2);
        let mut component =
            PlannerComponent::new(settings(variant), PLANNERS[index], incarnation, started_at);
        component.on_membership_change(self.now, &PLANNERS.map(Member::Planner));
        self.planners[index] = Planner { incarnation, component };
    }

    fn held(&self) -> u32 {
        self.peaks.iter().sum()
    }

    fn has_loans(&self) -> bool {
        self.planners
            .iter()
            .any(|planner| planner.component.outstanding_grants().any(|grants| grants.loaned > 0))
    }
}

impl Search {
    /// Brings the state to the start of the search, with a loan and a request in flight: the first forwarder
    /// requests, its planner requests a loan, the forwarder requests again, and each message arrives as soon
    /// as possible.
    fn with_loan_in_flight(&mut self, mut state: State) -> State {
        let ticks_of_search = state.budget.ticks;
        state.budget.ticks += SETUP_TICKS;
        state.budget.requests[0] += SETUP_REQUESTS_AT.len() as u8;
        while state.budget.ticks > ticks_of_search {
            while let Some(message) = first_deliverable(&state) {
                state.deliver(&message, false, self.variant);
            }
            if state.turn == PLANNERS.len() && SETUP_REQUESTS_AT.contains(&state.now) {
                state.request(0, PLANNERS[0], self.demands[0]);
            }
            state.end_turn();
        }
        state
    }

    /// All states that may follow the given one.
    fn successors(&self, state: &State) -> Vec<State> {
        let mut successors = Vec::new();
        // The end of the turn is added first, so that it is explored last: most violations are found where
        // messages arrive.
        if state.budget.ticks > 0 {
            successors.push(changed(state, State::end_turn));
        }
        if let Member::Forwarder(id) = state.member_in_turn() {
            self.add_requests(state, id.0 as usize, &mut successors);
        }
        for message in deliverable(state) {
            successors.push(changed(state, |next| next.deliver(message, false, self.variant)));
            if state.budget.duplicates > 0 {
                successors.push(changed(state, |next| next.deliver(message, true, self.variant)));
            }
        }
        if state.budget.restarts > 0 && state.turn < PLANNERS.len() {
            successors.push(changed(state, |next| next.restart_planner(next.turn, self.variant)));
        }
        successors
    }

    fn add_requests(&self, state: &State, forwarder: usize, successors: &mut Vec<State>) {
        if state.budget.requests[forwarder] == 0 {
            return;
        }
        for (index, planner) in PLANNERS.into_iter().enumerate() {
            let is_own_planner = index == usize::from(forwarder == ROAMING_FORWARDER);
            if is_own_planner || forwarder == ROAMING_FORWARDER {
                let amount = self.demands[forwarder];
                successors.push(changed(state, |next| next.request(forwarder, planner, amount)));
            }
        }
    }

    /// Explores all states that can be reached. Returns whether the capacity was exceeded in any state.
    fn exceeds_capacity(&mut self, start: State) -> bool {
        let mut unexplored = vec![start];
        while let Some(state) = unexplored.pop() {
            self.most_held = self.most_held.max(state.held());
            if self.most_held > CAPACITY {
                return true;
            }
            self.has_seen_loans |= state.has_loans();
            for successor in self.successors(&state) {
                if self.visited.insert(successor.fingerprint()) {
                    unexplored.push(successor);
                }
            }
        }
        false
    }
}

fn changed(state: &State, change: impl FnOnce(&mut State)) -> State {
    let mut next = state.clone();
    change(&mut next);
    next
}

/// The messages that may arrive in this turn.
fn deliverable(state: &State) -> impl Iterator<Item = &InFlightMessage> {
    let member = state.member_in_turn();
    state.messages.keys().filter(move |message| message.to == member && message.sent_at < state.now)
}

fn first_deliverable(state: &State) -> Option<InFlightMessage> {
    deliverable(state).next().cloned()
}

struct SearchResult {
    is_violated: bool,
    most_held: u32,
    has_seen_loans: bool,
}

fn search(variant: Variant, demands: [u32; FORWARDERS], budget: Budget) -> SearchResult {
    let mut search =
        Search { variant, demands, visited: HashSet::new(), most_held: 0, has_seen_loans: false };
    let start = search.with_loan_in_flight(State::start(variant, budget));
    let is_violated = search.exceeds_capacity(start);
    let Search { visited, most_held, has_seen_loans, .. } = search;
    println!("{} states, most held {most_held}, loans seen: {has_seen_loans}", visited.len());
    SearchResult { is_violated, most_held, has_seen_loans }
}

fn budget(requests: [u8; FORWARDERS], duplicates: u8, restarts: u8, ticks: u8, max_delay: u64) -> Budget {
    Budget { requests, duplicates, restarts, ticks, max_delay }
}

#[test_case(budget([0, 1, 1], 1, 0, 4, 2); "delayed and duplicated messages")]
#[test_case(budget([0, 1, 1], 0, 1, 5, 1); "a planner restarts, over a long time")]
#[test_case(budget([0, 1, 1], 1, 1, 4, 1); "a planner restarts, a message is duplicated")]
fn held_leases_are_within_the_capacity_in_any_order(budget: Budget) {
    let result = search(Variant::Correct, [8, 8, 2], budget);
    assert!(!result.is_violated && result.has_seen_loans && result.most_held == CAPACITY);
}

#[test]
fn planner_without_startup_wait_is_detected() {
    assert!(search(Variant::NoStartupWait, [8, 8, 2], budget([1, 1, 0], 0, 1, 5, 2)).is_violated);
}

#[test]
fn forwarder_that_counts_from_arrival_is_detected() {
    assert!(search(Variant::DurationFromArrival, [8, 8, 2], budget([1, 1, 0], 0, 0, 7, 3)).is_violated);
}

#[test]
fn loan_that_outlives_the_lenders_grant_is_detected() {
    assert!(search(Variant::LongLoan, [8, 8, 8], budget([1, 0, 1], 0, 0, 8, 1)).is_violated);
}
