//! One cache as all forwarders together saw it.

use granitelb_balancer::decaying::FadingSum;
use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use super::report::Seen;
use crate::member::ForwarderId;

/// How long what was seen counts: a cache that is back must not be held to be ill for long.
const MEMORY: Span = Span::from_millis(2000);
/// Failures of late that tell of an ill cache, if answers are fewer than half of them.
const FAILURES: f64 = 3.0;
/// One forwarder may be cut off by itself: of a cache that several use, two have to say so.
const WITNESSES: usize = 2;
/// Answers since the last failure that tell of a cache that is there again.
const ANSWERS: f64 = 2.0;

/// Over so long it is counted what a cache gets.
const RATE: Span = Span::from_millis(10_000);

/// A cache that nobody tried for so long is no longer said to fail.
const FORGIVEN: Span = Span::from_millis(20_000);

/// What all forwarders together say of a cache. Nothing is said where they say too little.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthStatus {
    /// It leaves calls unanswered; the last failure was seen so long ago.
    Failing { ago: Span },
    /// The same, and it is the hearer's turn to try it.
    Probe { ago: Span },
    /// It answers again, since this long after it had failed.
    Recovered { ago: Span },
}

pub struct View {
    answered: FadingSum,
    failed: FadingSum,
    /// All shots that ended while it was well, since this time.
    ended: FadingSum,
    since_first: Time,
    /// Those who saw it fail last, and when.
    witnesses: Vec<(ForwarderId, Time)>,
    /// Those who saw anything of it, as far as it takes to know that it is more than one.
    seen_by: Vec<(ForwarderId, Time)>,
    last_failure: Option<Time>,
    /// Answers since then, and when the last one was told.
    since: f64,
    last_answer: Option<Time>,
    /// Whether it was found to fail, and has not answered enough since: when all leave it alone nothing is seen of it.
    ill: bool,
    /// Shots out at all forwarders.
    pub out: f64,
    /// When it was last told of.
    pub told: Time,
}

/// Keeps the last time of a few forwarders, each once.
fn note(kept: &mut Vec<(ForwarderId, Time)>, from: ForwarderId, now: Time) {
    kept.retain(|(id, at)| *id != from && now - *at < MEMORY);
    kept.push((from, now));
    if kept.len() > WITNESSES {
        kept.remove(0);
    }
}

impl View {
    pub fn new(now: Time) -> View {
        View {
            answered: FadingSum::new(MEMORY, now),
            failed: FadingSum::new(MEMORY, now),
            ended: FadingSum::new(RATE, now),
            since_first: now,
            witnesses: Vec::new(),
            seen_by: Vec::new(),
            last_failure: None,
            since: 0.0,
            last_answer: None,
            ill: false,
            out: 0.0,
            told: now,
        }
    }

    pub fn seen(&mut self, now: Time, from: ForwarderId, seen: &Seen) {
        self.told = now;
        if seen.answered + seen.failed > 0.0 {
            note(&mut self.seen_by, from, now);
        }
        self.answered.add(now, seen.answered);
        if seen.answered > 0.0 {
            self.since += seen.answered;
            self.last_answer = Some(now);
        }
        if seen.failed > 0.0 {
            self.failed.add(now, seen.failed);
            note(&mut self.witnesses, from, now);
            (self.last_failure, self.since) = (Some(now), 0.0);
        }
        if !self.ill {
            self.ended.add(now, seen.answered + seen.failed);
        }
        self.ill = if self.ill { self.since < ANSWERS } else { self.fails(now) };
    }

    pub fn is_ill(&self) -> bool {
        self.ill
    }

    /// Shots a second that ended at it, over all forwarders and of late.
    pub fn rate(&self, now: Time) -> f64 {
        // Of a cache known for less than that, as much less is in the sum.
        let known = (now - self.since_first).as_secs_f64().max(1.0) / RATE.as_secs_f64();
        self.ended.read(now) / (RATE.as_secs_f64() * (1.0 - (-known).exp()))
    }

    /// Whether what was seen of late tells of an ill cache.
    fn fails(&self, now: Time) -> bool {
        let fresh = |kept: &[(ForwarderId, Time)]| kept.iter().filter(|(_, at)| now - *at < MEMORY).count();
        let (failed, answered) = (self.failed.read(now), self.answered.read(now));
        let enough = fresh(&self.witnesses) >= WITNESSES.min(fresh(&self.seen_by));
        failed >= FAILURES && answered < failed * 0.5 && enough
    }

    pub fn verdict(&self, now: Time) -> Option<HealthStatus> {
        let last = self.last_failure?;
        if self.ill {
            return (now - last < FORGIVEN).then_some(HealthStatus::Failing { ago: now - last });
        }
        let answer = self.last_answer.filter(|at| *at >= last && now - *at < MEMORY)?;
        (self.since >= ANSWERS).then_some(HealthStatus::Recovered { ago: now - answer })
    }
}
