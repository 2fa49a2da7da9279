//! Whether the origin is slow, by what forwarders' own fetches took. Leases tell what is asked of it, and a slow origin is
//! asked for no more: a split would go on adding fetches, each of which misses its SLO.
//!
//! A forwarder says so again and again for as long as it is so, and what is not said again ends by itself. Two have to say
//! it, or the only one that lives: one with a slow link holds nothing up.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use crate::member::ForwarderId;
use crate::observation::FinishedAttempt;

/// Fewer fetches of late tell nothing.
const FEWEST: f64 = 3.0;
const WITNESSES: usize = 2;

/// The forwarder's side: fetches of late, each counting for less as time goes by.
#[derive(Debug, Default)]
pub struct Fetches {
    late: f64,
    all: f64,
    at: Time,
}

impl Fetches {
    /// A shot has ended at the origin. One that took more than half of its SLO is late, or one that came to nothing.
    pub fn ended(&mut self, now: Time, ended: &FinishedAttempt, memory: Span) {
        let late = match ended.outcome {
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Cancelled => {
                ended.latency.0 > ended.slo.0 / 2
            }
            AttemptOutcome::NotSent => return,
            _ => true,
        };
        // Called off in time: nobody knows what it would have taken.
        if ended.write || ended.outcome == AttemptOutcome::Cancelled && !late {
            return;
        }
        self.pass(now, memory);
        self.all += 1.0;
        self.late += f64::from(u8::from(late));
    }

    pub fn are_slow(&mut self, now: Time, memory: Span) -> bool {
        self.pass(now, memory);
        self.all >= FEWEST && self.late >= self.all / 2.0
    }

    fn pass(&mut self, now: Time, memory: Span) {
        let left = (-((now - self.at).0 as f64) / memory.0.max(1) as f64).exp();
        (self.late, self.all, self.at) = (self.late * left, self.all * left, now);
    }
}

/// The planner's side: who said it last when.
#[derive(Debug, Default)]
pub struct Said(BTreeMap<ForwarderId, Time>);

impl Said {
    /// Only those that live are kept, so that they are as many as there are.
    pub fn on_message(&mut self, now: Time, from: ForwarderId, live: &BTreeSet<ForwarderId>) {
        self.0.retain(|known, _| live.contains(known));
        if live.contains(&from) {
            self.0.insert(from, now);
        }
    }

    pub fn is_slow(&self, now: Time, lasts: Span, live: &BTreeSet<ForwarderId>) -> bool {
        let say = self.0.iter().filter(|(from, at)| live.contains(from) && now - **at < lasts).count();
        say >= WITNESSES.min(live.len()).max(1)
    }

    pub fn entries(&self) -> usize {
        self.0.len()
    }
}
