//! Random timelines of overlapping faults.
//!
//! The order in which random numbers are drawn must not change: another order gives other timelines for the
//! same seeds.

use std::fmt::Write as _;
use std::path::Path;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, ExperimentError};

/// The number of nodes in a run.
const NODES: usize = 6;
/// The number of caches in a run.
const CACHES: usize = 8;
/// The number of planners in a run.
const PLANNERS: usize = 2;
/// The fewest faults of a timeline.
const MIN_FAULTS: usize = 4;
/// The most faults of a timeline.
const MAX_FAULTS: usize = 9;
/// The earliest start of a fault, in seconds.
const MIN_START_S: f64 = 1.0;
/// The shortest time in seconds between a fault's start and the end of the run, so that effects on later
/// requests are seen.
const MIN_TIME_AFTER_START_S: f64 = 4.0;
/// The smallest upper limit of faults' start times, in seconds, which applies in short runs.
const MIN_LATEST_START_S: f64 = 1.5;
/// The shortest time in seconds between a fault's end and the end of the run. Faults of the shortest duration
/// may end later.
const MIN_TIME_AFTER_END_S: f64 = 2.0;
/// The shortest duration of a fault, in seconds.
const MIN_DURATION_S: f64 = 0.3;
/// The longest duration of a fault, in seconds.
const MAX_DURATION_S: f64 = 4.0;
/// The most caches that one fault changes in the endpoint list.
const MAX_CHANGED_CACHES: usize = 2;

/// A timeline of faults, with the seed and the duration of its run.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// The seed that the timeline is drawn from and run with.
    pub seed: u64,
    /// The duration of the run in seconds.
    seconds: f64,
    /// The faults, each as the body of a `[[fault]]` table.
    pub faults: Vec<String>,
}

/// The faults that a timeline is drawn from: a kind, then the kind's parameters as `key=value`, separated by
/// blanks.
///
/// These placeholders are replaced by random values:
///
/// - `{caches}`: up to a third of the caches
/// - `{unchanged}`: one or two caches that no other fault of this timeline changes in the endpoint list
/// - `{node}`, `{nodes}`: one node, up to half of the nodes
/// - `{planner}`: one planner
/// - `{duration}`: a duration in seconds
/// - `{low..high}`: a number in this range
const FAULT_TEMPLATES: &[&str] = &[
    "hang caches={caches} for_s={duration}",
    "slow caches={caches} factor={2..6} for_s={duration}",
    "crash caches={unchanged} for_s={duration}",
    "drain caches={unchanged} for_s={duration}",
    "remove caches={unchanged} for_s={duration}",
    "replace caches={unchanged} stagger_s={0.1..0.8}",
    "reset caches={caches} for_s={duration}",
    "knock_late caches={caches} for_s={duration}",
    "void",
    "origin_slow factor={1.5..3} for_s={duration}",
    "origin_stop for_s={0.3..1.2}",
    "discovery_silent for_s={duration}",
    "discovery_stale for_s={duration}",
    "discovery_down for_s={duration}",
    "discovery_down renumber=true for_s={duration}",
    "discovery_move",
    "watches_silent",
    "watches_reset",
    "node_kill nodes={node} for_s={0.3..2}",
    "node_freeze nodes={node} for_s={0.3..2}",
    "node_restart nodes={nodes} stagger_s={0.1..0.8}",
    "link_silent nodes={nodes} caches={caches} for_s={duration}",
    "link_silent nodes={nodes} caches={caches} toward='nodes' for_s={duration}",
    "link_silent caches={caches} for_s={duration}",
    "spoil caches={caches} how='noise' share={0.1..0.5} for_s={duration}",
    "spoil caches={caches} how='cut' share={0.1..0.5} for_s={duration}",
    "spoil caches={caches} how='half_line' share={0.1..0.5} ms={1..10} for_s={duration}",
    "spoil caches={caches} how='no_length' share={0.1..0.5} for_s={duration}",
    "spoil caches={caches} how='endless' share={0.1..0.3} for_s={duration}",
    "spoil how='reset' share={0.1..0.4} for_s={duration}",
    "spoil how='error' share={0.1..0.4} for_s={duration}",
    "clients_leave share={0.3..1}",
    "bad_clients count={5..20}",
    "planner_kill planners={planner} for_s={duration}",
    "planner_kill planners={planner} store='torn' for_s={duration}",
    "planner_restart planners={planner} store='empty' for_s={duration}",
    "planner_freeze planners={planner} for_s={duration}",
    "letters_lost share={0.1..0.6} for_s={duration}",
    "letters_late share={0.1..0.6} ms={100..1500} for_s={duration}",
    "letters_doubled share={0.1..0.6} ms={100..1500} for_s={duration}",
    "letters_spoilt share={0.05..0.3} for_s={duration}",
    "letters_cut planners={planner} nodes={nodes} for_s={duration}",
    "letters_lost share=1 toward='nodes' planners={planner} for_s={duration}",
];

