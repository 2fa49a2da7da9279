//! Numbers that look drawn and are the same wherever they are asked for.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// A hash that is the same at every node of one build.
pub fn hash_of(parts: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(parts)
}

/// A hash as a number from 0 to 1.
pub fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
