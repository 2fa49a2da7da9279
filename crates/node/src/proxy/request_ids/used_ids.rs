//! The identifiers of requests that are over, as far as memory allows.

use super::id_hash::{IdHash, IdHashSet};

/// The share of the memory limit that remembered identifiers may take.
const MEMORY_DIVISOR: usize = 16;
const GENERATIONS: usize = 2;
/// The memory that a generation takes for each slot of its table, in bytes: a hash and a control byte.
const BYTES_PER_SLOT: usize = size_of::<IdHash>() + 1;
const MIN_SLOTS: usize = 1 << 12;
const MAX_SLOTS: usize = 1 << 17;

/// A set of identifiers, by their hashes, that forgets the oldest ones.
///
/// There are two generations. Identifiers are added to the younger one; once it is full, the older one is forgotten
/// and the younger one takes its place. Unlike in a queue, no identifier is removed by itself, so that an insertion
/// never has to rebuild a table.
///
/// Invariant: the last [`UsedIds::capacity`] identifiers that were added are contained.
pub(super) struct UsedIds {
    younger: IdHashSet,
    older: IdHashSet,
    /// The number of identifiers of a generation.
    capacity: usize,
}

impl Default for UsedIds {
    fn default() -> UsedIds {
        UsedIds {
            younger: IdHashSet::default(),
            older: IdHashSet::default(),
            capacity: capacity_of(MIN_SLOTS),
        }
    }
}

impl UsedIds {
    /// Sets the memory limit of the node, in bytes, from which the capacity is derived. A generation that is larger
    /// than a lower limit allows is kept until it is forgotten.
    pub(super) fn set_memory(&mut self, bytes: usize) {
        let slots = (bytes / MEMORY_DIVISOR / GENERATIONS / BYTES_PER_SLOT).clamp(MIN_SLOTS, MAX_SLOTS);
        // A table has a power of two of slots.
        self.capacity = capacity_of((slots + 1).next_power_of_two() / 2);
        self.younger.reserve(self.capacity.saturating_sub(self.younger.len()));
    }

    /// How many identifiers are remembered at least.
    #[cfg(test)]
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether the identifier with this hash was added and is not forgotten.
    pub(super) fn contains(&self, id_hash: IdHash) -> bool {
        self.younger.contains(&id_hash) || self.older.contains(&id_hash)
    }

    /// Adds the identifier with this hash.
    pub(super) fn insert(&mut self, id_hash: IdHash) {
        if self.younger.len() >= self.capacity {
            self.forget_older();
        }
        self.younger.insert(id_hash);
    }

    fn forget_older(&mut self) {
        std::mem::swap(&mut self.younger, &mut self.older);
        self.younger.clear();
        if self.younger.capacity() != self.capacity {
            self.younger = IdHashSet::with_capacity_and_hasher(self.capacity, Default::default());
        }
    }
}

/// How many entries a table with this many slots holds before it grows.
fn capacity_of(slots: usize) -> usize {
    slots / 8 * 7
}
