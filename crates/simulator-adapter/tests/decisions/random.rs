//! Reproducible random numbers: equal seeds yield equal integers and floats on every machine, since no math
//! library is used.

/// Multiplier of the xorshift64* generator.
const MULTIPLIER: u64 = 0x2545_f491_4f6c_dd1d;
/// Multiplier that distributes small seeds over all bits.
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// A xorshift64* generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(SEED_SPREAD) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(MULTIPLIER)
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number from `low` up to, but not including, `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low)
    }

    /// Returns `true` with the probability `share`.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }
}
