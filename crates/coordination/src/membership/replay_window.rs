//! The record of the messages of an incarnation that were accepted. Each message is accepted once, in
//! whatever order messages arrive.

use std::collections::BTreeSet;

/// The number of accepted messages that are remembered. Sequence numbers increase with each message of a
/// sender to any recipient, so two messages that arrive here one after the other may be hundreds apart. The
/// window is therefore counted in messages that arrived here, not in sequence numbers.
const CAPACITY: usize = 32;

/// The sequence numbers that were accepted last.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    accepted: BTreeSet<u64>,
    /// The greatest sequence number that was removed from the window. All numbers up to it count as accepted,
    /// so that no message is accepted twice; a new message that arrives this late is treated as lost.
    highest_evicted: Option<u64>,
}

/// The position of a sequence number relative to the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceStatus {
    /// The number was not accepted before.
    New,
    /// The number was accepted before.
    Duplicate,
    /// The number is below the window, so it is unknown whether it was accepted before.
    TooOld,
}

impl ReplayWindow {
    /// Returns the status of a sequence number, without a change to the window.
    pub fn status(&self, sequence: u64) -> SequenceStatus {
        if self.highest_evicted.is_some_and(|highest_evicted| sequence <= highest_evicted) {
            SequenceStatus::TooOld
        } else if self.accepted.contains(&sequence) {
            SequenceStatus::Duplicate
        } else {
            SequenceStatus::New
        }
    }

    /// Records that the message with this sequence number was accepted.
    pub fn insert(&mut self, sequence: u64) {
        self.accepted.insert(sequence);
        if self.accepted.len() > CAPACITY {
            self.highest_evicted = self.accepted.pop_first();
        }
    }
}
