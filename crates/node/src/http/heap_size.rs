//! The memory that allocations take.

/// The bytes that the allocator adds to each allocation.
const ALLOCATION_OVERHEAD: usize = 8;
/// Allocations are multiples of this size, in bytes.
const ALLOCATION_UNIT: usize = 16;
/// The smallest allocation, in bytes.
const MIN_ALLOCATION: usize = 32;

/// The memory in bytes that an allocation of this capacity takes, with what the allocator adds to it. A short text
/// takes several times its length.
pub(crate) fn allocation_bytes(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        capacity => (capacity + ALLOCATION_OVERHEAD).next_multiple_of(ALLOCATION_UNIT).max(MIN_ALLOCATION),
    }
}
