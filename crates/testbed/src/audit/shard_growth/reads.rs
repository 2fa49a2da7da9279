//! Counts the reads of growing shards by the servers that the reads went to.

use std::collections::HashMap;

use super::ShardGrowthFigures;
use super::map_history::MapHistory;
use crate::event_log::{ClientAttempt, EventLog, ServerAttempt, ServerAttemptEnd};
use crate::experiment::{Experiment, GrowthConfig};
use crate::shard_map_reference::{FIRST_GROWING_KEY, Placement, ShardMap, ShardState, SplitPhase, shard_of};

/// Classifies reads by the shard maps and the placement of keys.
struct ReadClassifier<'a> {
    event_log: &'a EventLog,
    history: &'a MapHistory,
    placement: &'a Placement,
}

/// Counts the reads of growing shards by the servers that the reads went to.
pub(super) fn measure(
    experiment: &Experiment,
    growth: &GrowthConfig,
    event_log: &EventLog,
    history: &MapHistory,
    placement: &Placement,
    figures: &mut ShardGrowthFigures,
) {
    let classifier = ReadClassifier { event_log, history, placement };
    let mut attempts: HashMap<&str, Vec<&ServerAttempt>> = HashMap::new();
    for attempt in &event_log.server_attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    for attempts in attempts.values_mut() {
        attempts.sort_by_key(|attempt| attempt.arrived);
    }
    for read in &event_log.client_attempts {
        let is_write = experiment.request_classes[read.request_class].writes();
        let is_growing = read.key >= FIRST_GROWING_KEY && growth.shards.contains(&shard_of(read.key));
        if is_write || !is_growing {
            continue;
        }
        let attempts = attempts.get(read.id.as_str()).map_or(&[][..], Vec::as_slice);
        classifier.measure_map_age(read, attempts, figures);
        classifier.measure_dual_read(read, attempts, figures);
    }
}

impl ReadClassifier<'_> {
    /// The cache slot of an attempt's server; `None` for the origin.
    fn slot(&self, attempt: &ServerAttempt) -> Option<usize> {
        self.event_log.servers[attempt.server.0].slot
    }

    /// Counts a read by a node whose shard map places the key elsewhere than the newest adopted shard map
    /// does, or a read of a moved key by a node whose shard map places the key where the newest one does.
    fn measure_map_age(
        &self,
        read: &ClientAttempt,
        attempts: &[&ServerAttempt],
        figures: &mut ShardGrowthFigures,
    ) {
        let Some(newest) = self.history.newest_adopted(read.sent) else { return };
        let Some(new_bits) = settled_bits(newest.shard(shard_of(read.key))) else { return };
        let empty_map = ShardMap::default();
        let map = if self.has_received_map(read) {
            self.history.map_in_use(read.node.0, read.sent, read.ended)
        } else {
            Some(&empty_map)
        };
        let Some(map) = map else { return };
        let state = map.shard(shard_of(read.key));
        let old_bits = settled_bits(state).unwrap_or(state.bits);
        let unsplit = self.placement.cache_of(read.key, 0);
        let old = self.placement.cache_of(read.key, old_bits);
        let new = self.placement.cache_of(read.key, new_bits);
        let is_at_origin = attempts.iter().any(|attempt| self.slot(attempt).is_none());
        if old != new
            && matches!(state.phase, None | Some(SplitPhase::Forecast | SplitPhase::ScheduledRequest))
        {
            figures.reads_by_older_map += 1;
            figures.older_map_at_origin += usize::from(is_at_origin);
        } else if old == new && unsplit != new {
            figures.reads_of_moved += 1;
            figures.moved_at_origin += usize::from(is_at_origin);
        }
    }

    /// Whether the node had received any shard map before the read ended.
    fn has_received_map(&self, read: &ClientAttempt) -> bool {
        let received = self.history.received.get(&read.node.0);
        received.is_some_and(|received| received.iter().any(|received| received.at < read.ended))
    }

    /// Counts a read that missed at the cache at its new place in the dual-read phase, by the servers that
    /// the read went to next.
    fn measure_dual_read(
        &self,
        read: &ClientAttempt,
        attempts: &[&ServerAttempt],
        figures: &mut ShardGrowthFigures,
    ) {
        let Some(map) = self.history.map_in_use(read.node.0, read.sent, read.ended) else { return };
        let state = map.shard(shard_of(read.key));
        if state.phase != Some(SplitPhase::DualRead) {
            return;
        }
        let old = self.placement.cache_of(read.key, state.bits);
        let new = self.placement.cache_of(read.key, state.bits + 1);
        let Some(first) = attempts.first() else { return };
        let is_miss_at_new = self.slot(first) == new && first.end == ServerAttemptEnd::CacheMiss;
        if old == new || !is_miss_at_new {
            return;
        }
        figures.missed += 1;
        let at_old = attempts.iter().position(|attempt| self.slot(attempt) == old);
        let is_answered = |index: usize| attempts[index].end == ServerAttemptEnd::Answered;
        figures.answered_by_old += usize::from(at_old.is_some_and(is_answered));
        if let Some(at_origin) = attempts.iter().position(|attempt| self.slot(attempt).is_none()) {
            figures.at_origin += 1;
            figures.old_first += usize::from(at_old.is_some_and(|at_old| at_old < at_origin));
        }
    }
}

/// The number of bits by which all keys of a shard are placed; `None` in a split of which not all moving keys
/// are read at their new place.
fn settled_bits(state: ShardState) -> Option<u8> {
    match state.phase {
        None => Some(state.bits),
        Some(SplitPhase::DualRead | SplitPhase::Switched) => Some(state.bits + 1),
        Some(_) => None,
    }
}
