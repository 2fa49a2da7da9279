//! The slot table: which caches stand first in each slot, by a hash of both, stretched by size. Built alike wherever the
//! same caches and sizes are known, and few slots change when a cache comes or goes.
//!
//! Where a shard of slots is split, its keys are told apart by more bits of their hash: those whose bits are not all
//! zero stand in slots beyond the first 8,192, each of which has other candidates. Without a form there are none.

use std::collections::{BTreeSet, HashMap};

use crate::calls::{MigrationPhase, ShardMap, ShardSplit};
use crate::ids::{EndpointId, Key};
use crate::seeded_hash::{hash_of, unit};

/// Some tens for each of hundreds of caches: with five each, their parts would differ by 0.44 of the mean (one over the
/// root of five), with forty by 0.16.
const SLOTS: u64 = 8192;
/// Slots of one shard.
const SHARD: u64 = 32;
/// More bits than these would make more slots than are worth ranking.
const MOST_BITS: u8 = 3;

/// The shard that a key belongs to, whatever form the table has.
pub fn shard_of(key: Key) -> u8 {
    shard(hash_of(key) % SLOTS)
}

/// A hash of a key that is the same at every node of one build, to count distinct ones by.
pub fn key_hash(key: Key) -> u64 {
    hash_of(key)
}

/// The caches that come first in a shard's slots by so many more bits, of these with their sizes.
pub fn caches_of(shard: u8, bits: u8, caches: &[(EndpointId, f64)]) -> BTreeSet<EndpointId> {
    let mut table = SlotTable::<1>::new();
    table.renew(caches.to_vec());
    slots_of(shard, bits).filter_map(|slot| table.ranks(slot)[0]).collect()
}

/// The cache that comes first for a key in a form, and the one that a miss asks next while both places are read.
pub fn place_of(
    key: Key,
    form: &ShardMap,
    caches: &[(EndpointId, f64)],
) -> Option<(EndpointId, Option<EndpointId>)> {
    let mut table = SlotTable::<1>::new();
    table.renew(caches.to_vec());
    table.reform(form);
    let old = table.old_slot(hash_of(key)).and_then(|slot| table.ranks(slot)[0]);
    Some((table.ranks(table.slot(hash_of(key)))[0]?, old))
}

/// The slots that a shard has by so many more bits.
fn slots_of(shard: u8, bits: u8) -> impl Iterator<Item = u64> {
    let first = u64::from(shard) * SHARD;
    (0..1 << bits.min(MOST_BITS)).flat_map(move |part| (first..first + SHARD).map(move |s| s + SLOTS * part))
}

fn shard(slot: u64) -> u8 {
    (slot / SHARD) as u8
}

pub(crate) struct SlotTable<const PLACES: usize> {
    caches: Vec<(EndpointId, f64)>,
    /// Slots in use, of which there are no more than slots. Ranked when first used since the caches changed: ranking all at each change would cost a large fleet dearly.
    ranked: HashMap<u64, [Option<EndpointId>; PLACES]>,
    version: u64,
    form: ShardMap,
}

impl<const PLACES: usize> SlotTable<PLACES> {
    pub fn new() -> SlotTable<PLACES> {
        SlotTable { caches: Vec::new(), ranked: HashMap::new(), version: 0, form: ShardMap::default() }
    }

    /// Takes the caches that stand in it, with their sizes; a change makes a new version.
    pub fn renew(&mut self, caches: Vec<(EndpointId, f64)>) {
        if caches != self.caches {
            self.caches = caches;
            self.ranked.clear();
            self.version += 1;
        }
    }

    /// Takes a form that is newer than the one that is held. Slots keep their ranks; keys may stand in others.
    pub fn reform(&mut self, form: &ShardMap) {
        let sound =
            |s: &ShardSplit| s.bits.saturating_add(u8::from(s.moving != MigrationPhase::Stable)) <= MOST_BITS;
        if form.version > self.form.version && form.shards.values().all(sound) {
            self.form = form.clone();
            self.version += 1;
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many caches stand in it.
    pub fn len(&self) -> usize {
        self.caches.len()
    }

    /// The slot that a hash falls to.
    pub fn slot(&self, hash: u64) -> u64 {
        let slot = hash % SLOTS;
        let Some(split) = self.form.shards.get(&shard(slot)) else { return slot };
        let moved = match split.moving {
            MigrationPhase::Stable => false,
            // By other bits than those that tell the places apart.
            MigrationPhase::Copying { sixteenths } => (hash >> 32) % 16 < u64::from(sixteenths),
            MigrationPhase::DualRead | MigrationPhase::Switched => true,
        };
        part_of(hash, split.bits + u8::from(moved))
    }

    /// While both places of a split are read: the slot that the hash fell to before it, if that is another.
    pub fn old_slot(&self, hash: u64) -> Option<u64> {
        let split =
            self.form.shards.get(&shard(hash % SLOTS)).filter(|s| s.moving == MigrationPhase::DualRead)?;
        Some(part_of(hash, split.bits)).filter(|old| *old != part_of(hash, split.bits + 1))
    }

    /// Keeps the ranks of a slot that is in use.
    pub fn use_slot(&mut self, slot: u64) {
        if !self.ranked.contains_key(&slot) {
            let ranks = self.ranks(slot);
            self.ranked.insert(slot, ranks);
        }
    }

    /// The caches of highest rank in a slot, the first one first.
    pub fn ranks(&self, slot: u64) -> [Option<EndpointId>; PLACES] {
        if let Some(ranks) = self.ranked.get(&slot) {
            return *ranks;
        }
        let mut best = [(f64::INFINITY, None); PLACES];
        for (cache, size) in &self.caches {
            let mut next = (-unit(hash_of((slot, cache))).max(1e-18).ln() / size, Some(*cache));
            for place in best.iter_mut() {
                if next.0 < place.0 {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        best.map(|b| b.1)
    }
}

/// A hash's slot where its shard's keys are told apart by so many more bits.
fn part_of(hash: u64, bits: u8) -> u64 {
    hash % SLOTS + SLOTS * ((hash / SLOTS) & ((1 << bits) - 1))
}

#[cfg(test)]
mod tests;