impl Timeline {
    /// Draws a timeline for a run of `seconds`.
    pub fn draw(seed: u64, seconds: f64) -> Timeline {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(MIN_FAULTS..=MAX_FAULTS);
        let mut unchanged_caches: Vec<usize> = (0..CACHES).collect();
        let mut faults = Vec::new();
        while faults.len() < count {
            let template = FAULT_TEMPLATES[rng.random_range(0..FAULT_TEMPLATES.len())];
            let latest_start_s = (seconds - MIN_TIME_AFTER_START_S).max(MIN_LATEST_START_S);
            let at_s = rng.random_range(MIN_START_S..latest_start_s);
            let longest_s = (seconds - MIN_TIME_AFTER_END_S - at_s).clamp(MIN_DURATION_S, MAX_DURATION_S);
            let mut values =
                ValueGenerator { longest_s, unchanged_caches: &mut unchanged_caches, rng: &mut rng };
            if let Some(fault) = values.fill_in(template, at_s) {
                faults.push(fault);
            }
        }
        Timeline { seed, seconds, faults }
    }

    /// The timeline as an experiment file.
    pub fn text(&self) -> String {
        let mut text = format!(
            "name = \"hunt-{}\"\nabout = \"a timeline drawn from seed {}\"\nseconds = {:.1}\nseeds = [{}]\n\n\
             [world]\nnodes = {NODES}\ncaches = {CACHES}\n\n[fleet]\nplanners = {PLANNERS}\n\
             operator.turns = {{}}\n\n[fleet.leases]\norigin_per_s = 200\nreserve = 0.4\n\n\
             [load]\nrate = 300\nkeys = 3000\nclients.leave = 0.02\n",
            self.seed, self.seed, self.seconds, self.seed
        );
        for fault in &self.faults {
            let _ = write!(text, "\n[[fault]]\n{fault}");
        }
        text
    }

    /// The timeline as an experiment.
    ///
    /// # Errors
    /// The text is not a valid experiment, which is a mistake in this module's templates.
    pub fn experiment(&self) -> Result<Experiment, ExperimentError> {
        Experiment::read(Path::new("hunt"), &self.text())
    }

    /// The same timeline without one of its faults.
    pub(super) fn without(&self, fault: usize) -> Timeline {
        let mut reduced = self.clone();
        reduced.faults.remove(fault);
        reduced
    }
}

/// Draws the random values of one fault.
struct ValueGenerator<'a, R> {
    /// The longest duration, in seconds.
    longest_s: f64,
    /// Caches that no fault has changed in the endpoint list so far. Each cache is changed at most once, and
    /// none is changed once half of the caches or fewer are left.
    unchanged_caches: &'a mut Vec<usize>,
    rng: &'a mut R,
}

impl<R: Rng> ValueGenerator<'_, R> {
    /// The body of a `[[fault]]` table from a template; `None` where no unchanged cache is left for the
    /// fault.
    fn fill_in(&mut self, template: &str, at_s: f64) -> Option<String> {
        let mut parts = template.split(' ');
        let mut text = format!("kind = \"{}\"\nat_s = {at_s:.2}\n", parts.next()?);
        for part in parts {
            let (key, placeholder) = part.split_once('=')?;
            let value = self.value(key, placeholder)?;
            let _ = writeln!(text, "{key} = {value}");
        }
        Some(text)
    }

    /// The value of a parameter, drawn where the template has a placeholder.
    fn value(&mut self, key: &str, placeholder: &str) -> Option<String> {
        match placeholder {
            "{caches}" => Some(self.indices(CACHES, CACHES / 3)),
            "{unchanged}" => self.draw_unchanged_caches(),
            "{node}" => Some(self.indices(NODES, 1)),
            "{nodes}" => Some(self.indices(NODES, NODES / 2)),
            "{planner}" => Some(self.indices(PLANNERS, 1)),
            "{duration}" => {
                let duration_s = self.rng.random_range(MIN_DURATION_S..=self.longest_s);
                Some(format!("{duration_s:.2}"))
            }
            range if range.starts_with('{') => self.number(key, range),
            literal => Some(literal.into()),
        }
    }

    /// From 1 to `max` different indices below `count`, in ascending order, as a TOML array.
    fn indices(&mut self, count: usize, max: usize) -> String {
        let mut remaining: Vec<usize> = (0..count).collect();
        let number = self.rng.random_range(1..=max.max(1));
        let mut drawn = Vec::new();
        for _ in 0..number {
            drawn.push(remaining.swap_remove(self.rng.random_range(0..remaining.len())));
        }
        drawn.sort_unstable();
        format!("{drawn:?}")
    }

    /// One or two caches that no fault has changed in the endpoint list; `None` once only half of the caches
    /// are unchanged.
    fn draw_unchanged_caches(&mut self) -> Option<String> {
        if self.unchanged_caches.len() <= CACHES / 2 {
            return None;
        }
        let number = self.rng.random_range(1..=MAX_CHANGED_CACHES);
        let mut drawn = Vec::new();
        for _ in 0..number {
            let position = self.rng.random_range(0..self.unchanged_caches.len());
            drawn.push(self.unchanged_caches.swap_remove(position));
        }
        Some(format!("{drawn:?}"))
    }

    /// A number in a range written as `{low..high}`, with two decimal digits; an integer where the key is
    /// `count`.
    fn number(&mut self, key: &str, range: &str) -> Option<String> {
        let (low, high) = range.trim_matches(['{', '}']).split_once("..")?;
        let low: f64 = low.parse().ok()?;
        let high: f64 = high.parse().ok()?;
        let drawn = self.rng.random_range(low..=high);
        let text = if key == "count" { format!("{drawn:.0}") } else { format!("{drawn:.2}") };
        Some(text)
    }
}

#[cfg(test)]
mod tests;
