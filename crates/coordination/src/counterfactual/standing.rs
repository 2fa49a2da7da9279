//! How a cache stands for a product, with a memory: one finding changes nothing.
//!
//! Invariant: a standing of worse or better is entered only by findings that stay in a list in which at most so large a
//! share is false, several times running, and left only once the interval has held nothing for several more. The list is
//! Benjamini and Hochberg's over all caches and products of a round: at no difference at all the chance that it names
//! anyone is that share. Where caches are held against each other by the keys' lottery the list is of bets in place of chances
//! (e-BH): those may be looked at as often as one likes, and hang together as they may.

use super::Settings;
use super::estimate::{Estimate, NoSupport};
use super::observation::{Said, Scale, Standing};

/// Which of these chances are small enough that of all so named at most a share `q` is false (Benjamini-Hochberg).
pub fn found(chances: &[f64], q: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..chances.len()).collect();
    order.sort_by(|a, b| chances[*a].total_cmp(&chances[*b]));
    let bar = |rank: usize| q * (rank + 1) as f64 / chances.len() as f64;
    let last = (0..order.len()).rev().find(|rank| chances[order[*rank]] <= bar(*rank));
    let mut found = vec![false; chances.len()];
    order.iter().take(last.map_or(0, |l| l + 1)).for_each(|n| found[*n] = true);
    found
}

/// Which of these bets against nothing yield enough that of all so named at most a share `q` is false (e-BH).
pub fn found_by_bets(yields: &[f64], q: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..yields.len()).collect();
    order.sort_by(|a, b| yields[*b].total_cmp(&yields[*a]));
    let bar = |rank: usize| yields.len() as f64 / (q * (rank + 1) as f64);
    let last = (0..order.len()).rev().find(|rank| yields[order[*rank]] >= bar(*rank));
    let mut found = vec![false; yields.len()];
    order.iter().take(last.map_or(0, |l| l + 1)).for_each(|n| found[*n] = true);
    found
}

/// The standing of one cache for one product.
#[derive(Clone, Debug)]
pub struct Track {
    pub standing: Standing,
    /// What the last findings were, other than the standing, and how many times running.
    toward: Standing,
    times: u32,
    pub last: Option<Estimate>,
}

impl Default for Track {
    fn default() -> Track {
        Track { standing: Standing::NoSupport, toward: Standing::NoSupport, times: 0, last: None }
    }
}

impl Track {
    /// A new finding, and whether it is in the list of those found. Gives true when the standing has changed.
    pub fn judge(
        &mut self,
        settings: &Settings,
        scale: Scale,
        estimate: Result<Estimate, NoSupport>,
        found: bool,
    ) -> bool {
        let least = settings.least(scale);
        let now = match &estimate {
            Err(NoSupport) => Standing::NoSupport,
            Ok(e) if found && e.mean >= least => Standing::Worse,
            Ok(e) if found && e.mean <= -least => Standing::Better,
            // Neither in the list nor clearly out of it: a standing that was well entered stays.
            Ok(e) if self.standing == Standing::Worse && e.low > 0.0 => Standing::Worse,
            Ok(e) if self.standing == Standing::Better && e.high < 0.0 => Standing::Better,
            Ok(_) => Standing::AsGood,
        };
        self.last = estimate.ok();
        if now == self.standing {
            self.times = 0;
            return false;
        }
        self.times = if now == self.toward { self.times + 1 } else { 1 };
        self.toward = now;
        let bold = |s: Standing| matches!(s, Standing::Worse | Standing::Better);
        let needs = match (bold(self.standing), bold(now)) {
            (_, true) => settings.enters_after,
            (true, false) => settings.leaves_after,
            (false, false) => 1,
        };
        if self.times < needs {
            return false;
        }
        (self.standing, self.times) = (now, 0);
        true
    }

    pub fn said(&self, cache: u64, request_class: u16, scale: Scale) -> Said {
        let told = |figure: f64| if scale == Scale::Times { figure.exp() } else { figure };
        let of = |f: fn(&Estimate) -> f64| self.last.as_ref().map_or(0.0, |e| told(f(e)) as f32);
        let (more, low, high) = (of(|e| e.mean), of(|e| e.low), of(|e| e.high));
        Said { cache, request_class, standing: self.standing, more, low, high }
    }
}

/// The log's event for a standing, and whether an operator should look at it.
pub(super) fn event_of(standing: Standing) -> (&'static str, bool) {
    match standing {
        Standing::NoSupport => ("hindsight_no_support", false),
        Standing::AsGood => ("hindsight_as_good", false),
        Standing::Worse => ("hindsight_worse", true),
        Standing::Better => ("hindsight_better", false),
    }
}

pub(super) fn sentence(said: &Said, scale: Scale) -> String {
    let of = format!("cache {:016x} for product {}", said.cache, said.request_class);
    let figures = format!(
        "{:+.1}% of the SLO waited, 95% interval {:+.1} to {:+.1}",
        100.0 * said.more,
        100.0 * said.low,
        100.0 * said.high
    );
    let times = format!(
        "{:.2} times the time of other caches' calls, 95% interval {:.2} to {:.2}",
        said.more, said.low, said.high
    );
    if scale == Scale::Times {
        return match said.standing {
            Standing::NoSupport => {
                format!("{of}: too few keys are drawn to it to hold its times against others'")
            }
            Standing::AsGood => format!("{of} is about as quick as others ({times})"),
            Standing::Worse => format!("{of} is slower than others: {times}"),
            Standing::Better => format!("{of} is quicker than others: {times}"),
        };
    }
    match said.standing {
        Standing::NoSupport => format!("{of}: no node's choice gives evidence"),
        Standing::AsGood => format!("{of} is as good as its calls' other candidates ({figures})"),
        Standing::Worse => format!("{of} is worse than its calls' other candidates: {figures}"),
        Standing::Better => format!("{of} is better than its calls' other candidates: {figures}"),
    }
}

#[cfg(test)]
mod tests;
