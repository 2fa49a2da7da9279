//! The byte buffer of one direction of a connection.

use std::collections::VecDeque;

/// Largest capacity that a buffer retains whatever it contains, in bytes. Most messages fit into this capacity,
/// and a thousand such buffers need little memory.
const RETAINED_CAPACITY: usize = 512;
/// A larger capacity is released as soon as the bytes take less than this part of it.
const LEAST_USED_PART: usize = 4;

/// A first-in, first-out byte buffer.
///
/// The buffer allocates no memory before its first use, grows as needed, and releases most of a large allocation
/// when few bytes are left.
#[derive(Default)]
pub struct RingBuffer {
    bytes: VecDeque<u8>,
}

impl RingBuffer {
    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no byte is buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The allocated memory, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if bytes.len() > RETAINED_CAPACITY {
            // Large bodies get an allocation of their exact size: with doubling, a thousand buffers would
            // exceed the memory limit.
            self.bytes.reserve_exact(bytes.len());
        }
        self.bytes.extend(bytes);
    }

    /// The first contiguous slice of the buffered bytes. It is empty only if the buffer is empty.
    pub fn first_slice(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Removes all bytes and releases the allocation.
    pub fn clear(&mut self) {
        self.bytes = VecDeque::new();
    }

    /// Removes the first `count` bytes.
    ///
    /// # Panics
    ///
    /// Panics if fewer than `count` bytes are buffered.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        let is_mostly_unused = self.bytes.len() < self.bytes.capacity() / LEAST_USED_PART;
        if is_mostly_unused && self.bytes.capacity() > RETAINED_CAPACITY {
            self.bytes.shrink_to_fit();
        }
    }

    /// Moves up to `max` bytes to the end of `target`, and returns the number of moved bytes.
    pub fn drain_into(&mut self, target: &mut Vec<u8>, max: usize) -> usize {
        let count = max.min(self.bytes.len());
        let (first, second) = self.bytes.as_slices();
        let from_first = count.min(first.len());
        target.extend_from_slice(&first[..from_first]);
        target.extend_from_slice(&second[..count - from_first]);
        self.consume(count);
        count
    }

    /// The index of the first occurrence of `byte` at or after index `from`.
    pub fn find(&self, byte: u8, from: usize) -> Option<usize> {
        let (first, second) = self.bytes.as_slices();
        if let Some(searched) = first.get(from..)
            && let Some(offset) = searched.iter().position(|b| *b == byte)
        {
            return Some(from + offset);
        }
        let from_in_second = from.saturating_sub(first.len());
        let offset = second.get(from_in_second..)?.iter().position(|b| *b == byte)?;
        Some(first.len() + from_in_second + offset)
    }
}
