//! Request coalescing (single flight): reads of a key that is being fetched from the origin wait for that fetch.

use std::collections::HashMap;

use crate::ids::{Key, RequestId};

struct Fetch {
    /// The request whose attempt fetches the key.
    leader: RequestId,
    /// The requests that wait for it.
    followers: Vec<RequestId>,
}

/// The keys that are being fetched from the origin.
#[derive(Default)]
pub(super) struct InFlightFetches {
    by_key: HashMap<Key, Fetch>,
}

impl InFlightFetches {
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Registers a request as the one that fetches the key, unless another one does already.
    pub fn start(&mut self, key: Key, leader: RequestId) {
        self.by_key.entry(key).or_insert(Fetch { leader, followers: Vec::new() });
    }

    /// Lets a request wait for another one's fetch of its key. Returns false if there is none.
    pub fn join(&mut self, key: Key, id: RequestId) -> bool {
        match self.by_key.get_mut(&key) {
            Some(fetch) if fetch.leader != id => {
                fetch.followers.push(id);
                true
            }
            _ => false,
        }
    }

    /// Ends the fetch of a key if this request leads it, and returns those that waited for it.
    pub fn finish(&mut self, key: Key, leader: RequestId) -> Vec<RequestId> {
        if self.by_key.get(&key).is_none_or(|fetch| fetch.leader != leader) {
            return Vec::new();
        }
        self.by_key.remove(&key).map(|fetch| fetch.followers).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
