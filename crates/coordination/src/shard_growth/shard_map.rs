//! The shard map that planners agree on: the number of parts of each split shard, and the splits in progress.
//!
//! The map is small and always sent in full, so a member that has the highest version needs no earlier
//! version. A balancer routes by a [`granitelb_balancer::ShardMap`], which
//! [`VersionedShardMap::to_balancer_shard_map`] derives.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a shard: a fixed range of the slots of the shared slot table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u8);

/// The number of shards in a fleet.
pub const SHARD_COUNT: usize = 256;

/// The version of a shard map. Each version was decided by a majority of the configured planners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardMapVersion(pub u64);

/// The lowest invalid version. A forged version near the end of the range would leave no higher version for
/// later maps.
const VERSION_LIMIT: u64 = 1 << 48;

/// The number of copying steps in which the keys of a split are migrated.
pub const COPY_STEPS: u8 = 16;

/// The maximum number of splits of a shard. Each split doubles the number of parts, so a shard has up to 8
/// parts.
pub const MAX_SPLIT_BITS: u8 = 3;

/// The phase of a split. A split passes through the phases up to `Switched` in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SplitPhase {
    /// The shard is forecast to outgrow its endpoints; no endpoint is reserved and no key has moved.
    Foreseen,
    /// The split has reserved its endpoints; no key has moved.
    Planned,
    /// This many sixteenths of the migrating keys are read from their new endpoints, which fetch missing
    /// values from the origin.
    Copying(u8),
    /// All migrating keys are read from their new endpoints. On a cache miss, the old endpoint is read before
    /// the origin.
    DualRead,
    /// The old endpoints are no longer read. A lasting fault or an operator can still cause the split to be
    /// withdrawn.
    Switched,
    /// The split was withdrawn, and keys are read from their old endpoints again. The split may be planned
    /// again after a waiting time.
    Withdrawn,
}

impl SplitPhase {
    /// Whether the split has reserved its endpoints.
    pub fn is_active(self) -> bool {
        !matches!(self, SplitPhase::Foreseen | SplitPhase::Withdrawn)
    }

    /// Whether any key is read from a different endpoint than before the split.
    pub fn moves_keys(self) -> bool {
        matches!(self, SplitPhase::Copying(_) | SplitPhase::DualRead | SplitPhase::Switched)
    }
}

/// The division of one shard into parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLayout {
    /// The number of additional hash bits that divide the shard's keys: one for each complete split.
    pub bits: u8,
    /// The phase of the split in progress, which adds one bit once complete; none if no split is in progress.
    pub phase: Option<SplitPhase>,
}

/// The hash bits by which the keys of a shard are routed.
#[derive(PartialEq)]
struct KeyRouting {
    /// The number of bits by which all keys are routed.
    bits: u8,
    /// Whether some keys are routed by one additional bit.
    is_partly_migrated: bool,
}

impl ShardLayout {
    fn key_routing(self) -> KeyRouting {
        match self.phase {
            Some(SplitPhase::DualRead | SplitPhase::Switched) => {
                KeyRouting { bits: self.bits + 1, is_partly_migrated: false }
            }
            phase => {
                KeyRouting { bits: self.bits, is_partly_migrated: phase.is_some_and(SplitPhase::moves_keys) }
            }
        }
    }

    /// Whether, since the layout `from`, keys have begun to migrate, have all migrated, or have returned to
    /// their old endpoints.
    ///
    /// A later copying step does not count: a step moves so few keys that earlier observations of the shard
    /// stay valid for the other keys.
    pub fn moves_keys_since(self, from: ShardLayout) -> bool {
        self.key_routing() != from.key_routing()
    }

    /// The number of parts into which complete splits divide the shard.
    pub fn part_count(self) -> u32 {
        1 << self.bits.min(MAX_SPLIT_BITS)
    }
}

impl fmt::Display for ShardLayout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.phase {
            None => f.write_str("stable"),
            Some(SplitPhase::Foreseen) => f.write_str("foreseen"),
            Some(SplitPhase::Planned) => f.write_str("planned"),
            Some(SplitPhase::Copying(step)) => write!(f, "copying, step {step} of {COPY_STEPS}"),
            Some(SplitPhase::DualRead) => f.write_str("dual read"),
            Some(SplitPhase::Switched) => f.write_str("switched"),
            Some(SplitPhase::Withdrawn) => f.write_str("withdrawn"),
        }
    }
}

/// One version of the shard map that planners agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedShardMap {
    /// The version, which is one above that of the previous map.
    pub version: ShardMapVersion,
    /// Shards that are split or have a split in progress; all others have the default layout and no entry.
    pub shards: BTreeMap<ShardId, ShardLayout>,
}

impl VersionedShardMap {
    /// Whether the split schedule can have created this map. A map from a message may hold any values.
    pub fn is_valid(&self) -> bool {
        self.version.0 < VERSION_LIMIT && self.shards.values().all(|layout| is_valid_layout(*layout))
    }

    /// The layout of a shard; the default layout if the map has no entry for the shard.
    pub fn layout(&self, shard: ShardId) -> ShardLayout {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// The next version, with the layout of one shard replaced.
    pub fn with_layout(&self, shard: ShardId, layout: ShardLayout) -> VersionedShardMap {
        let mut shards = self.shards.clone();
        shards.insert(shard, layout);
        shards.retain(|_, layout| *layout != ShardLayout::default());
        VersionedShardMap { version: ShardMapVersion(self.version.0 + 1), shards }
    }

    /// The map that a node's balancer routes by.
    pub fn to_balancer_shard_map(&self) -> granitelb_balancer::ShardMap {
        let shards = self.shards.iter().map(|(shard, layout)| {
            let split = granitelb_balancer::ShardSplit {
                bits: layout.bits,
                migration: migration_phase(layout.phase),
            };
            (shard.0, split)
        });
        granitelb_balancer::ShardMap { version: self.version.0, shards: shards.collect() }
    }
}

fn is_valid_layout(layout: ShardLayout) -> bool {
    if let Some(SplitPhase::Copying(step)) = layout.phase
        && (step == 0 || step > COPY_STEPS)
    {
        return false;
    }
    layout.bits.saturating_add(u8::from(layout.phase.is_some())) <= MAX_SPLIT_BITS
}

fn migration_phase(phase: Option<SplitPhase>) -> granitelb_balancer::MigrationPhase {
    match phase {
        Some(SplitPhase::Copying(step)) => granitelb_balancer::MigrationPhase::Copying { sixteenths: step },
        Some(SplitPhase::DualRead) => granitelb_balancer::MigrationPhase::DualRead,
        Some(SplitPhase::Switched) => granitelb_balancer::MigrationPhase::Switched,
        Some(SplitPhase::Foreseen | SplitPhase::Planned | SplitPhase::Withdrawn) | None => {
            granitelb_balancer::MigrationPhase::Stable
        }
    }
}
