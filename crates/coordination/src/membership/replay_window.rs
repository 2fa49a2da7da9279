//! Which messages of an incarnation were accepted: each is accepted once, in whatever order they arrive.

use std::collections::BTreeSet;

/// The number of accepted messages that are remembered. Sequence numbers rise with each message of a sender, whoever the
/// recipient is, so two that arrive here in a row may be hundreds apart. The window is therefore counted in messages
/// that arrived here, not in sequence numbers.
const CAPACITY: usize = 32;

/// The sequence numbers that were accepted last.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    accepted: BTreeSet<u64>,
    /// The greatest sequence number that was dropped from the window. Everything up to it counts as accepted, so that
    /// nothing is accepted twice; a message that arrives this late is treated as lost.
    floor: Option<u64>,
}

/// Where a sequence number stands relative to the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceStatus {
    /// Not seen before.
    New,
    /// Accepted before.
    Duplicate,
    /// Below the window.
    TooOld,
}

impl ReplayWindow {
    /// The status of a sequence number; it does not change the window.
    pub fn status(&self, sequence: u64) -> SequenceStatus {
        if self.floor.is_some_and(|floor| sequence <= floor) {
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
            self.floor = self.accepted.pop_first();
        }
    }
}
