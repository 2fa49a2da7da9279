//! Exhaustive search, up to a depth, over the orders of long-term requests, answers and restarts between one
//! planner and two forwarders. Messages are delayed, duplicated or lost, the planner restarts at any moment,
//! up to twice, and a forwarder may continue under a new incarnation. The allocations that forwarders hold
//! must add up to at most the planner's long-term escrow. The search must detect each broken variant of the
//! protocol.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::long_term::{LongTermAllocations, LongTermGrantor};
use granitelb_coordination::leases::{LongTermRequest, PlannerIncarnation, Settings};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const PLANNER: PlannerId = PlannerId(0);
const FORWARDERS: usize = 2;
const ESCROW: u32 = 10;
/// The demand of each forwarder, in thousandths of a fetch a second.
const DEMAND: u32 = 8;
const DURATION: Span = Span(4);
const FIRST_INCARNATION: Incarnation = Incarnation(1);

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Correct,
    /// A planner grants immediately after its start.
    NoStartupWait,
    /// A planner grants again any amount that a request reports, whichever incarnation the request was
    /// addressed to.
    IncarnationIgnored,
    /// A forwarder measures an allocation's duration from the arrival of the grant.
    DurationFromArrival,
    /// A forwarder's new incarnation continues to use the allocations of the previous one, although the
    /// planner considers them revoked.
    AllocationsKept,
}

