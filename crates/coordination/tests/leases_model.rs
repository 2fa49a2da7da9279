//! Every order of letters between two planners and three forwarders, up to a depth: lost, doubled, late, passed by one
//! another, and one planner that starts anew. At each moment what forwarders hold adds up to no more than the whole.
//! A letter takes a tick at least, so what members do within one doesn't touch: each has its turn, and all that each may
//! do there is tried. Of what a forwarder holds within a tick the most counts.
//! Three broken variants of the protocol are each caught.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{Holder, LeaseMessage, PlannerComponent, Resource, Settings};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const FORWARDERS: usize = 3;
const PLANNERS: [PlannerId; 2] = [PlannerId(0), PlannerId(1)];
/// Planners have been up for longer than any lease when it begins.
const START: Time = Time(100);

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    AsItIs,
    /// A planner that starts anew grants at once.
    NoWait,
    /// A forwarder counts a lease from when the grant comes.
    FromArrival,
    /// A borrower counts a loan for longer than the lender does.
    LongLoan,
}

fn settings(variant: Variant) -> Settings {
    Settings {
        whole_origin: 10,
        reserve: 0,
        forwarders: FORWARDERS as u32,
        planners: PLANNERS.into(),
        lease: Span(4),
        loan: Span(7),
        longest: if variant == Variant::LongLoan { Span(11) } else { Span(7) },
        drift: 0,
        slack: Span(0),
        beat: Span(3),
        fresh: Span(0),
        ..Settings::default()
    }
}

/// How much of each kind of trouble is left to happen.
#[derive(Clone, Hash)]
struct Left {
    asks: [u8; FORWARDERS],
    doubles: u8,
    restarts: u8,
    ticks: u8,
    /// A letter comes within so many ticks or never; a lease lasts 4 and a loan 7.
    late: u64,
}

#[derive(Clone, Hash, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    to: Member,
    from: Member,
    incarnation: Incarnation,
    sent: Time,
    message: LeaseMessage,
}

#[derive(Clone)]
struct State {
    now: Time,
    /// Whose turn it is: the planners', then the forwarders'.
    turn: usize,
    peaks: [u32; FORWARDERS],
    planners: Vec<(Incarnation, PlannerComponent)>,
    forwarders: Vec<Holder>,
    /// When each forwarder sent each ask.
    asked: BTreeMap<(Member, u64), Time>,
    /// On the way, each with how often it may still come. What never comes is lost.
    letters: BTreeMap<Message, u8>,
    left: Left,
}

struct Search {
    variant: Variant,
    needs: [u32; FORWARDERS],
    known: HashSet<u64>,
    most: u32,
    lent: bool,
}

impl State {
    fn start(variant: Variant, left: Left) -> State {
        let planner = |id| {
            let mut planner = PlannerComponent::new(settings(variant), id, Incarnation(1), Time(0));
            planner.on_membership_change(Time(0), &PLANNERS.map(Member::Planner));
            planner.poll_message(START);
            (Incarnation(1), planner)
        };
        let planners = PLANNERS.map(planner).to_vec();
        let forwarders = vec![Holder::default(); FORWARDERS];
        State {
            now: START,
            turn: 0,
            peaks: [0; FORWARDERS],
            planners,
            forwarders,
            asked: BTreeMap::new(),
            letters: BTreeMap::new(),
            left,
        }
    }

    fn key(&self) -> u64 {
        let planners: Vec<_> = self.planners.iter().map(|(l, p)| (l, p.state())).collect();
        let all = (self.now, self.turn, self.peaks, planners, &self.forwarders, &self.letters, &self.left);
        BuildHasherDefault::<DefaultHasher>::default().hash_one(all)
    }

    fn see(&mut self) {
        for (peak, forwarder) in self.peaks.iter_mut().zip(&self.forwarders) {
            *peak = forwarder.holds(self.now, Resource::Origin).max(*peak);
        }
    }

