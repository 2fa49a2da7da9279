//! Growth as this lab has it, by code of its own: which keys belong to a shard, which cache a form puts a key at, and the
//! letters that tell of forms.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use serde::{Deserialize, Serialize};

use crate::message_reference::cache_number;

/// Among letters.
pub const GROWTH: u8 = 4;

const SLOTS: u64 = 8192;
const SLOTS_A_SHARD: u64 = 32;
/// Keys of shards that grow are numbered from here on: no other key of an experiment is.
pub const FIRST_KEY: u64 = 1 << 40;
/// Their values are of this size; all others are as small as can be.
pub const VALUE_BYTES: usize = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    Foreseen,
    Planned,
    /// Sixteenths of what moves.
    Copying(u8),
    BothRead,
    Switched,
    Withdrawn,
}

impl Step {
    /// Whether its caches are taken by it.
    pub fn is_active(self) -> bool {
        !matches!(self, Step::Foreseen | Step::Withdrawn)
    }

    /// Where it stands between a split that has not begun and one that has settled.
    pub fn place(self) -> Option<u8> {
        match self {
            Step::Foreseen => Some(1),
            Step::Planned => Some(2),
            Step::Copying(n) => Some(2 + n),
            Step::BothRead => Some(19),
            Step::Switched => Some(20),
            Step::Withdrawn => None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardForm {
    pub bits: u8,
    pub step: Option<Step>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Form {
    pub version: u64,
    pub shards: BTreeMap<u8, ShardForm>,
}

impl Form {
    pub fn of(&self, shard: u8) -> ShardForm {
        self.shards.get(&shard).copied().unwrap_or_default()
    }
}

/// A day of the book, with bytes and keys.
pub type KnownDay = (u32, f32, f32);

/// Of some only the kind is read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Growth {
    Sketch,
    Counted,
    Holds { version: u64 },
    Today { day: u32 },
    Table { form: Form },
    Vote,
    Caches,
    Ended { shard: u8, days: Vec<KnownDay> },
    OriginSlow,
}

fn hash(words: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    words.iter().for_each(|word| hasher.write_u64(*word));
    hasher.finish()
}

/// The hash by which a key's slot is found: of the last part of the path that it is asked by.
fn key_hash(key: u64) -> u64 {
    hash(&[cache_number(&format!("{key:016x}"))])
}

pub fn shard_of(key: u64) -> u8 {
    (key_hash(key) % SLOTS / SLOTS_A_SHARD) as u8
}

/// The first so many keys of a shard.
pub fn keys_of(shard: u8, count: usize) -> Vec<u64> {
    (FIRST_KEY..).filter(|key| shard_of(*key) == shard).take(count).collect()
}

/// Caches of one size, by their numbers in letters.
pub struct Places(pub Vec<u64>);

impl Places {
    pub fn of<'a>(names: impl Iterator<Item = &'a str>) -> Places {
        Places(names.map(cache_number).collect())
    }

    /// Which of them stands first in a slot.
    fn first(&self, slot: u64) -> Option<usize> {
        // The greatest hash is the least logarithm.
        (0..self.0.len()).max_by_key(|n| hash(&[slot, self.0[*n]]) >> 11)
    }

    fn slot(key: u64, bits: u8) -> u64 {
        let hash = key_hash(key);
        hash % SLOTS + SLOTS * ((hash / SLOTS) & ((1 << bits) - 1))
    }

    /// Where a key stands whose shard's keys are told apart by so many more bits.
    pub fn place(&self, key: u64, bits: u8) -> Option<usize> {
        self.first(Places::slot(key, bits))
    }

    /// All that stand first in a slot of a shard.
    pub fn of_shard(&self, shard: u8, bits: u8) -> BTreeSet<usize> {
        let first = u64::from(shard) * SLOTS_A_SHARD;
        let slots =
            (0..1u64 << bits).flat_map(|part| (first..first + SLOTS_A_SHARD).map(move |s| s + SLOTS * part));
        slots.filter_map(|slot| self.first(slot)).collect()
    }
}