fn settings() -> Settings {
    Settings {
        origin_capacity: ESCROW,
        guaranteed_per_mille: 0,
        long_term_per_mille: 1000,
        long_term_duration: DURATION,
        clock_drift_per_mille: 0,
        clock_margin: Span(0),
        target_refresh_interval: Span(0),
        planners: [PLANNER].into(),
        ..Settings::default()
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request {
        from: usize,
        incarnation: Incarnation,
        sent_at: Time,
        request: LongTermRequest,
    },
    Grant {
        to: usize,
        /// The incarnation under which the forwarder requested.
        incarnation: Incarnation,
        planner_incarnation: Incarnation,
        sent_at: Time,
        requested_at: Time,
        request_id: u64,
        amount: u32,
    },
}

impl Message {
    fn sent_at(&self) -> Time {
        match self {
            Message::Request { sent_at, .. } | Message::Grant { sent_at, .. } => *sent_at,
        }
    }
}

/// The number of steps and faults of each kind that may still happen.
#[derive(Clone, Hash)]
struct Budget {
    ticks: u8,
    requests: [u8; FORWARDERS],
    planner_restarts: u8,
    forwarder_restarts: u8,
    duplicates: u8,
    /// The maximum delay of a message, in ticks; a message that has not arrived by then is lost.
    max_delay: u64,
}

#[derive(Clone, Hash)]
struct Forwarder {
    incarnation: Incarnation,
    allocations: LongTermAllocations,
}

#[derive(Clone)]
struct State {
    now: Time,
    planner_incarnation: Incarnation,
    planner: LongTermGrantor,
    forwarders: [Forwarder; FORWARDERS],
    /// The messages in flight, each with the number of times that it may still arrive.
    messages: BTreeMap<Message, u8>,
    budget: Budget,
}

impl State {
    fn start(budget: Budget) -> State {
        let forwarder =
            Forwarder { incarnation: FIRST_INCARNATION, allocations: LongTermAllocations::default() };
        State {
            now: Time(100),
            planner_incarnation: FIRST_INCARNATION,
            planner: LongTermGrantor::new(&settings(), FIRST_INCARNATION, Time(0)),
            forwarders: [forwarder.clone(), forwarder],
            messages: BTreeMap::new(),
            budget,
        }
    }

    fn fingerprint(&self) -> u64 {
        let state = (
            self.now,
            self.planner_incarnation,
            self.planner.hashable_state(),
            &self.forwarders,
            &self.messages,
            &self.budget,
        );
        BuildHasherDefault::<DefaultHasher>::default().hash_one(state)
    }

    fn held(&self) -> u32 {
        self.forwarders.iter().map(|forwarder| forwarder.allocations.granted(self.now)).sum()
    }

    fn has_grants_of_later_incarnation(&self) -> bool {
        self.planner_incarnation > FIRST_INCARNATION && self.planner.outstanding() > 0
    }

    fn send(&mut self, message: Message) {
        *self.messages.entry(message).or_default() += 1;
    }

    fn pass_tick(&mut self) {
        self.budget.ticks -= 1;
        self.now = self.now + Span(1);
        let now = self.now;
        let max_delay = Span(self.budget.max_delay);
        self.messages.retain(|message, _| now - message.sent_at() <= max_delay);
        for forwarder in &mut self.forwarders {
            forwarder.allocations.expire(now);
        }
    }

    fn restart_planner(&mut self, variant: Variant) {
        self.budget.planner_restarts -= 1;
        self.planner_incarnation = Incarnation(self.planner_incarnation.0 + 1);
        let started_at = if variant == Variant::NoStartupWait { Time(0) } else { self.now };
        self.planner = LongTermGrantor::new(&settings(), self.planner_incarnation, started_at);
    }

    fn restart_forwarder(&mut self, variant: Variant) {
        self.budget.forwarder_restarts -= 1;
        let forwarder = &mut self.forwarders[0];
        forwarder.incarnation = Incarnation(forwarder.incarnation.0 + 1);
        if variant != Variant::AllocationsKept {
            forwarder.allocations = LongTermAllocations::default();
        }
    }

    fn request(&mut self, from: usize) {
        self.budget.requests[from] -= 1;
        let forwarder = &mut self.forwarders[from];
        let incarnation = forwarder.incarnation;
        let request = forwarder.allocations.request(self.now, PLANNER, DEMAND);
        self.send(Message::Request { from, incarnation, sent_at: self.now, request });
    }

    fn deliver(&mut self, message: &Message, variant: Variant) {
        *self.messages.get_mut(message).expect("the message is in flight") -= 1;
        self.messages.retain(|_, count| *count > 0);
        self.handle(message, variant);
    }

    fn deliver_duplicate(&mut self, message: &Message, variant: Variant) {
        self.budget.duplicates -= 1;
        self.handle(message, variant);
    }

    fn handle(&mut self, message: &Message, variant: Variant) {
        match message.clone() {
            Message::Request { from, incarnation, sent_at, mut request } => {
                if variant == Variant::IncarnationIgnored {
                    request.planner_incarnation = self.planner_incarnation;
                }
                let member = Member::Forwarder(ForwarderId(from as u64));
                let sender = Sender { member, incarnation, sequence: 0 };
                if let Ok(Some(amount)) = self.planner.on_request(self.now, sender, request, &settings()) {
                    self.send(Message::Grant {
                        to: from,
                        incarnation,
                        planner_incarnation: self.planner_incarnation,
                        sent_at: self.now,
                        requested_at: sent_at,
                        request_id: request.request_id,
                        amount,
                    });
                }
            }
            Message::Grant {
                to, incarnation, planner_incarnation, requested_at, request_id, amount, ..
            } => {
                let forwarder = &mut self.forwarders[to];
                // The forwarder ignores answers to requests of its earlier incarnations, because it does not
                // know those requests.
                if forwarder.incarnation != incarnation {
                    return;
                }
                let mut duration = DURATION;
                if variant == Variant::DurationFromArrival {
                    duration = duration + (self.now - requested_at);
                }
                let from = PlannerIncarnation { planner: PLANNER, incarnation: planner_incarnation };
                // The result is unused: the forwarder may ignore the grant.
                let _ = forwarder.allocations.on_grant(self.now, from, request_id, amount, duration);
                forwarder.allocations.mark_applied();
            }
        }
    }

    /// All states that may follow this one.
    fn successors(&self, variant: Variant) -> Vec<State> {
        let mut successors = Vec::new();
        if self.budget.ticks > 0 {
            successors.push(self.changed(State::pass_tick));
        }
        if self.budget.planner_restarts > 0 {
            successors.push(self.changed(|next| next.restart_planner(variant)));
        }
        for forwarder in 0..FORWARDERS {
            if self.budget.requests[forwarder] > 0 {
                successors.push(self.changed(|next| next.request(forwarder)));
            }
        }
        if self.budget.forwarder_restarts > 0 {
            successors.push(self.changed(|next| next.restart_forwarder(variant)));
        }
        for message in self.messages.keys() {
            successors.push(self.changed(|next| next.deliver(message, variant)));
            if self.budget.duplicates > 0 {
                successors.push(self.changed(|next| next.deliver_duplicate(message, variant)));
            }
        }
        successors
    }

    fn changed(&self, change: impl FnOnce(&mut State)) -> State {
        let mut next = self.clone();
        change(&mut next);
        next
    }
}

struct SearchResult {
    most_held: u32,
    /// Whether a later incarnation of the planner had made a grant in any state.
    has_granted_again: bool,
}

fn search(variant: Variant, budget: Budget) -> SearchResult {
    let mut visited = HashSet::new();
    let mut unexplored = vec![State::start(budget)];
    let mut result = SearchResult { most_held: 0, has_granted_again: false };
    while let Some(state) = unexplored.pop() {
        result.most_held = result.most_held.max(state.held());
        result.has_granted_again |= state.has_grants_of_later_incarnation();
        if result.most_held > ESCROW {
            break;
        }
        for successor in state.successors(variant) {
            if visited.insert(successor.fingerprint()) {
                unexplored.push(successor);
            }
        }
    }
    let SearchResult { most_held, has_granted_again } = &result;
    println!("{} states, most held {most_held}, granted again: {has_granted_again}", visited.len());
    result
}

fn budget(
    ticks: u8,
    requests: [u8; FORWARDERS],
    planner_restarts: u8,
    forwarder_restarts: u8,
    duplicates: u8,
    max_delay: u64,
) -> Budget {
    Budget { ticks, requests, planner_restarts, forwarder_restarts, duplicates, max_delay }
}

#[test_case(budget(5, [2, 1], 1, 0, 1, 2); "a planner restarts, a message is duplicated")]
#[test_case(budget(7, [2, 1], 2, 0, 0, 3); "two restarts, and messages delayed beyond an expiry")]
#[test_case(budget(4, [2, 2], 1, 1, 0, 1); "a forwarder's new incarnation")]
fn held_allocations_are_within_the_escrow(budget: Budget) {
    let result = search(Variant::Correct, budget);
    assert!(result.most_held == ESCROW && result.has_granted_again);
}

#[test_case(Variant::NoStartupWait, budget(6, [2, 1], 1, 0, 0, 2); "a planner that does not wait")]
#[test_case(Variant::IncarnationIgnored, budget(7, [2, 1], 2, 0, 0, 3); "a request that names no incarnation")]
#[test_case(Variant::DurationFromArrival, budget(7, [1, 1], 0, 0, 0, 3); "an allocation counted from its arrival")]
#[test_case(Variant::AllocationsKept, budget(4, [2, 2], 0, 1, 0, 2); "a new incarnation that keeps its allocations")]
fn broken_variant_is_detected(variant: Variant, budget: Budget) {
    assert!(search(variant, budget).most_held > ESCROW);
}