    fn whose(&self) -> Member {
        match self.turn {
            p if p < PLANNERS.len() => Member::Planner(PLANNERS[p]),
            f => Member::Forwarder(ForwarderId((f - PLANNERS.len()) as u64)),
        }
    }

    /// Its turn is over; after the last one's a tick passes.
    fn pass_on(&mut self) {
        self.turn += 1;
        if self.turn == PLANNERS.len() + FORWARDERS {
            (self.turn, self.peaks, self.left.ticks) = (0, [0; FORWARDERS], self.left.ticks - 1);
            self.now = self.now + Span(1);
            let (now, late) = (self.now, Span(self.left.late));
            self.letters.retain(|l, _| now - l.sent <= late);
            self.forwarders.iter_mut().for_each(|f| f.pass(now));
            (0..PLANNERS.len()).for_each(|p| self.pull(p));
            self.see();
        }
    }

    fn post(&mut self, from: Member, incarnation: Incarnation, to: Member, message: LeaseMessage) {
        let letter = Message { to, from, incarnation, sent: self.now, message };
        *self.letters.entry(letter).or_default() += 1;
    }

    fn pull(&mut self, n: usize) {
        let incarnation = self.planners[n].0;
        while let Some((to, message)) = self.planners[n].1.poll_message(self.now) {
            self.post(Member::Planner(PLANNERS[n]), incarnation, to, message);
        }
    }

    /// A letter comes. Afterwards it may come once more if `again`.
    fn comes(&mut self, letter: &Message, again: bool, variant: Variant) {
        let count = self.letters.get_mut(letter).expect("on the way");
        if again {
            self.left.doubles -= 1;
        } else {
            *count -= 1;
        }
        self.letters.retain(|_, n| *n > 0);
        match letter.to {
            Member::Planner(id) => {
                let sender = Sender { member: letter.from, incarnation: letter.incarnation, sequence: 0 };
                let mut message = letter.message.clone();
                if let (LeaseMessage::Grant { lasts, .. }, Variant::LongLoan) = (&mut message, variant) {
                    *lasts += 4;
                }
                let _ = self.planners[id.0 as usize].1.on_message(self.now, sender, message);
                self.pull(id.0 as usize);
            }
            Member::Forwarder(id) => {
                let (LeaseMessage::Grant { ask, granted, lasts }, Member::Planner(from)) =
                    (&letter.message, letter.from)
                else {
                    return;
                };
                let sent = self.asked.get(&(letter.to, *ask)).copied().unwrap_or(self.now);
                let late = if variant == Variant::FromArrival { self.now - sent } else { Span(0) };
                let lasts = Span(u64::from(*lasts)) + late;
                let forwarder = &mut self.forwarders[id.0 as usize];
                let _ = forwarder.granted(self.now, (from, letter.incarnation), *ask, granted, lasts);
                forwarder.tell();
                self.see();
            }
        }
    }
}

impl Search {
    /// The first forwarder asks, its planner borrows, it asks again, and all comes at once. From here on, with a loan
    /// and an ask on their way, anything may happen.
    fn borrowed(&mut self, mut state: State) -> State {
        let left = state.left.clone();
        (state.left.ticks, state.left.asks[0]) = (left.ticks + 5, left.asks[0] + 2);
        while state.left.ticks > left.ticks {
            let due = |s: &State| s.letters.keys().find(|l| l.to == s.whose() && l.sent < s.now).cloned();
            while let Some(letter) = due(&state) {
                state.comes(&letter, false, self.variant);
            }
            if state.turn == PLANNERS.len() && [START, START + Span(4)].contains(&state.now) {
                state = self.next(&state).swap_remove(1);
            }
            state.pass_on();
        }
        state
    }

