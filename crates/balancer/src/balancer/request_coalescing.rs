//! Request coalescing (single flight): a read of a key that is being fetched from the origin waits for that
//! fetch instead of starting another one.

use std::collections::HashMap;

use crate::ids::{Key, RequestId};

/// A fetch of one key from the origin.
struct Fetch {
    /// The request whose attempt fetches the key.
    leader: RequestId,
    /// The requests that wait for the fetch.
    followers: Vec<RequestId>,
}

/// The keys that are being fetched from the origin.
#[derive(Default)]
pub(super) struct InFlightFetches {
    fetches: HashMap<Key, Fetch>,
}

impl InFlightFetches {
    pub fn len(&self) -> usize {
        self.fetches.len()
    }

    /// Registers a request as the leader of a key's fetch, unless another request already leads one.
    pub fn start(&mut self, key: Key, leader: RequestId) {
        self.fetches.entry(key).or_insert(Fetch { leader, followers: Vec::new() });
    }

    /// Makes a request wait for another request's fetch of the key. Returns false if there is no such fetch.
    pub fn join(&mut self, key: Key, id: RequestId) -> bool {
        match self.fetches.get_mut(&key) {
            Some(fetch) if fetch.leader != id => {
                fetch.followers.push(id);
                true
            }
            _ => false,
        }
    }

    /// Ends the fetch of a key if this request leads it, and returns the requests that waited for the fetch.
    pub fn finish(&mut self, key: Key, leader: RequestId) -> Vec<RequestId> {
        if self.fetches.get(&key).is_none_or(|fetch| fetch.leader != leader) {
            return Vec::new();
        }
        self.fetches.remove(&key).map(|fetch| fetch.followers).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
