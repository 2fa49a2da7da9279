//! The keys that a cache server stores. The least recently used keys are evicted first.

use std::collections::{BTreeMap, HashMap};

use granitelb_balancer::ids::Key;

/// A set of keys with a maximum size. Invariant: `last_used` and `by_last_use` hold the same entries.
pub struct KeyCache {
    capacity: usize,
    last_used: HashMap<Key, u64>,
    by_last_use: BTreeMap<u64, Key>,
    /// The number of uses so far, which is the unique, increasing number of the last use.
    use_count: u64,
}

impl KeyCache {
    /// Returns an empty cache for at most this many keys.
    pub fn new(capacity: usize) -> KeyCache {
        KeyCache { capacity, last_used: HashMap::new(), by_last_use: BTreeMap::new(), use_count: 0 }
    }

    /// Returns the number of keys that the cache can store.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns whether the key is stored. A lookup counts as a use.
    pub fn lookup(&mut self, key: Key) -> bool {
        let is_stored = self.last_used.contains_key(&key);
        if is_stored {
            self.store(key);
        }
        is_stored
    }

    /// Stores the key as the most recently used key, and evicts the least recently used keys beyond the
    /// capacity.
    pub fn store(&mut self, key: Key) {
        self.use_count += 1;
        if let Some(previous_use) = self.last_used.insert(key, self.use_count) {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_count, key);
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.last_used.remove(&oldest);
        }
    }

    /// Removes the key, if it is stored.
    pub fn invalidate(&mut self, key: Key) {
        if let Some(last_use) = self.last_used.remove(&key) {
            self.by_last_use.remove(&last_use);
        }
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }
}
