//! Forwarders that ask for leases and hold them, each by a clock of its own, and a judge of what all of them hold at each
//! moment: by letters and the machine's own clock, with nothing of what planners or forwarders reckon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use granitelb_coordination::leases::{Demand, LeaseMessage, Resource};
use granitelb_coordination::message::{self, Message};
use granitelb_coordination::{Incarnation, Member, PlannerId};

use super::support::{Fleet, Forwarder, OURS, secrets};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// More than all is what each wants.
const WANTS: u32 = 60_000;

struct Held {
    ask: u64,
    amount: u32,
    ends: Instant,
}

struct Holder {
    speaks: Forwarder,
    /// What passes on its clock while a second passes.
    rate: f64,
    last: u64,
    asked: BTreeMap<u64, (PlannerId, Instant)>,
    held: BTreeMap<(PlannerId, Incarnation), Held>,
    next: Instant,
    /// The greatest life of each planner that was heard, and when it was heard first.
    lives: BTreeMap<PlannerId, (Incarnation, Instant)>,
}

impl Holder {
    fn ask(&mut self, planner: PlannerId, to: SocketAddr) {
        self.last += 1;
        self.asked.insert(self.last, (planner, Instant::now()));
        let of = self.held.iter().filter(|((p, _), _)| *p == planner);
        let using = of.map(|(_, held)| held.ask).max().unwrap_or(0);
        let need = Demand {
            resource: Resource::Origin,
            amount: WANTS,
            request_in_use: using,
            requesters: 1,
            already_held: 0,
        };
        let letter = Message::Leases(LeaseMessage::Request { request_id: self.last, demands: vec![need] });
        let bytes = self.speaks.sealed(&letter, OURS);
        self.speaks.send(&bytes, to);
    }

    /// Takes all that has come.
    fn hear(&mut self) {
        let mut bytes = [0; 2000];
        while let Ok((length, _)) = self.speaks.socket.recv_from(&mut bytes) {
            let Ok((from, letter)) = message::open(&bytes[..length], &secrets(OURS)) else { continue };
            let Member::Planner(planner) = from.member else { continue };
            let known = self.lives.entry(planner).or_insert((from.incarnation, Instant::now()));
            if from.incarnation < known.0 {
                continue;
            }
            if from.incarnation > known.0 {
                *known = (from.incarnation, Instant::now());
            }
            let Message::Leases(LeaseMessage::Grant { request_id: ask, granted, duration: lasts }) = letter
            else {
                continue;
            };
            let Some((_, sent)) = self.asked.remove(&ask).filter(|(of, _)| *of == planner) else { continue };
            self.asked.retain(|_, (of, at)| *of != planner || *at >= sent);
            let amount = granted.iter().find(|g| g.resource == Resource::Origin).map_or(0, |g| g.amount);
            let ends = sent + Duration::from_micros(u64::from(lasts)).div_f64(self.rate);
            self.held.insert((planner, from.incarnation), Held { ask, amount, ends });
        }
        let now = Instant::now();
        self.held.retain(|_, held| held.ends > now);
    }
}

/// What all held in a while.
#[derive(Debug, Default)]
pub struct Seen {
    /// The most at any moment, in thousandths.
    pub most: u64,
    /// Moments at which it was over what may be leased.
    pub over: u64,
}

pub struct Holders {
    holders: Vec<Holder>,
    /// Of lives before.
    left: Vec<Held>,
    /// All that may be leased, in thousandths.
    whole: u64,
}

impl Holders {
    pub fn new(rates: &[f64], whole: u64) -> Holders {
        let holder = |(n, rate): (usize, &f64)| {
            let speaks = Forwarder::new(&format!("holder-{n}"));
            speaks.socket.set_nonblocking(true).expect("set");
            Holder {
                speaks,
                rate: *rate,
                last: 0,
                asked: BTreeMap::new(),
                held: BTreeMap::new(),
                next: Instant::now() + HEARTBEAT_INTERVAL.mul_f64(n as f64 / rates.len() as f64),
                lives: BTreeMap::new(),
            }
        };
        Holders { holders: rates.iter().enumerate().map(holder).collect(), left: Vec::new(), whole }
    }

    /// All ask this planner for so long.
    pub fn ask(&mut self, fleet: &Fleet, planner: usize, lasts: Duration) -> Seen {
        self.ask_each(lasts, |_| Some((planner, fleet.addresses[planner - 1])))
    }

    /// Each asks a planner at an address for so long, or is silent, and all are judged each some milliseconds.
    pub fn ask_each(&mut self, lasts: Duration, whom: impl Fn(usize) -> Option<(usize, SocketAddr)>) -> Seen {
        let (ends, mut seen) = (Instant::now() + lasts, Seen::default());
        while Instant::now() < ends {
            for (n, holder) in self.holders.iter_mut().enumerate() {
                holder.hear();
                if holder.next <= Instant::now() {
                    holder.next = Instant::now() + HEARTBEAT_INTERVAL;
                    if let Some((planner, to)) = whom(n) {
                        holder.ask(PlannerId(planner as u8), to);
                    }
                }
            }
            let now = Instant::now();
            let held = self.holders.iter().flat_map(|h| h.held.values()).chain(&self.left);
            let held = held.filter(|h| h.ends > now);
            let sum = held.map(|h| u64::from(h.amount)).sum();
            seen.most = seen.most.max(sum);
            seen.over += u64::from(sum > self.whole);
            std::thread::sleep(Duration::from_millis(2));
        }
        seen
    }

    /// One begins a new life. What it held is judged as if that were in use still.
    pub fn restart(&mut self, n: usize) {
        let holder = &mut self.holders[n];
        holder.speaks.incarnation.0 += 1;
        holder.asked.clear();
        let held = std::mem::take(&mut holder.held);
        self.left.extend(held.into_values());
    }

    /// What one holds now.
    pub fn held_by(&self, n: usize) -> u64 {
        self.holders[n].held.values().map(|held| u64::from(held.amount)).sum()
    }

    /// The life under which the first one hears a planner, and when it heard it first.
    pub fn life_of(&self, planner: usize) -> Option<(Incarnation, Instant)> {
        self.holders[0].lives.get(&PlannerId(planner as u8)).copied()
    }
}
