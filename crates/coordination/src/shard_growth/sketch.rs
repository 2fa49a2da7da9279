//! What forwarders saw of each shard in each day of the book, in forms that can be merged any number of times.
//!
//! Letters double and planners overlap, so that merging has to be idempotent, and to give the same in any order. It is a
//! join by greatest value throughout: distinct keys are a HyperLogLog, whose registers only rise, and a counter is kept
//! for each forwarder's life, where only that one raises it. A sum over lives is then the true sum of what was heard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::member::{ForwarderId, Incarnation};

/// A fixed range of the shared table's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u8);

/// A day of the book, from the first of January 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Day(pub u32);

pub const SHARDS: usize = 256;
const BITS: u32 = 10;
/// 1,024 of them: the standard error is 1.04 over the root of that, 3.25%.
pub const REGISTERS: usize = 1 << BITS;
/// A register holds how many zeros led what is left of the hash, and one.
const HIGHEST: u8 = (64 - BITS + 1) as u8;

/// Distinct keys, by the HyperLogLog of Flajolet and others with linear counting where few registers are set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distinct {
    registers: Box<[u8; REGISTERS]>,
}

impl Default for Distinct {
    fn default() -> Distinct {
        Distinct { registers: Box::new([0; REGISTERS]) }
    }
}

impl Distinct {
    /// Counts a key by its hash, and says which register rose, if one did.
    pub fn add(&mut self, hash: u64) -> Option<u16> {
        // The hash that the slots go by has equal low bits in a shard: another one is made of it.
        let hash = mixed(hash);
        let register = (hash >> (64 - BITS)) as u16;
        let zeros = (hash << BITS).leading_zeros().min(64 - BITS) as u8 + 1;
        self.raise(register, zeros).then_some(register)
    }

    /// Takes a register over where it is higher; one that there can't be is passed over.
    pub fn raise(&mut self, register: u16, to: u8) -> bool {
        let Some(own) = self.registers.get_mut(register as usize) else { return false };
        let rises = *own < to && to <= HIGHEST;
        if rises {
            *own = to;
        }
        rises
    }

    pub fn merge(&mut self, other: &Distinct) {
        self.registers.iter_mut().zip(other.registers.iter()).for_each(|(own, o)| *own = (*own).max(*o));
    }

    pub fn register(&self, register: u16) -> u8 {
        self.registers.get(register as usize).copied().unwrap_or(0)
    }

    pub fn count(&self) -> f64 {
        let m = REGISTERS as f64;
        let empty = self.registers.iter().filter(|r| **r == 0).count() as f64;
        let raw = 0.7213 / (1.0 + 1.079 / m) * m * m
            / self.registers.iter().map(|r| (-f64::from(*r)).exp2()).sum::<f64>();
        if raw <= 2.5 * m && empty > 0.0 { m * (m / empty).ln() } else { raw }
    }
}

/// The finalizer of MurmurHash3.
fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// What one forwarder's life counted of a shard in a day; each figure only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub reads: u64,
    pub writes: u64,
    /// Bytes of answers and of written values.
    pub bytes: u64,
    /// Answers and writes that those bytes are of.
    pub sized: u64,
    /// Misses of keys that this forwarder had seen stored of late.
    pub evicted: u64,
}

impl Counts {
    fn raise(&mut self, other: &Counts) {
        self.reads = self.reads.max(other.reads);
        self.writes = self.writes.max(other.writes);
        self.bytes = self.bytes.max(other.bytes);
        self.sized = self.sized.max(other.sized);
        self.evicted = self.evicted.max(other.evicted);
    }

    fn plus(self, other: &Counts) -> Counts {
        Counts {
            reads: self.reads.saturating_add(other.reads),
            writes: self.writes.saturating_add(other.writes),
            bytes: self.bytes.saturating_add(other.bytes),
            sized: self.sized.saturating_add(other.sized),
            evicted: self.evicted.saturating_add(other.evicted),
        }
    }
}

/// Which of a shard's sketches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Of {
    Read,
    Written,
}

/// One shard's day as all forwarders saw it, as far as they were heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardDay {
    pub read: Distinct,
    pub written: Distinct,
    counts: BTreeMap<(ForwarderId, Incarnation), Counts>,
}

/// Of so many lives of forwarders counts are kept for a shard's day: a thousand forwarders that each start four times.
pub const MAX_INCARNATIONS: usize = 4096;

impl ShardDay {
    pub fn sketch(&mut self, of: Of) -> &mut Distinct {
        match of {
            Of::Read => &mut self.read,
            Of::Written => &mut self.written,
        }
    }

    /// Takes one life's counts; false where there are too many lives.
    pub fn raise(&mut self, forwarder: ForwarderId, incarnation: Incarnation, counts: &Counts) -> bool {
        let known = self.counts.contains_key(&(forwarder, incarnation));
        let room = known || self.counts.len() < MAX_INCARNATIONS;
        if room {
            self.counts.entry((forwarder, incarnation)).or_default().raise(counts);
        }
        room
    }

    pub fn merge(&mut self, other: &ShardDay) {
        self.read.merge(&other.read);
        self.written.merge(&other.written);
        for ((forwarder, incarnation), counts) in &other.counts {
            self.raise(*forwarder, *incarnation, counts);
        }
    }

    pub fn total(&self) -> Counts {
        self.counts.values().fold(Counts::default(), |sum, c| sum.plus(c))
    }

    /// Bytes that the keys touched on this day take in a cache: distinct keys times the mean size seen.
    pub fn kept(&self) -> Option<f64> {
        let total = self.total();
        let mut both = self.read.clone();
        both.merge(&self.written);
        (total.sized > 0).then(|| both.count() * total.bytes as f64 / total.sized as f64)
    }

    pub fn entries(&self) -> usize {
        2 * REGISTERS + self.counts.len()
    }
}
