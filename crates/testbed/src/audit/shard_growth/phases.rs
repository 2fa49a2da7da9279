//! Checks that splits go through their phases in order, one change at a time, and counts changes and kills.

use std::collections::BTreeSet;

use super::map_history::MapHistory;
use super::{PhaseChange, ShardGrowthFigures};
use crate::audit::rules::{Findings, Rule};
use crate::event_log::{Event, EventLog, Timestamp};
use crate::shard_map_reference::{Placement, ShardMap, ShardState, SplitPhase};

/// Seconds after which planners must have detected that the origin is slow. Nodes remember measured fetches
/// for 3 s, so half of the remembered fetches are slow after 2.1 s. The time of a slow fetch, of a heartbeat,
/// and of a second heartbeat in case the messages of one are lost is added.
const SLOWNESS_DETECTION_S: f64 = 3.5;
/// The prefix of the names of slow-origin faults in events.
const SLOW_ORIGIN: &str = "OriginSlow";

/// Counts the changes of shards' states in each version of the shard map and checks their order.
pub(super) fn check_phases(
    history: &MapHistory,
    placement: &Placement,
    figures: &mut ShardGrowthFigures,
    findings: &mut Findings,
) {
    let mut before = ShardMap::default();
    for first in history.first_sent.values() {
        let changed = changed_shards(&before, &first.map);
        for shard in &changed {
            let from = before.shard(*shard);
            let to = first.map.shard(*shard);
            figures.phase_changes.push(PhaseChange { at_s: first.at.seconds(), shard: *shard, state: to });
            figures.completed += usize::from(to.bits > from.bits);
            let is_withdrawn = |state: ShardState| state.phase == Some(SplitPhase::Withdrawn);
            figures.withdrawn += usize::from(is_withdrawn(to) && !is_withdrawn(from));
        }
        // Changes are checked between successive versions only: a version that was sent to no node is
        // unknown, and the next version may be two changes ahead.
        if first.map.version == before.version + 1 {
            check_change(&before, &first.map, &changed, findings);
        }
        check_disjoint(&first.map, placement, findings);
        before = first.map.clone();
    }
}

/// The shards whose state differs between two shard maps.
fn changed_shards(before: &ShardMap, after: &ShardMap) -> Vec<u8> {
    let shards: BTreeSet<u8> = before.shards.keys().chain(after.shards.keys()).copied().collect();
    shards.into_iter().filter(|shard| before.shard(*shard) != after.shard(*shard)).collect()
}

/// Checks that one version changed at most one shard, and by one step in order.
fn check_change(before: &ShardMap, after: &ShardMap, changed: &[u8], findings: &mut Findings) {
    let version = after.version;
    if changed.len() > 1 {
        let example = format!("version {version}: {changed:?}");
        findings.add(Rule::ShardGrowth, "two shards changed at once", example);
    }
    for shard in changed {
        let from = before.shard(*shard);
        let to = after.shard(*shard);
        if !may_follow(from, to) {
            let example = format!("version {version}, shard {shard}: {from:?} to {to:?}");
            findings.add(Rule::ShardGrowth, "a step out of order", example);
        }
    }
}

/// Checks that no cache takes part in two active splits.
fn check_disjoint(map: &ShardMap, placement: &Placement, findings: &mut Findings) {
    let mut active: Vec<(u8, BTreeSet<usize>)> = Vec::new();
    for (shard, state) in &map.shards {
        if !state.phase.is_some_and(SplitPhase::is_active) {
            continue;
        }
        let caches = placement.caches_of_shard(*shard, state.bits + 1);
        if let Some((other, _)) = active.iter().find(|(_, other_caches)| !other_caches.is_disjoint(&caches)) {
            let example = format!("version {}: shards {other} and {shard}", map.version);
            findings.add(Rule::ShardGrowth, "two splits on one cache", example);
        }
        active.push((*shard, caches));
    }
}

/// Whether one change may lead from state `from` to state `to`.
fn may_follow(from: ShardState, to: ShardState) -> bool {
    if to.bits == from.bits + 1 {
        return from.phase == Some(SplitPhase::Switched) && to.phase.is_none();
    }
    let rank = |state: ShardState| state.phase.map_or(Some(0), SplitPhase::rank);
    let is_next = matches!((rank(from), rank(to)), (Some(before), Some(after)) if after == before + 1);
    let is_reversal = match (from.phase, to.phase) {
        (Some(SplitPhase::Withdrawn | SplitPhase::Forecast | SplitPhase::ScheduledRequest), None) => true,
        (Some(SplitPhase::ScheduledRequest), Some(SplitPhase::Forecast)) => true,
        (Some(SplitPhase::Withdrawn), Some(SplitPhase::Withdrawn)) => false,
        (Some(_), Some(SplitPhase::Withdrawn)) => true,
        _ => false,
    };
    to.bits == from.bits && (is_next || is_reversal)
}

/// The number of changes that advanced an active split after the origin had been slow for long enough to be
/// detected.
pub(super) fn advances_while_slow(history: &MapHistory, event_log: &EventLog) -> usize {
    let mut advances = 0;
    for timed in &event_log.events {
        if !matches!(&timed.event, Event::FaultBegan { what } if what.starts_with(SLOW_ORIGIN)) {
            continue;
        }
        let from_s = timed.at.seconds() + SLOWNESS_DETECTION_S;
        let to_s = slowness_end(event_log, timed.at).map_or(f64::INFINITY, Timestamp::seconds);
        for first in history.first_sent.values() {
            let is_within = (from_s..to_s).contains(&first.at.seconds());
            advances += usize::from(is_within && is_advance(history, &first.map));
        }
    }
    advances
}

/// When the slow-origin fault that began at `began` ended; `None` where the fault did not end in the run.
fn slowness_end(event_log: &EventLog, began: Timestamp) -> Option<Timestamp> {
    let is_end = |event: &Event| matches!(event, Event::FaultEnded { what } if what.starts_with(SLOW_ORIGIN));
    let end = event_log.events.iter().find(|timed| timed.at > began && is_end(&timed.event));
    end.map(|timed| timed.at)
}

/// Whether a shard map advances an active split, compared with the version before.
fn is_advance(history: &MapHistory, map: &ShardMap) -> bool {
    let Some(before) = history.first_sent.get(&map.version.wrapping_sub(1)) else { return false };
    let rank = |state: ShardState| state.phase.and_then(SplitPhase::rank);
    map.shards.iter().any(|(shard, state)| {
        let ranks = (rank(before.map.shard(*shard)), rank(*state));
        let is_later = matches!(ranks, (Some(before), Some(after)) if after > before);
        is_later && state.phase.is_some_and(SplitPhase::is_active)
    })
}

/// Measures the kills of planners: their number, the shards' states at each kill, and the kills after which
/// another planner sent a new shard map before the killed planner returned.
pub(super) fn measure_kills(history: &MapHistory, event_log: &EventLog, figures: &mut ShardGrowthFigures) {
    for timed in &event_log.events {
        let Event::PlannerDown { planner } = timed.event else { continue };
        figures.kills += 1;
        if let Some(map) = history.newest_sent_before(timed.at) {
            figures.states_at_kills.extend(map.shards.values().copied());
        }
        let up = event_log
            .events
            .iter()
            .find(|later| later.at > timed.at && later.event == Event::PlannerUp { planner });
        let returned = up.map_or(Timestamp::MAX, |up| up.at);
        let is_taken_over = history
            .first_sent
            .values()
            .any(|first| first.at > timed.at && first.at < returned && first.planner != planner);
        figures.taken_over += usize::from(is_taken_over);
    }
}
