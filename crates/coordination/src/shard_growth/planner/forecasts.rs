//! The capacity forecasts of all shards. One shard is forecast at a time, so that no poll takes long.

use std::collections::{BTreeMap, VecDeque};

use crate::shard_growth::capacity_forecast::CapacityForecast;
use crate::shard_growth::history::GrowthHistory;
use crate::shard_growth::shard_map::{ShardId, VersionedShardMap};

/// Forecasts, and the shards that are to be forecast anew.
#[derive(Debug, Default)]
pub(super) struct CapacityForecasts {
    by_shard: BTreeMap<ShardId, CapacityForecast>,
    pending: VecDeque<ShardId>,
}

impl CapacityForecasts {
    /// Has all shards of the history forecast anew.
    pub(super) fn refresh_all(&mut self, history: &GrowthHistory) {
        self.pending = history.shards().collect();
    }

    /// Has a shard forecast anew, if it does not wait for that already.
    pub(super) fn refresh(&mut self, shard: ShardId) {
        if !self.pending.contains(&shard) {
            self.pending.push_back(shard);
        }
    }

    /// Drops a shard's forecast and has it forecast anew: its capacity has changed.
    pub(super) fn invalidate(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
        self.pending.push_back(shard);
    }

    /// Forecasts the next pending shard. An unsplit shard holds `capacity_bytes`, and each split doubles that. Without a
    /// capacity, the shard is taken off the queue only.
    pub(super) fn advance(
        &mut self,
        history: &GrowthHistory,
        shard_map: &VersionedShardMap,
        capacity_bytes: Option<f64>,
    ) {
        let Some(shard) = self.pending.pop_front() else { return };
        let Some(capacity_bytes) = capacity_bytes else { return };
        let capacity_bytes = capacity_bytes * f64::from(shard_map.layout(shard).part_count());
        self.by_shard.insert(shard, history.capacity_forecast(shard, capacity_bytes));
    }

    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The forecast of a shard; the default one if there is none.
    pub(super) fn get(&self, shard: ShardId) -> CapacityForecast {
        self.by_shard.get(&shard).copied().unwrap_or_default()
    }

    /// All forecasts, ordered by shard.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ShardId, &CapacityForecast)> {
        self.by_shard.iter().map(|(shard, forecast)| (*shard, forecast))
    }

    pub(super) fn entries(&self) -> usize {
        self.by_shard.len() + self.pending.len()
    }
}
