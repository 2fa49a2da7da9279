//! The order in which splits are considered.

use granitelb_balancer::time::Span;

use super::conditions::ShardOutlooks;
use crate::shard_growth::shard_map::{MAX_SPLIT_BITS, ShardId, ShardLayout, SplitPhase, VersionedShardMap};

/// A shard whose split is in progress.
pub(super) struct SplitInProgress {
    pub(super) shard: ShardId,
    pub(super) layout: ShardLayout,
    pub(super) phase: SplitPhase,
}

/// The splits in progress, ordered by urgency: active splits first, then by the earliest forecast day.
pub(super) fn by_urgency(shard_map: &VersionedShardMap, outlooks: &ShardOutlooks) -> Vec<SplitInProgress> {
    let mut splits = Vec::new();
    for (shard, layout) in &shard_map.shards {
        if let Some(phase) = layout.phase {
            splits.push(SplitInProgress { shard: *shard, layout: *layout, phase });
        }
    }
    splits.sort_by_key(|split| (!split.phase.is_active(), earliest(split.shard, outlooks), split.shard));
    splits
}

/// The shard with the earliest forecast day among those without a split in progress that can be split again.
pub(super) fn next_foreseen(shard_map: &VersionedShardMap, outlooks: &ShardOutlooks) -> Option<ShardId> {
    let may_split = |shard: ShardId| {
        let layout = shard_map.layout(shard);
        layout.phase.is_none() && layout.bits < MAX_SPLIT_BITS
    };
    let foreseen = outlooks
        .iter()
        .filter(|(shard, _)| may_split(**shard))
        .filter_map(|(shard, outlook)| Some((outlook.earliest?, *shard)));
    foreseen.min().map(|(_, shard)| shard)
}

fn earliest(shard: ShardId, outlooks: &ShardOutlooks) -> Span {
    let known = outlooks.get(&shard).and_then(|outlook| outlook.earliest);
    known.unwrap_or(Span(u64::MAX))
}
