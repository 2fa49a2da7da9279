//! What the log says of calls: counts, a line a minute.

use std::collections::BTreeMap;
use std::fmt;

use granitelb_balancer::calls::{AttemptOutcome, LocalReply};

use super::exchange::FinalAnswer;

#[derive(Default)]
pub struct Tally {
    fulfilled: u64,
    rate_limited: u64,
    errored: u64,
    left: u64,
    /// Shots by the word for how they ended.
    shots: BTreeMap<&'static str, u64>,
    unread_reports: u64,
}

impl Tally {
    pub fn count_answer(&mut self, answer: &FinalAnswer) {
        *match answer {
            FinalAnswer::Fulfilled(_) => &mut self.fulfilled,
            FinalAnswer::Own(LocalReply::RateLimited { .. }) => &mut self.rate_limited,
            FinalAnswer::Own(LocalReply::Errored) => &mut self.errored,
            FinalAnswer::ClientLeft => &mut self.left,
        } += 1;
    }

    pub fn count_shot(&mut self, outcome: AttemptOutcome) {
        let word = match outcome {
            AttemptOutcome::Fulfilled => "fulfilled",
            AttemptOutcome::CacheMiss => "lacking",
            AttemptOutcome::Rejected => "full",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::NotSent => "never sent",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::Errored => "errored",
            AttemptOutcome::Reset => "reset",
            AttemptOutcome::Cancelled => "recalled",
        };
        *self.shots.entry(word).or_default() += 1;
    }

    pub fn count_unread_report(&mut self) {
        self.unread_reports += 1;
    }

    pub fn log(&self) {
        let Tally { fulfilled, rate_limited, errored, left, shots, unread_reports } = self;
        let shots: u64 = shots.values().sum();
        log::info!(
            event = "tally", fulfilled = fulfilled, rate_limited = rate_limited, errored = errored, left = left,
            shots = shots, unread_reports = unread_reports;
            "{self}"
        );
    }

    pub fn is_empty(&self) -> bool {
        self.fulfilled + self.rate_limited + self.errored + self.left == 0 && self.shots.is_empty()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally { fulfilled, rate_limited, errored, left, shots, unread_reports } = self;
        let calls = fulfilled + rate_limited + errored + left;
        write!(f, "{calls} calls: {fulfilled} fulfilled, {rate_limited} rate-limited, {errored} errored, ")?;
        write!(f, "{left} left by clients; {} shots", shots.values().sum::<u64>())?;
        for (at, (word, count)) in shots.iter().enumerate() {
            write!(f, "{} {count} {word}", if at == 0 { ":" } else { "," })?;
        }
        if *unread_reports > 0 {
            write!(f, "; {unread_reports} load reports that can't be read")?;
        }
        Ok(())
    }
}
