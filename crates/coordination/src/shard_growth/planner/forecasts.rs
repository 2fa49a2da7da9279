//! The capacity forecasts of all shards. Each poll forecasts at most one shard, which keeps polls short.

use std::collections::{BTreeMap, VecDeque};

use crate::shard_growth::capacity_forecast::CapacityForecast;
use crate::shard_growth::history::GrowthHistory;
use crate::shard_growth::shard_map::{ShardId, VersionedShardMap};

/// The forecasts by shard, and the queue of shards to forecast again.
#[derive(Debug, Default)]
pub(super) struct CapacityForecasts {
    by_shard: BTreeMap<ShardId, CapacityForecast>,
    pending: VecDeque<ShardId>,
}

impl CapacityForecasts {
    /// Queues all shards of the history, in place of those queued before.
    pub(super) fn refresh_all(&mut self, history: &GrowthHistory) {
        self.pending = history.shards().collect();
    }

    /// Queues a shard unless it is queued already.
    pub(super) fn refresh(&mut self, shard: ShardId) {
        if !self.pending.contains(&shard) {
            self.pending.push_back(shard);
        }
    }

    /// Drops a shard's forecast and queues the shard, since its capacity has changed.
    pub(super) fn invalidate(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
        self.pending.push_back(shard);
    }

    /// Forecasts the first queued shard. The capacity of an unsplit shard is `capacity_bytes`, and each split
    /// doubles it. Without a capacity, the shard is removed from the queue and not forecast.
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

    /// The forecast of a shard, or the default forecast, with no days, if the shard has none.
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
