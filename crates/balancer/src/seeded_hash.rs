//! Deterministic hashes, and a random number generator that is based on them.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// A hash of the parts that is the same at every node of one build.
pub fn hash_of(parts: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(parts)
}

/// Maps a hash to a number from 0 to 1.
pub fn to_unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// A random number generator whose numbers are determined by its seed.
pub(crate) struct SeededRandom {
    seed: u64,
    draws: u64,
}

impl SeededRandom {
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom { seed, draws: 0 }
    }

    /// Returns the next random number, from 0 to 1.
    pub fn next_unit_float(&mut self) -> f64 {
        self.draws += 1;
        to_unit_interval(hash_of((self.seed, self.draws)))
    }
}
