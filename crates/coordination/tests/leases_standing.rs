//! Standing parts: every order of asks, answers and restarts between one planner and two forwarders, up to a depth. Letters
//! come late, twice or not at all, the planner starts anew at any moment, twice in all, and a forwarder may go on under a new
//! life. What forwarders hold adds up to no more than the planner's standing escrow. Broken variants are caught.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::Settings;
use granitelb_coordination::leases::standing::{Ask, Granter, Parts};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use test_case::test_case;

const PLANNER: PlannerId = PlannerId(0);
const WHOLE: u32 = 10;
const LASTS: Span = Span(4);

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    AsItIs,
    /// A planner that starts grants anew at once.
    NoWait,
    /// It grants again whatever an ask tells of, to whichever life that was written.
    Unnamed,
    /// A forwarder counts a part from when the grant comes.
    FromArrival,
    /// A forwarder's new life goes on with what the one before held, though the planner takes that for ended.
    LivesOn,
}

fn settings() -> Settings {
    Settings {
        whole_origin: WHOLE,
        reserve: 0,
        standing: 1000,
        standing_lasts: LASTS,
        drift: 0,
        slack: Span(0),
        fresh: Span(0),
        planners: [PLANNER].into(),
        ..Settings::default()
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask {
        from: usize,
        incarnation: Incarnation,
        sent: Time,
        ask: (u64, u32, u64, u64, u32),
    },
    Granted {
        to: usize,
        incarnation: Incarnation,
        of: Incarnation,
        sent: Time,
        asked: Time,
        ask: u64,
        amount: u32,
    },
}

#[derive(Clone, Hash)]
struct Left {
    ticks: u8,
    asks: [u8; 2],
    restarts: u8,
    renewals: u8,
    doubles: u8,
    /// A letter comes within so many ticks, or never.
    late: u64,
}

#[derive(Clone)]
struct State {
    now: Time,
    incarnation: Incarnation,
    planner: Granter,
    forwarders: [(Incarnation, Parts); 2],
    letters: BTreeMap<Message, u8>,
    left: Left,
}

impl State {
    fn key(&self) -> u64 {
        let all =
            (self.now, self.incarnation, self.planner.state(), &self.forwarders, &self.letters, &self.left);
        BuildHasherDefault::<DefaultHasher>::default().hash_one(all)
    }

    fn held(&self) -> u32 {
        self.forwarders.iter().map(|(_, parts)| parts.grants(self.now)).sum()
    }

    fn post(&mut self, letter: Message) {
        *self.letters.entry(letter).or_default() += 1;
    }

    fn comes(&mut self, letter: &Message, variant: Variant) {
        match *letter {
            Message::Ask { from, incarnation, sent, ask: (ask, need, using, to, has) } => {
                let to = if variant == Variant::Unnamed { self.incarnation } else { Incarnation(to) };
                let asked = Ask { ask, need, using, to, has };
                let sender =
                    Sender { member: Member::Forwarder(ForwarderId(from as u64)), incarnation, sequence: 0 };
                if let Ok(Some(amount)) = self.planner.asked(self.now, sender, asked, &settings()) {
                    let (of, asked, sent) = (self.incarnation, sent, self.now);
                    self.post(Message::Granted { to: from, incarnation, of, sent, asked, ask, amount });
                }
            }
            Message::Granted { to, incarnation, of, asked, ask, amount, .. } => {
                let (lives, parts) = &mut self.forwarders[to];
                // The envelope's: a letter to an earlier life is not known to have been asked for.
                if *lives == incarnation {
                    let late = if variant == Variant::FromArrival { self.now - asked } else { Span(0) };
                    let _ = parts.granted(self.now, (PLANNER, of), ask, amount, LASTS + late);
                    parts.tell();
                }
            }
        }
    }

    fn next(&self, variant: Variant) -> Vec<State> {
        let mut next = Vec::new();
        let mut to = |change: &dyn Fn(&mut State)| {
            let mut new = self.clone();
            change(&mut new);
            next.push(new);
        };
        if self.left.ticks > 0 {
            to(&|s| {
                s.left.ticks -= 1;
                s.now = s.now + Span(1);
                let (now, late) = (s.now, Span(s.left.late));
                let sent = |l: &Message| match l {
                    Message::Ask { sent, .. } | Message::Granted { sent, .. } => *sent,
                };
                s.letters.retain(|l, _| now - sent(l) <= late);
                s.forwarders.iter_mut().for_each(|(_, f)| f.pass(now));
            });
        }
        if self.left.restarts > 0 {
            to(&|s| {
                s.left.restarts -= 1;
                s.incarnation = Incarnation(s.incarnation.0 + 1);
                let born = if variant == Variant::NoWait { Time(0) } else { s.now };
                s.planner = Granter::new(&settings(), s.incarnation, born);
            });
        }
        for n in 0..2 {
            if self.left.asks[n] > 0 {
                to(&|s| {
                    s.left.asks[n] -= 1;
                    let (incarnation, now) = (s.forwarders[n].0, s.now);
                    let Ask { ask, need, using, to, has } = s.forwarders[n].1.ask(now, PLANNER, [8, 8][n]);
                    s.post(Message::Ask {
                        from: n,
                        incarnation,
                        sent: now,
                        ask: (ask, need, using, to.0, has),
                    });
                });
            }
        }
        if self.left.renewals > 0 {
            to(&|s| {
                s.left.renewals -= 1;
                let (incarnation, parts) = &mut s.forwarders[0];
                *incarnation = Incarnation(incarnation.0 + 1);
                if variant != Variant::LivesOn {
                    *parts = Parts::default();
                }
            });
        }
        for letter in self.letters.keys() {
            to(&|s| {
                let count = s.letters.get_mut(letter).expect("on the way");
                *count -= 1;
                s.letters.retain(|_, n| *n > 0);
                s.comes(letter, variant);
            });
            if self.left.doubles > 0 {
                to(&|s| {
                    s.left.doubles -= 1;
                    s.comes(letter, variant);
                });
            }
        }
        next
    }
}

/// How many states there are, the most that is held, and whether that was by a second life's grants.
fn search(variant: Variant, left: Left) -> (usize, u32, bool) {
    let start = State {
        now: Time(100),
        incarnation: Incarnation(1),
        planner: Granter::new(&settings(), Incarnation(1), Time(0)),
        forwarders: [(Incarnation(1), Parts::default()), (Incarnation(1), Parts::default())],
        letters: BTreeMap::new(),
        left,
    };
    let (mut known, mut open, mut most, mut again) = (HashSet::new(), vec![start], 0, false);
    while let Some(state) = open.pop() {
        most = most.max(state.held());
        again |= state.incarnation > Incarnation(1) && state.planner.counted() > 0;
        if most > WHOLE {
            break;
        }
        for next in state.next(variant) {
            if known.insert(next.key()) {
                open.push(next);
            }
        }
    }
    println!("{} states, most held {most}, again {again}", known.len());
    (known.len(), most, again)
}

fn left(ticks: u8, asks: [u8; 2], restarts: u8, renewals: u8, doubles: u8, late: u64) -> Left {
    Left { ticks, asks, restarts, renewals, doubles, late }
}

#[test_case(left(5, [2, 1], 1, 0, 1, 2); "a planner starts anew, a letter doubled")]
#[test_case(left(7, [2, 1], 2, 0, 0, 3); "twice anew, and letters late by more than a part lasts")]
#[test_case(left(4, [2, 2], 1, 1, 0, 1); "a forwarder's new life")]
fn what_is_held_is_within_the_escrow(left: Left) {
    let (_, most, again) = search(Variant::AsItIs, left);
    assert!(most == WHOLE && again);
}

#[test_case(Variant::NoWait, left(6, [2, 1], 1, 0, 0, 2); "a planner that doesn't wait")]
#[test_case(Variant::Unnamed, left(7, [2, 1], 2, 0, 0, 3); "an ask that names no life")]
#[test_case(Variant::FromArrival, left(7, [1, 1], 0, 0, 0, 3); "a part counted from its arrival")]
#[test_case(Variant::LivesOn, left(4, [2, 2], 0, 1, 0, 2); "a new life that goes on with what it had")]
fn a_broken_variant_is_caught(variant: Variant, left: Left) {
    assert!(search(variant, left).1 > WHOLE);
}
