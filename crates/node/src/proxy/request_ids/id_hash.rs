//! Hashes that stand for identifiers, and tables of them.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, Hasher};

use crate::proxy::client_request_id::ClientRequestId;

/// The hash of an identifier by a key of the process, so that clients can't choose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdHash(pub(super) u64);

/// A set of hashes.
pub(super) type IdHashSet = HashSet<IdHash, BuildHasherDefault<IdentityHasher>>;
/// A map by hashes.
pub(super) type IdHashMap<V> = HashMap<IdHash, V, BuildHasherDefault<IdentityHasher>>;

/// Hashes identifiers by the key of this process.
#[derive(Default)]
pub(super) struct IdHasher {
    key: RandomState,
}

impl IdHasher {
    /// The hash of an identifier.
    pub(super) fn hash(&self, id: &ClientRequestId) -> IdHash {
        IdHash(self.key.hash_one(id))
    }
}

/// Takes a number that is a hash already for its hash.
#[derive(Default)]
pub(super) struct IdentityHasher {
    hash: u64,
}

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.hash
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = self.hash.rotate_left(u8::BITS) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.hash = hash;
    }
}
