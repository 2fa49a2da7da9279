//! Audits how shards were split, from the messages that the relay received and the servers' records.
//!
//! Shard maps are interpreted with [`crate::shard_map_reference`] alone, without code of the program under
//! test.

mod map_history;
mod phases;
mod reads;

use std::fmt;

use serde::{Serialize, Serializer};

use super::expectations::{UnmetExpectation, at_least, at_most};
use super::rules::{Findings, RuleViolation};
use crate::event_log::{Event, EventLog};
use crate::experiment::{Experiment, GrowthConfig, GrowthExpectations};
use crate::shard_map_reference::{Placement, ShardState, SplitPhase};
use map_history::MapHistory;

/// Seconds before the end of the run from which nodes need not have reported a newly sent shard map.
const REPORT_DELAY_S: f64 = 3.0;

/// A change of a shard's state, serialized as an array of its three fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhaseChange {
    /// When the new state was first sent, in seconds of the run.
    pub at_s: f64,
    /// The number of the shard.
    pub shard: u8,
    /// The shard's new state.
    pub state: ShardState,
}

impl Serialize for PhaseChange {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.at_s, self.shard, self.state).serialize(serializer)
    }
}

/// The figures of shard splits. The serialized names of fields are those of the first report format.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ShardGrowthFigures {
    /// The number of versions of the shard map that were sent to nodes.
    #[serde(rename = "forms")]
    pub maps: usize,
    /// All changes of shards' states, in the order of versions of the shard map.
    #[serde(rename = "steps")]
    pub phase_changes: Vec<PhaseChange>,
    /// The number of splits that were completed.
    #[serde(rename = "settled")]
    pub completed: usize,
    /// How often a split was withdrawn.
    pub withdrawn: usize,
    /// Changes that advanced an active split after the origin had been slow for long enough to be detected.
    #[serde(rename = "steps_while_slow")]
    pub advances_while_slow: usize,
    /// How often a planner was killed.
    pub kills: usize,
    /// The shards' states at each kill.
    #[serde(rename = "killed_at")]
    pub states_at_kills: Vec<ShardState>,
    /// Kills after which another planner sent a new shard map before the killed planner returned.
    #[serde(rename = "gone_on")]
    pub taken_over: usize,
    /// Reads in the dual-read phase that missed at the cache at the new place.
    pub missed: usize,
    /// The missed reads that the cache at the old place answered.
    #[serde(rename = "spared")]
    pub answered_by_old: usize,
    /// The missed reads that went to the origin.
    pub at_origin: usize,
    /// The missed reads that went to the cache at the old place before the origin.
    pub old_first: usize,
    /// Reads by nodes with an older shard map, of keys that the newest shard map places elsewhere.
    #[serde(rename = "behind")]
    pub reads_by_older_map: usize,
    /// The reads by an older shard map that went to the origin.
    #[serde(rename = "behind_at_origin")]
    pub older_map_at_origin: usize,
    /// Reads by nodes with the newest shard map, of keys that have moved to another cache.
    #[serde(rename = "moved")]
    pub reads_of_moved: usize,
    /// The reads of moved keys that went to the origin.
    #[serde(rename = "moved_at_origin")]
    pub moved_at_origin: usize,
    /// Faults that never began, because the phase that triggers the fault was not reached.
    pub faults_missing: usize,
    /// Nodes whose last reported shard map is not the last one that was sent.
    pub nodes_behind: usize,
}

impl fmt::Display for ShardGrowthFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} maps, {} splits completed, {} withdrawn; {} of {} kills taken over, {} advances while the origin was slow; dual read: \
             {} missed, {} answered by the old place, {} at the origin, {} of them after the old place; \
             reads by an older map: {}, {} at the origin; reads of moved keys by the newest map: {}, {} at the origin; \
             {} nodes behind at the end",
            self.maps,
            self.completed,
            self.withdrawn,
            self.taken_over,
            self.kills,
            self.advances_while_slow,
            self.missed,
            self.answered_by_old,
            self.at_origin,
            self.old_first,
            self.reads_by_older_map,
            self.older_map_at_origin,
            self.reads_of_moved,
            self.moved_at_origin,
            self.nodes_behind
        )?;
        for state in &self.states_at_kills {
            write!(
                f,
                "\n        when a planner was killed: phase {:?} after {} splits",
                state.phase, state.bits
            )?;
        }
        self.fmt_phase_changes(f)
    }
}

