//! The slot table: the first-ranked endpoints of each slot.
//!
//! Endpoints are ranked by a hash of the endpoint and the slot, weighted by the endpoint's size (weighted
//! rendezvous hashing). Every node that knows the same endpoints and sizes computes the same table, and few
//! slots change when an endpoint is added or removed.
//!
//! The keys of a split shard are distributed by additional bits of their hash. Keys whose additional bits are
//! not all zero belong to slots beyond the first 8,192, each with candidates of its own. Without a
//! [`ShardMap`] there are no such slots.

use std::collections::{BTreeSet, HashMap};

use crate::control_plane::{MigrationPhase, ShardMap, ShardSplit};
use crate::ids::{EndpointId, Key};
use crate::seeded_hash::{hash_of, to_unit_interval};

/// The number of slots without splits: some tens for each of hundreds of endpoints. With five slots for each
/// endpoint, the endpoints' shares of the slots would deviate by 0.44 of the mean (one over the square root
/// of five), with forty slots by 0.16.
const SLOTS: u64 = 8192;
/// The number of slots of one shard without a split.
const SLOTS_PER_SHARD: u64 = 32;
/// The largest number of additional hash bits of a split shard: more bits would make more slots than are
/// worth ranking.
const MAX_SPLIT_BITS: u8 = 3;

/// The lower bound of a hash in the unit interval, which keeps the hash's logarithm finite.
const MIN_UNIT_HASH: f64 = 1e-18;

/// The shard that a key belongs to, which does not depend on the shard map.
pub fn shard_of(key: Key) -> u8 {
    shard_of_slot(hash_of(key) % SLOTS)
}

/// A hash of a key, for counting distinct keys; the same at every node of one build.
pub fn key_hash(key: Key) -> u64 {
    hash_of(key)
}

/// The endpoints that rank first in at least one slot of a shard that is split by `bits` additional bits.
/// `endpoints` are all endpoints with their sizes.
pub fn shard_placement(shard: u8, bits: u8, endpoints: &[(EndpointId, f64)]) -> BTreeSet<EndpointId> {
    let mut table = SlotTable::<1>::new();
    table.set_endpoints(endpoints.to_vec());
    slots_of(shard, bits).filter_map(|slot| table.ranks(slot)[0]).collect()
}

/// The endpoint that ranks first for a key under a shard map, and the key's previous endpoint, which is asked
/// after a cache miss during dual reads. `None` if there are no endpoints.
pub fn key_placement(
    key: Key,
    shard_map: &ShardMap,
    endpoints: &[(EndpointId, f64)],
) -> Option<(EndpointId, Option<EndpointId>)> {
    let mut table = SlotTable::<1>::new();
    table.set_endpoints(endpoints.to_vec());
    table.set_shard_map(shard_map);
    let previous = table.previous_slot(hash_of(key)).and_then(|slot| table.ranks(slot)[0]);
    Some((table.ranks(table.slot(hash_of(key)))[0]?, previous))
}

/// The slots of a shard that is split by `bits` additional bits.
fn slots_of(shard: u8, bits: u8) -> impl Iterator<Item = u64> {
    let first = u64::from(shard) * SLOTS_PER_SHARD;
    (0..1 << bits.min(MAX_SPLIT_BITS))
        .flat_map(move |part| (first..first + SLOTS_PER_SHARD).map(move |slot| slot + SLOTS * part))
}

/// The shard that one of the first 8,192 slots belongs to.
fn shard_of_slot(slot: u64) -> u8 {
    (slot / SLOTS_PER_SHARD) as u8
}

/// The slot table with the first `CANDIDATES` endpoints of each slot.
pub(crate) struct SlotTable<const CANDIDATES: usize> {
    endpoints: Vec<(EndpointId, f64)>,
    /// The rankings of the slots in use. A ranking is computed on first use after a change of the endpoints,
    /// since ranking all slots at each change would be expensive in a large fleet.
    rankings: HashMap<u64, [Option<EndpointId>; CANDIDATES]>,
    version: u64,
    shard_map: ShardMap,
}

impl<const CANDIDATES: usize> SlotTable<CANDIDATES> {
    pub fn new() -> SlotTable<CANDIDATES> {
        SlotTable {
            endpoints: Vec::new(),
            rankings: HashMap::new(),
            version: 0,
            shard_map: ShardMap::default(),
        }
    }

    /// Replaces the endpoints and their sizes. A change increments the table's version.
    pub fn set_endpoints(&mut self, endpoints: Vec<(EndpointId, f64)>) {
        if endpoints != self.endpoints {
            self.endpoints = endpoints;
            self.rankings.clear();
            self.version += 1;
        }
    }

    /// Applies a shard map if it is valid and newer than the present one. Slots keep their rankings, but keys
    /// may belong to other slots.
    pub fn set_shard_map(&mut self, shard_map: &ShardMap) {
        let is_valid = |split: &ShardSplit| {
            let migrating_bits = u8::from(split.migration != MigrationPhase::Stable);
            split.bits.saturating_add(migrating_bits) <= MAX_SPLIT_BITS
        };
        if shard_map.version > self.shard_map.version && shard_map.shards.values().all(is_valid) {
            self.shard_map = shard_map.clone();
            self.version += 1;
        }
    }

    /// The table's version, which changes whenever a key's candidates may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// The slot of a hash.
    pub fn slot(&self, hash: u64) -> u64 {
        let slot = hash % SLOTS;
        let Some(split) = self.shard_map.shards.get(&shard_of_slot(slot)) else { return slot };
        let has_migrated = match split.migration {
            MigrationPhase::Stable => false,
            // The hash bits from 32 on are independent of the bits that select the slot.
            MigrationPhase::Copying { sixteenths } => (hash >> 32) % 16 < u64::from(sixteenths),
            MigrationPhase::DualRead | MigrationPhase::Switched => true,
        };
        split_slot(hash, split.bits + u8::from(has_migrated))
    }

    /// The slot that a hash had before the migration of its shard, if dual reads are in progress and it is
    /// another slot.
    pub fn previous_slot(&self, hash: u64) -> Option<u64> {
        let split = self.shard_map.shards.get(&shard_of_slot(hash % SLOTS))?;
        if split.migration != MigrationPhase::DualRead {
            return None;
        }
        let previous = split_slot(hash, split.bits);
        (previous != split_slot(hash, split.bits + 1)).then_some(previous)
    }

    /// Stores the ranking of a slot that is in use.
    pub fn store_ranking(&mut self, slot: u64) {
        if !self.rankings.contains_key(&slot) {
            let ranking = self.ranks(slot);
            self.rankings.insert(slot, ranking);
        }
    }

    /// The first-ranked endpoints of a slot, in the order of their rank.
    pub fn ranks(&self, slot: u64) -> [Option<EndpointId>; CANDIDATES] {
        if let Some(ranking) = self.rankings.get(&slot) {
            return *ranking;
        }
        let mut best = [(f64::INFINITY, None); CANDIDATES];
        for (endpoint, size) in &self.endpoints {
            let score = -to_unit_interval(hash_of((slot, endpoint))).max(MIN_UNIT_HASH).ln() / size;
            let mut next = (score, Some(*endpoint));
            for place in &mut best {
                if next.0 < place.0 {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }
}

/// The slot of a hash whose shard is split by `bits` additional bits.
fn split_slot(hash: u64, bits: u8) -> u64 {
    hash % SLOTS + SLOTS * ((hash / SLOTS) & ((1 << bits) - 1))
}

#[cfg(test)]
mod tests;
