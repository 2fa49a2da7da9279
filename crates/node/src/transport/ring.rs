//! The buffer of a connection's one direction.

use std::collections::VecDeque;

/// Holds nothing until it is used, grows as needed, and gives the memory back once it is empty.
#[derive(Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
}

/// What an empty ring may keep allocated: most messages fit, and a thousand of them are little.
const KEPT: usize = 2048;

impl Ring {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if bytes.len() > KEPT {
            // Whole bodies take their own size: doubled, a thousand of them would not fit in memory.
            self.bytes.reserve_exact(bytes.len());
        }
        self.bytes.extend(bytes);
    }

    /// The first stretch that lies together.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    pub fn clear(&mut self) {
        self.bytes = VecDeque::new();
    }

    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = VecDeque::new();
        }
    }

    /// Moves up to `most` bytes to the end of `to`, and says how many.
    pub fn move_to(&mut self, to: &mut Vec<u8>, most: usize) -> usize {
        let count = most.min(self.bytes.len());
        let (first, second) = self.bytes.as_slices();
        let in_first = count.min(first.len());
        to.extend_from_slice(&first[..in_first]);
        to.extend_from_slice(&second[..count - in_first]);
        self.consume(count);
        count
    }

    /// Where this byte first stands at or after `from`.
    pub fn find(&self, byte: u8, from: usize) -> Option<usize> {
        let (first, second) = self.bytes.as_slices();
        let in_first = first.get(from..).and_then(|s| s.iter().position(|b| *b == byte)).map(|n| from + n);
        in_first.or_else(|| {
            let from = from.saturating_sub(first.len());
            let found = second.get(from..)?.iter().position(|b| *b == byte)?;
            Some(first.len() + from + found)
        })
    }
}
