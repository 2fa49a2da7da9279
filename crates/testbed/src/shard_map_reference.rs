//! Reference model of shard growth: the shard of a key, the cache that a shard map places a key at, and the messages
//! about shard maps.
//!
//! It is written from the published format and shares no code with the program, so that the auditor does not inherit
//! the program's faults. Slot and shard of a key depend on its hash alone; the cache of a slot is chosen by rendezvous
//! hashing over all caches.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use serde::{Deserialize, Serialize};

use crate::message_reference::endpoint_number;

/// Slots that keys are hashed to before any split.
const SLOTS: u64 = 8192;
/// Consecutive slots that form one shard.
const SLOTS_PER_SHARD: u64 = 32;
/// Low bits of a slot's hash that its rank leaves out: what remains is exact as an `f64`.
const RANK_SHIFT: u32 = 11;
/// The rank of the last phase before copying.
const RANK_PLANNED: u8 = 2;
/// The rank of the phase that follows the last of 16 copying steps.
const RANK_DUAL_READ: u8 = RANK_PLANNED + 16 + 1;

/// Keys of growing shards are numbered from here on; no other key of an experiment is as great.
pub const FIRST_GROWING_KEY: u64 = 1 << 40;
/// Size in bytes of the values of growing shards; all other values are as small as possible.
pub const VALUE_BYTES: usize = 1000;

/// The phase of a shard's split. Experiment files and reports keep the former names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SplitPhase {
    /// The split will be needed; nothing is done yet.
    #[serde(rename = "foreseen", alias = "forecast")]
    Forecast,
    /// The split's caches are reserved; no key moves yet.
    #[serde(rename = "planned")]
    ScheduledRequest,
    /// The number of sixteenths of the moving keys that are read at their new place.
    #[serde(rename = "copying")]
    Copying(u8),
    /// All moving keys are read at their new place; a miss there goes to the old place before the origin.
    #[serde(rename = "both_read", alias = "dual_read")]
    DualRead,
    /// Old places are no longer read.
    #[serde(rename = "switched")]
    Switched,
    /// The split was abandoned; keys are read at their old places.
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

impl SplitPhase {
    /// Whether the split reserves its caches in this phase.
    pub fn is_active(self) -> bool {
        !matches!(self, SplitPhase::Forecast | SplitPhase::Withdrawn)
    }

    /// The rank of the phase in a split's regular course, from 1; `None` for one that is abandoned.
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

/// How far a shard has been split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// Completed splits: this many further hash bits choose among a slot's parts.
    pub bits: u8,
    /// The phase of the split in progress.
    #[serde(rename = "step")]
    pub phase: Option<SplitPhase>,
}

/// A version of the shard map. Shards that are not listed have never been split.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Rises by one with each change.
    pub version: u64,
    /// The shards that have been split or are to be.
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
    /// Bytes of all values that were read on it.
    pub bytes: f32,
    /// Keys that were read on it.
    pub keys: f32,
}

/// Messages about shard maps. Those without fields are recognised and their body is not decoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardGrowthMessage {
    /// A sketch of the keys seen.
    Sketch,
    /// Acknowledges a sketch.
    SketchCounted,
    /// From a node: the version of the shard map in use.
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
    /// Accounting days of a shard that have ended.
    EndedDays {
        /// The shard.
        shard: u8,
        /// Its size on each day.
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

/// The hash that a key's slot is found by: that of the last segment of its request path.
fn key_hash(key: u64) -> u64 {
    hash(&[endpoint_number(&format!("{key:016x}"))])
}

/// The shard of a key.
pub fn shard_of(key: u64) -> u8 {
    (key_hash(key) % SLOTS / SLOTS_PER_SHARD) as u8
}

/// The `count` smallest growing keys of a shard.
pub fn keys_of(shard: u8, count: usize) -> Vec<u64> {
    (FIRST_GROWING_KEY..).filter(|key| shard_of(*key) == shard).take(count).collect()
}

/// Rendezvous placement of slots on equally sized caches.
pub struct Placement {
    /// The caches' endpoint numbers; results are indices into this list.
    caches: Vec<u64>,
}

impl Placement {
    /// A placement over caches by their names in the endpoint list.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Placement {
        Placement { caches: names.map(endpoint_number).collect() }
    }

    /// The index of the cache that ranks first for a slot.
    fn first(&self, slot: u64) -> Option<usize> {
        // The weighted rank of equal caches is the negated logarithm: the greatest hash has the least.
        (0..self.caches.len()).max_by_key(|index| hash(&[slot, self.caches[*index]]) >> RANK_SHIFT)
    }

    fn slot(key: u64, bits: u8) -> u64 {
        let hash = key_hash(key);
        let part = (hash / SLOTS) & ((1 << bits) - 1);
        hash % SLOTS + SLOTS * part
    }

    /// The index of the cache for a key of a shard that has been split `bits` times.
    pub fn cache_of(&self, key: u64, bits: u8) -> Option<usize> {
        self.first(Placement::slot(key, bits))
    }

    /// The indices of all caches that rank first for some slot of a shard that has been split `bits` times.
    pub fn caches_of_shard(&self, shard: u8, bits: u8) -> BTreeSet<usize> {
        let first_slot = u64::from(shard) * SLOTS_PER_SHARD;
        let mut caches = BTreeSet::new();
        for part in 0..1u64 << bits {
            for slot in first_slot..first_slot + SLOTS_PER_SHARD {
                caches.extend(self.first(slot + SLOTS * part));
            }
        }
        caches
    }
}