    /// All states that follow.
    fn next(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let mut to = |change: &dyn Fn(&mut State)| {
            let mut new = state.clone();
            change(&mut new);
            next.push(new);
        };
        let whose = state.whose();
        // First, so that it is gone into last: what is broken is mostly found where letters come.
        if state.left.ticks > 0 {
            to(&|s| s.pass_on());
        }
        if let Member::Forwarder(id) = whose {
            let n = id.0 as usize;
            for (p, planner) in PLANNERS.iter().enumerate() {
                // One planner is the first for the first two, the other for the last; the last may change.
                if state.left.asks[n] > 0 && (p == usize::from(n == 2) || n == 2) {
                    to(&|s| {
                        s.left.asks[n] -= 1;
                        let asks = s.forwarders[n].ask(s.now, *planner, &[(Resource::Origin, self.needs[n])]);
                        for message in asks {
                            if let LeaseMessage::Ask { ask, .. } = &message {
                                s.asked.insert((whose, *ask), s.now);
                            }
                            s.post(whose, Incarnation(1), Member::Planner(*planner), message);
                        }
                    });
                }
            }
        }
        for letter in state.letters.keys().filter(|l| l.to == whose && l.sent < state.now) {
            to(&|s| s.comes(letter, false, self.variant));
            if state.left.doubles > 0 {
                to(&|s| s.comes(letter, true, self.variant));
            }
        }
        if state.left.restarts > 0 && state.turn < PLANNERS.len() {
            to(&|s| {
                s.left.restarts -= 1;
                let born = if self.variant == Variant::NoWait { Time(0) } else { s.now };
                let mut planner =
                    PlannerComponent::new(settings(self.variant), PLANNERS[s.turn], Incarnation(2), born);
                planner.on_membership_change(s.now, &PLANNERS.map(Member::Planner));
                s.planners[s.turn] = (Incarnation(2), planner);
            });
        }
        next
    }

    /// Whether the whole was exceeded anywhere.
    fn run(&mut self, start: State) -> bool {
        let mut open = vec![start];
        while let Some(state) = open.pop() {
            self.most = self.most.max(state.peaks.iter().sum());
            if self.most > settings(self.variant).whole(Resource::Origin) {
                return true;
            }
            self.lent |= state.planners.iter().any(|(_, p)| p.counted().any(|(_, _, loans)| loans > 0));
            for next in self.next(&state) {
                if self.known.insert(next.key()) {
                    open.push(next);
                }
            }
        }
        false
    }
}

fn search(variant: Variant, needs: [u32; FORWARDERS], left: Left) -> (bool, Search) {
    let mut search = Search { variant, needs, known: HashSet::new(), most: 0, lent: false };
    let start = search.borrowed(State::start(variant, left));
    let broken = search.run(start);
    println!("{} states, most held {}, lent {}", search.known.len(), search.most, search.lent);
    (broken, search)
}

fn left(asks: [u8; FORWARDERS], doubles: u8, restarts: u8, (ticks, late): (u8, u64)) -> Left {
    Left { asks, doubles, restarts, ticks, late }
}

#[test_case(left([0, 1, 1], 1, 0, (4, 2)); "late and doubled")]
#[test_case(left([0, 1, 1], 0, 1, (5, 1)); "a planner starts anew, for long")]
#[test_case(left([0, 1, 1], 1, 1, (4, 1)); "a planner starts anew, a letter doubled")]
fn what_is_held_is_within_the_whole_in_any_order(left: Left) {
    let (broken, search) = search(Variant::AsItIs, [8, 8, 2], left);
    assert!(!broken && search.lent && search.most == 10);
}

#[test]
fn a_planner_that_does_not_wait_is_caught() {
    assert!(search(Variant::NoWait, [8, 8, 2], left([1, 1, 0], 0, 1, (5, 2))).0);
}

#[test]
fn a_forwarder_that_counts_from_arrival_is_caught() {
    assert!(search(Variant::FromArrival, [8, 8, 2], left([1, 1, 0], 0, 0, (7, 3))).0);
}

#[test]
fn a_loan_that_outlives_is_caught() {
    assert!(search(Variant::LongLoan, [8, 8, 8], left([1, 0, 1], 0, 0, (8, 1))).0);
}
