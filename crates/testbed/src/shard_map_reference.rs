//! Reference model of shard growth: the shard of a key, the cache that a shard map places a key at, and the
//! messages about shard maps.
//!
//! The model implements the published format and shares no code with the program under test, so that the
//! auditor does not inherit the program's faults. The slot and the shard of a key depend only on the key's
//! hash. The cache of a slot is chosen by rendezvous hashing over all caches.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use serde::{Deserialize, Serialize};

use crate::message_reference::endpoint_number;

/// The number of slots that keys are hashed to before any split.
const INITIAL_SLOTS: u64 = 8192;
/// The number of consecutive slots that form a shard.
const SLOTS_PER_SHARD: u64 = 32;
/// The number of low bits of a slot's hash that its rank omits. The remaining bits fit exactly into an `f64`.
const RANK_SHIFT: u32 = 11;
/// The rank of the phase before copying.
const RANK_PLANNED: u8 = 2;
/// The rank of the phase after the last of the 16 copying steps.
const RANK_DUAL_READ: u8 = RANK_PLANNED + 16 + 1;

/// The smallest key of growing shards. All other keys of an experiment are smaller.
pub const FIRST_GROWING_KEY: u64 = 1 << 40;
/// The size of the values of growing shards, in bytes. All other values are as small as possible.
pub const VALUE_BYTES: usize = 1000;

/// The phase of a shard's split. `#[serde(rename = "…")]` fixes the names in experiment files and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SplitPhase {
    /// The shard is forecast to need the split; nothing has been done.
    #[serde(rename = "foreseen", alias = "forecast")]
    Forecast,
    /// The split has reserved its caches; no key has moved.
    #[serde(rename = "planned")]
    ScheduledRequest,
    /// This many sixteenths of the moving keys are read at their new caches.
    #[serde(rename = "copying")]
    Copying(u8),
    /// All moving keys are read at their new caches; after a cache miss there, the old cache is asked before
    /// the origin.
    #[serde(rename = "both_read", alias = "dual_read")]
    DualRead,
    /// The old caches are no longer read.
    #[serde(rename = "switched")]
    Switched,
    /// The split was withdrawn; keys are read at their old caches.
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

impl SplitPhase {
    /// Whether the split has its caches reserved in this phase.
    pub fn is_active(self) -> bool {
        !matches!(self, SplitPhase::Forecast | SplitPhase::Withdrawn)
    }

    /// The position of the phase in the order of a split's phases, from 1; `None` for a withdrawn split.
    pub fn rank(self) -> Option<u8> {
        match self {
            SplitPhase::Forecast => Some(1),
            SplitPhase::ScheduledRequest => Some(RANK_PLANNED),
            SplitPhase::Copying(sixteenths) => Some(RANK_PLANNED + sixteenths),
            SplitPhase::DualRead => Some(RANK_DUAL_READ),
            SplitPhase::Switched => Some(RANK_DUAL_READ + 1),
            SplitPhase::Withdrawn => None,
        }
    }
}

/// The completed splits of a shard and the split in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// The number of completed splits, which is the number of further hash bits that select a part of a slot.
    pub bits: u8,
    /// The phase of the split in progress, if any.
    #[serde(rename = "step")]
    pub phase: Option<SplitPhase>,
}

/// A version of the shard map. Shards that are not listed have never been split.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// The version number, which increases by one with each change.
    pub version: u64,
    /// The shards that have been split or have a split in progress.
    pub shards: BTreeMap<u8, ShardState>,
}

impl ShardMap {
    /// The state of a shard.
    pub fn shard(&self, shard: u8) -> ShardState {
        self.shards.get(&shard).copied().unwrap_or_default()
    }
}

/// A shard's size on a past accounting day.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaySize {
    /// The accounting day, counted from the Unix epoch.
    pub day: u32,
    /// The total size of the values that were read on the day, in bytes.
    pub bytes: f32,
    /// The number of keys that were read on the day.
    pub keys: f32,
}

/// A message about shard maps. Of variants without fields, only the kind is decoded, not the body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardGrowthMessage {
    /// From a node: a sketch of the keys that were requested.
    Sketch,
    /// The acknowledgement of a sketch.
    SketchCounted,
    /// From a node: the version of the shard map that the node uses.
    MapInUse {
        /// The version.
        version: u64,
    },
    /// The current accounting day.
    CurrentDay {
        /// The day, counted from the Unix epoch.
        day: u32,
    },
    /// From a planner: a shard map.
    Map {
        /// The shard map.
        map: ShardMap,
    },
    /// A message of the consensus on shard maps.
    Consensus,
    /// The endpoint list.
    Endpoints,
    /// The ended accounting days of a shard.
    EndedDays {
        /// The shard.
        shard: u8,
        /// The shard's size on each day.
        days: Vec<DaySize>,
    },
    /// From a node: the origin is slow.
    OriginSlow,
}

fn hash(words: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for word in words {
        hasher.write_u64(*word);
    }
    hasher.finish()
}

/// The hash that determines a key's slot: the hash of the last segment of the key's request path.
fn key_hash(key: u64) -> u64 {
    hash(&[endpoint_number(&format!("{key:016x}"))])
}

/// The shard of a key.
pub fn shard_of(key: u64) -> u8 {
    (key_hash(key) % INITIAL_SLOTS / SLOTS_PER_SHARD) as u8
}

/// The `count` smallest keys of a growing shard.
pub fn keys_of(shard: u8, count: usize) -> Vec<u64> {
    (FIRST_GROWING_KEY..).filter(|key| shard_of(*key) == shard).take(count).collect()
}

/// The placement of slots on equally sized caches by rendezvous hashing.
pub struct Placement {
    /// The caches' endpoint numbers. Methods return indices into this list.
    caches: Vec<u64>,
}

impl Placement {
    /// A placement on the caches with these names in the endpoint list.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Placement {
        Placement { caches: names.map(endpoint_number).collect() }
    }

    /// The index of the cache that ranks first for a slot; `None` without caches.
    fn first_ranked(&self, slot: u64) -> Option<usize> {
        // Among caches of equal weight, the rank is the negated logarithm of the hash: the greatest hash has
        // the least rank value.
        (0..self.caches.len()).max_by_key(|index| hash(&[slot, self.caches[*index]]) >> RANK_SHIFT)
    }

    fn slot(key: u64, bits: u8) -> u64 {
        let hash = key_hash(key);
        let part = (hash / INITIAL_SLOTS) & ((1 << bits) - 1);
        hash % INITIAL_SLOTS + INITIAL_SLOTS * part
    }

    /// The index of the cache for a key of a shard that has been split `bits` times; `None` without caches.
    pub fn cache_of(&self, key: u64, bits: u8) -> Option<usize> {
        self.first_ranked(Placement::slot(key, bits))
    }

    /// The indices of all caches that rank first for some slot of a shard that has been split `bits` times.
    pub fn caches_of_shard(&self, shard: u8, bits: u8) -> BTreeSet<usize> {
        let first_slot = u64::from(shard) * SLOTS_PER_SHARD;
        let mut caches = BTreeSet::new();
        for part in 0..1u64 << bits {
            for slot in first_slot..first_slot + SLOTS_PER_SHARD {
                caches.extend(self.first_ranked(slot + INITIAL_SLOTS * part));
            }
        }
        caches
    }
}
