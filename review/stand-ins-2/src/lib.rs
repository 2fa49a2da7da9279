//! Stand-ins for the cases 6 to 10: clients, cache servers, the origin and discovery, as the protocol page
//! describes them, and the start of the project's own programs by the commands of the deploy file.
//!
//! Only the standard library is used. Everything listens on loopback addresses, at ports that the system
//! chooses.

pub mod client;
pub mod discovery;
pub mod http;
pub mod process;
pub mod record;
pub mod server;

use std::hash::{DefaultHasher, Hash, Hasher};

/// A small seeded generator of random numbers (xorshift), so that a run can be repeated.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        Random(hasher.finish() | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}

/// A number from 0 to 1 that depends on the text alone.
pub fn hash_share(text: &str, salt: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (text, salt).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// Whether the disruption is played: with `TROUBLE=0` it is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
