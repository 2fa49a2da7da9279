//! What forwarders saw of one shard on one day, in a representation that may be merged any number of times.
//!
//! Messages are duplicated and each planner hears all forwarders, so merging has to be idempotent and independent of
//! order. It is a join by the greatest value throughout: distinct keys are a HyperLogLog whose registers only rise, and
//! counters are kept for each incarnation of a forwarder, which alone raises them. The sum over incarnations is then the
//! true sum of what was received.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::GrowthError;
use super::sketch::{DistinctCounter, REGISTER_COUNT};
use crate::member::{ForwarderId, Incarnation};

/// Counters are kept of this many incarnations for one shard and day: 1,000 forwarders that each start four times.
pub const MAX_INCARNATIONS: usize = 4096;

/// What one incarnation of a forwarder counted of a shard on one day. Each counter only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCounters {
    /// Reads that were answered.
    pub reads: u64,
    /// Writes that were answered.
    pub writes: u64,
    /// Bytes of values that were read or written.
    pub bytes: u64,
    /// The number of values to which `bytes` adds up.
    pub sized_responses: u64,
    /// Cache misses of keys that the forwarder had recently seen stored.
    pub evictions: u64,
}

impl ShardCounters {
    fn raise(&mut self, other: &ShardCounters) {
        self.reads = self.reads.max(other.reads);
        self.writes = self.writes.max(other.writes);
        self.bytes = self.bytes.max(other.bytes);
        self.sized_responses = self.sized_responses.max(other.sized_responses);
        self.evictions = self.evictions.max(other.evictions);
    }

    fn plus(self, other: &ShardCounters) -> ShardCounters {
        ShardCounters {
            reads: self.reads.saturating_add(other.reads),
            writes: self.writes.saturating_add(other.writes),
            bytes: self.bytes.saturating_add(other.bytes),
            sized_responses: self.sized_responses.saturating_add(other.sized_responses),
            evictions: self.evictions.saturating_add(other.evictions),
        }
    }
}

/// Names one of a shard's two sketches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SketchKind {
    /// The keys that were read.
    Read,
    /// The keys that were written.
    Written,
}

/// What all forwarders saw of one shard on one day, as far as their messages arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardDay {
    /// The keys that were read.
    pub read: DistinctCounter,
    /// The keys that were written.
    pub written: DistinctCounter,
    counters: BTreeMap<(ForwarderId, Incarnation), ShardCounters>,
}

impl ShardDay {
    /// One of the two sketches.
    pub fn sketch_mut(&mut self, kind: SketchKind) -> &mut DistinctCounter {
        match kind {
            SketchKind::Read => &mut self.read,
            SketchKind::Written => &mut self.written,
        }
    }

    /// Raises the counters of one incarnation of a forwarder.
    ///
    /// # Errors
    /// [`GrowthError::CapacityExceeded`] if the incarnation is new and counters of [`MAX_INCARNATIONS`] are kept already;
    /// nothing is changed.
    pub fn raise(
        &mut self,
        forwarder: ForwarderId,
        incarnation: Incarnation,
        counters: &ShardCounters,
    ) -> Result<(), GrowthError> {
        let key = (forwarder, incarnation);
        if !self.counters.contains_key(&key) && self.counters.len() >= MAX_INCARNATIONS {
            return Err(GrowthError::CapacityExceeded);
        }
        self.counters.entry(key).or_default().raise(counters);
        Ok(())
    }

    /// Merges what `other` has. Incarnations beyond [`MAX_INCARNATIONS`] are left out.
    pub fn merge(&mut self, other: &ShardDay) {
        self.read.merge(&other.read);
        self.written.merge(&other.written);
        for ((forwarder, incarnation), counters) in &other.counters {
            let _: Result<(), GrowthError> = self.raise(*forwarder, *incarnation, counters);
        }
    }

    /// The sum of the counters over all incarnations.
    pub fn total(&self) -> ShardCounters {
        self.counters.values().fold(ShardCounters::default(), |sum, counters| sum.plus(counters))
    }

    /// The estimated number of distinct keys that were read or written.
    pub fn distinct_keys(&self) -> f64 {
        let mut keys = self.read.clone();
        keys.merge(&self.written);
        keys.count()
    }

    /// The bytes that the day's keys take in a cache: distinct keys times the mean size of a value. None if no value
    /// was seen.
    pub fn cached_bytes(&self) -> Option<f64> {
        let total = self.total();
        if total.sized_responses == 0 {
            return None;
        }
        Some(self.distinct_keys() * total.bytes as f64 / total.sized_responses as f64)
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        2 * REGISTER_COUNT + self.counters.len()
    }
}
