//! The shard map that planners agree on: which shards are split into how many parts, and which splits are in progress.
//!
//! The map is small and is always sent in full, so a member that holds the highest version needs none of the earlier
//! ones. A balancer is given a [`granitelb_balancer::ShardMap`], which [`VersionedShardMap::to_balancer_shard_map`] derives.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A shard: a fixed range of the slots of the shared slot table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u8);

/// The number of shards in a fleet.
pub const SHARD_COUNT: usize = 256;

/// The version of a shard map. Each version was decided by a majority of the configured planners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardMapVersion(pub u64);

/// Versions from here on are invalid: a made-up one near the end of the range would leave none to follow it.
const VERSION_LIMIT: u64 = 1 << 48;

/// The number of steps in which the keys of a split are migrated.
pub const COPY_STEPS: u8 = 16;

/// A shard is split at most this many times, into two to this power of parts.
pub const MAX_SPLIT_BITS: u8 = 3;

/// How far a split has advanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SplitPhase {
    /// The shard is forecast to need the split; nothing has been done.
    Foreseen,
    /// The split has reserved its endpoints; no key has moved.
    Planned,
    /// This many sixteenths of the migrating keys are read from their new endpoints, which fill from the origin.
    Copying(u8),
    /// All migrating keys are read from their new endpoints; a miss there asks the old endpoint before the origin.
    DualRead,
    /// The old endpoints are no longer read. The split is observed and may still be withdrawn.
    Switched,
    /// The split was withdrawn and keys are back at their old endpoints. It waits before it may be planned again.
    Withdrawn,
}

impl SplitPhase {
    /// Whether the split has reserved its endpoints.
    pub fn is_active(self) -> bool {
        !matches!(self, SplitPhase::Foreseen | SplitPhase::Withdrawn)
    }

    /// Whether any key is read from another endpoint than before the split.
    pub fn moves_keys(self) -> bool {
        matches!(self, SplitPhase::Copying(_) | SplitPhase::DualRead | SplitPhase::Switched)
    }
}

/// How one shard is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLayout {
    /// How many further bits of the hash divide the shard's keys, by splits that are complete.
    pub bits: u8,
    /// The phase of the split in progress, which adds one bit.
    pub phase: Option<SplitPhase>,
}

/// By which bits of the hash the keys of a shard are routed.
#[derive(PartialEq)]
struct KeyRouting {
    /// The bits by which all keys are routed.
    bits: u8,
    /// Whether some keys are routed by one bit more.
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

    /// Whether, since `from`, keys have begun to migrate, have all migrated, or have returned to their old endpoints.
    ///
    /// A further copying step does not count: it moves so few keys that earlier observations still hold for the rest.
    pub fn moves_keys_since(self, from: ShardLayout) -> bool {
        self.key_routing() != from.key_routing()
    }

    /// The number of parts into which completed splits divide the shard.
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

/// A version of the shard map, as planners agree on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedShardMap {
    /// The version, one above that of the map it was made from.
    pub version: ShardMapVersion,
    /// Shards that are split or have a split in progress; all others have the default layout and no entry.
    pub shards: BTreeMap<ShardId, ShardLayout>,
}

impl VersionedShardMap {
    /// Whether the split schedule can have made this map. Maps arrive in messages, which may contain anything.
    pub fn is_valid(&self) -> bool {
        self.version.0 < VERSION_LIMIT && self.shards.values().all(|layout| is_valid_layout(*layout))
    }

    /// The layout of a shard.
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
