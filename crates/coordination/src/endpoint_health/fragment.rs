//! Fragments of batches that are too long for one datagram. Each fragment can be interpreted alone.

use serde::{Deserialize, Serialize};

use super::error::HealthError;

/// The maximum number of endpoints in a fragment. An endpoint takes up to 22 bytes in a report and 16 in an
/// update, so this many fit into 1,100 bytes.
const ENDPOINTS_PER_FRAGMENT: usize = 46;
/// The maximum number of fragments in a batch: enough to name all endpoints that a planner tracks.
const MAX_FRAGMENTS: u8 = 64;

/// The place of a fragment in its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fragment {
    /// The index of the fragment, from 0.
    pub index: u8,
    /// The number of fragments in the batch.
    pub count: u8,
}

impl Fragment {
    /// The only fragment of a batch that fits into one datagram.
    pub const SINGLE: Fragment = Fragment { index: 0, count: 1 };

    /// Checks that the index and the count are in range.
    ///
    /// # Errors
    /// Returns [`HealthError::InvalidFragment`] if one of them is out of range.
    pub fn check(self) -> Result<(), HealthError> {
        if self.count > MAX_FRAGMENTS || self.index >= self.count {
            return Err(HealthError::InvalidFragment);
        }
        Ok(())
    }

    /// Splits a batch of items into fragments, and returns the message made from each. An empty batch has one
    /// fragment; items beyond the last possible fragment are dropped.
    pub fn split<T: Clone, M>(items: &[T], message: impl Fn(Fragment, Vec<T>) -> M) -> Vec<M> {
        if items.is_empty() {
            return vec![message(Fragment::SINGLE, Vec::new())];
        }
        let max_items = ENDPOINTS_PER_FRAGMENT * usize::from(MAX_FRAGMENTS);
        let items = &items[..items.len().min(max_items)];
        let count = items.len().div_ceil(ENDPOINTS_PER_FRAGMENT) as u8;
        let chunks = (0..count).zip(items.chunks(ENDPOINTS_PER_FRAGMENT));
        chunks.map(|(index, chunk)| message(Fragment { index, count }, chunk.to_vec())).collect()
    }
}

/// The fragments of one batch that were received, as a bit set by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedFragments(u64);

impl ReceivedFragments {
    fn bit(fragment: Fragment) -> u64 {
        1 << u32::from(fragment.index).min(u64::BITS - 1)
    }

    /// Whether the fragment was received.
    pub fn contains(self, fragment: Fragment) -> bool {
        self.0 & Self::bit(fragment) != 0
    }

    /// Records that the fragment was received, and returns whether it is new.
    pub fn insert(&mut self, fragment: Fragment) -> bool {
        let is_new = !self.contains(fragment);
        self.0 |= Self::bit(fragment);
        is_new
    }

    /// Whether all fragments of a batch of `count` fragments were received.
    pub fn is_complete(self, count: u8) -> bool {
        self.0.count_ones() >= u32::from(count)
    }
}
