//! The work that the downstream side does in one turn of the event loop.
//!
//! Clients can send far more than the node handles in a turn. What a turn leaves is handled in the next ones, so
//! that endpoints, timers and clients that send little are not delayed by clients that send much.

/// The most input, in bytes, that is read in a turn from clients that send more than a usual request at once.
const MAX_BYTES: usize = 64 * 1024;
/// The most messages that are taken in a turn from clients that have sent more than was read.
const MAX_MESSAGES: usize = 512;

/// What is left of the work of a turn.
#[derive(Debug)]
pub(super) struct TurnBudget {
    bytes: usize,
    messages: usize,
}

impl Default for TurnBudget {
    fn default() -> TurnBudget {
        TurnBudget { bytes: MAX_BYTES, messages: MAX_MESSAGES }
    }
}

impl TurnBudget {
    /// Whether more than a usual request may be read from a client.
    pub(super) fn can_read(&self) -> bool {
        self.bytes > 0
    }

    /// Counts input that was read.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Counts a message that is taken, and returns whether it may be.
    pub(super) fn take_message(&mut self) -> bool {
        let may_take = self.messages > 0;
        self.messages = self.messages.saturating_sub(1);
        may_take
    }
}
