//! The counts of one shard on one day, merged from the reports of all forwarders.
//!
//! Reports are repeated, messages are duplicated, and each planner receives the reports of all forwarders.
//! Merging therefore has to be idempotent and independent of order. Each value is merged by taking the
//! greater one: distinct keys are counted by a HyperLogLog whose registers only rise, and counters are kept
//! separately for each incarnation of a forwarder, which is the only one to raise them. The sum of the
//! counters over all incarnations is then exact for the received reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::GrowthError;
use super::sketch::{DistinctCounter, REGISTER_COUNT};
use crate::member::{ForwarderId, Incarnation};

/// The maximum number of forwarder incarnations whose counters are kept for one shard and day: enough for
/// 1,000 forwarders that each start four times.
pub const MAX_INCARNATIONS: usize = 4096;

/// The counters of one incarnation of a forwarder for one shard and day. Each counter only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCounters {
    /// The number of reads that were fulfilled.
    pub reads: u64,
    /// The number of writes that were fulfilled.
    pub writes: u64,
    /// The total size of the values that were read or written, in bytes.
    pub bytes: u64,
    /// The number of values whose sizes are summed in `bytes`.
    pub sized_responses: u64,
    /// The number of cache misses for keys that the forwarder had recently read, and not written since.
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

/// The kind of a shard's sketch: of the keys that were read, or of those that were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SketchKind {
    /// The keys that were read.
    Read,
    /// The keys that were written.
    Written,
}

/// The merged reports of all forwarders for one shard and day, as far as the messages arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardDay {
    /// The keys that were read.
    pub read: DistinctCounter,
    /// The keys that were written.
    pub written: DistinctCounter,
    counters: BTreeMap<(ForwarderId, Incarnation), ShardCounters>,
}

impl ShardDay {
    /// The sketch of the given kind.
    pub fn sketch_mut(&mut self, kind: SketchKind) -> &mut DistinctCounter {
        match kind {
            SketchKind::Read => &mut self.read,
            SketchKind::Written => &mut self.written,
        }
    }

    /// Raises each counter of one incarnation of a forwarder to the reported value.
    ///
    /// # Errors
    /// [`GrowthError::CapacityExceeded`] if the incarnation is new and the counters of [`MAX_INCARNATIONS`]
    /// incarnations are kept already; no counter changes then.
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

    /// Merges the sketches and counters of `other`. Incarnations beyond [`MAX_INCARNATIONS`] are left out.
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

    /// The size of the day's keys in a cache, in bytes: distinct keys times the mean size of a value. None if
    /// no value was read or written.
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