impl ShardGrowthFigures {
    /// Writes one line for each change of a shard's state.
    fn fmt_phase_changes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut last = None;
        for change in &self.phase_changes {
            // Of the steps of copying, only the first is written.
            let is_later_copy = matches!(change.state.phase, Some(SplitPhase::Copying(n)) if n > 1);
            let current = (change.shard, change.state);
            if !is_later_copy && last != Some(current) {
                write!(f, "\n        {:.2} s: shard {} ", change.at_s, change.shard)?;
                match change.state.phase {
                    Some(phase) => write!(f, "{phase:?}")?,
                    None => write!(f, "{} bits", change.state.bits)?,
                }
            }
            last = Some(current);
        }
        Ok(())
    }

    /// The expectations that are not met. Two bounds hold for each experiment: all faults begin, and no node
    /// ends with an older shard map than the last one.
    pub(super) fn unmet(&self, expectations: &GrowthExpectations) -> Vec<UnmetExpectation> {
        let count = |bound: Option<usize>| bound.map(|bound| bound as f64);
        let old_first_share =
            if self.at_origin > 0 { self.old_first as f64 / self.at_origin as f64 } else { 1.0 };
        let advances_while_slow = self.advances_while_slow as f64;
        let checks = [
            at_least("growth.expect.settled", count(expectations.min_completed), self.completed as f64),
            at_least("growth.expect.given_up", count(expectations.min_withdrawn), self.withdrawn as f64),
            at_least("growth.expect.gone_on", count(expectations.min_takeovers), self.taken_over as f64),
            at_least("growth.expect.old_first", expectations.min_old_owner_first, old_first_share),
            at_least(
                "growth.expect.behind",
                count(expectations.min_outdated_map_reads),
                self.reads_by_older_map as f64,
            ),
            at_most("growth.expect.withdrawn", count(expectations.max_withdrawn), self.withdrawn as f64),
            at_most(
                "growth.expect.steps_while_slow",
                count(expectations.max_steps_while_origin_slow),
                advances_while_slow,
            ),
            at_most("growth: faults that never came about", Some(0.0), self.faults_missing as f64),
            at_most("growth: nodes without the last form", Some(0.0), self.nodes_behind as f64),
        ];
        checks.into_iter().flatten().collect()
    }
}

/// The figures of shard splits, and the violations of the rule about splits.
pub(super) struct ShardGrowthAudit {
    pub figures: ShardGrowthFigures,
    pub violations: Vec<RuleViolation>,
}

/// Measures the shard splits of a run and checks [`Rule::ShardGrowth`](super::Rule::ShardGrowth).
pub(super) fn audit(
    experiment: &Experiment,
    growth: &GrowthConfig,
    event_log: &EventLog,
) -> ShardGrowthAudit {
    let mut findings = Findings::default();
    let history = MapHistory::read(event_log, &mut findings);
    let caches = event_log.servers.iter().filter(|server| server.slot.is_some());
    let placement = Placement::new(caches.map(|server| server.name.as_str()));
    let mut figures = ShardGrowthFigures { maps: history.first_sent.len(), ..ShardGrowthFigures::default() };
    phases::check_phases(&history, &placement, &mut figures, &mut findings);
    phases::measure_kills(&history, event_log, &mut figures);
    figures.advances_while_slow = phases::advances_while_slow(&history, event_log);
    reads::measure(experiment, growth, event_log, &history, &placement, &mut figures);
    figures.faults_missing = faults_missing(experiment, event_log);
    figures.nodes_behind = nodes_behind(experiment, &history);
    ShardGrowthAudit { figures, violations: findings.into_violations() }
}

/// The number of faults that never began.
fn faults_missing(experiment: &Experiment, event_log: &EventLog) -> usize {
    let began = event_log.events.iter().filter(|timed| matches!(timed.event, Event::FaultBegan { .. }));
    experiment.faults().len().saturating_sub(began.count())
}

/// The number of nodes whose last reported shard map is not the last map that was sent; 0 where the last map
/// was sent too late to be reported.
fn nodes_behind(experiment: &Experiment, history: &MapHistory) -> usize {
    let Some((last_version, last)) = history.first_sent.last_key_value() else { return 0 };
    if last.at.seconds() + REPORT_DELAY_S >= experiment.seconds {
        return 0;
    }
    let is_behind = |node: &usize| history.reported_version(*node) != Some(*last_version);
    (0..experiment.initial_nodes()).filter(is_behind).count()
}

#[cfg(test)]
mod tests;
