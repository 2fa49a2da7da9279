//! Estimates the number of distinct keys with a HyperLogLog sketch (Flajolet, Fusy, Gandouet and Meunier,
//! 2007), and with linear counting while few registers are set.
//!
//! Invariant: the value of a register only rises, and merging takes the greater value of each register.
//! Merging is therefore idempotent and commutative, and messages may be lost, duplicated or reordered.

/// The number of bits of a key's hash that select a register.
const REGISTER_INDEX_BITS: u32 = 10;

/// The number of registers. The standard error of the estimate is 1.04 divided by the square root of this
/// number: 3.25%.
pub const REGISTER_COUNT: usize = 1 << REGISTER_INDEX_BITS;

/// The highest value of a register: one more than the number of hash bits that do not select the register.
const MAX_REGISTER_VALUE: u8 = (64 - REGISTER_INDEX_BITS + 1) as u8;

/// The number of keys per register up to which linear counting is the more accurate estimate, if a register
/// is empty.
const LINEAR_COUNTING_LIMIT: f64 = 2.5;

/// A HyperLogLog sketch of distinct keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistinctCounter {
    registers: Box<[u8; REGISTER_COUNT]>,
}

impl Default for DistinctCounter {
    fn default() -> DistinctCounter {
        DistinctCounter { registers: Box::new([0; REGISTER_COUNT]) }
    }
}

impl DistinctCounter {
    /// Counts a key by its hash, and returns the register whose value rose, if any.
    pub fn add(&mut self, hash: u64) -> Option<u16> {
        // Keys of one shard share the low hash bits, which select the slots, so the hash is mixed again.
        let hash = murmur3_finalizer(hash);
        let register = (hash >> (64 - REGISTER_INDEX_BITS)) as u16;
        let leading_zeros = (hash << REGISTER_INDEX_BITS).leading_zeros().min(64 - REGISTER_INDEX_BITS);
        let value = leading_zeros as u8 + 1;
        self.raise(register, value).then_some(register)
    }

    /// Raises a register to `value` if `value` is higher, and returns whether the register rose. Ignores a
    /// register or value out of range.
    pub fn raise(&mut self, register: u16, value: u8) -> bool {
        let Some(current) = self.registers.get_mut(usize::from(register)) else { return false };
        let rises = *current < value && value <= MAX_REGISTER_VALUE;
        if rises {
            *current = value;
        }
        rises
    }

    /// Adds all keys that `other` counted.
    pub fn merge(&mut self, other: &DistinctCounter) {
        for (own, others) in self.registers.iter_mut().zip(other.registers.iter()) {
            *own = (*own).max(*others);
        }
    }

    /// The value of a register; 0 if no register has this index.
    pub fn register(&self, register: u16) -> u8 {
        self.registers.get(usize::from(register)).copied().unwrap_or(0)
    }

    /// The estimated number of distinct keys.
    pub fn count(&self) -> f64 {
        let registers = REGISTER_COUNT as f64;
        let empty = self.registers.iter().filter(|value| **value == 0).count() as f64;
        let bias_correction = 0.7213 / (1.0 + 1.079 / registers);
        let raw = bias_correction * registers * registers
            / self.registers.iter().map(|value| (-f64::from(*value)).exp2()).sum::<f64>();
        if raw <= LINEAR_COUNTING_LIMIT * registers && empty > 0.0 {
            registers * (registers / empty).ln()
        } else {
            raw
        }
    }
}

/// The 64-bit finalizer of MurmurHash3.
fn murmur3_finalizer(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
