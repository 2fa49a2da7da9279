//! Records when the bytes of a client's input arrived.
//!
//! The time of a request counts from the arrival of its last byte, also while it waits behind another request
//! on its connection.
//!
//! Invariant: marks are in the order of the bytes, the newest last, and there are none for bytes that were
//! consumed long ago.

use std::collections::VecDeque;

use granitelb_balancer::time::{Span, Time};

/// Bytes that arrive within this time after others share their mark, with the earlier time. This bounds the
/// number of marks where bytes trickle in while a request is in progress.
const MARK_INTERVAL: Span = Span::from_millis(10);

/// The bytes of the input up to an offset, and when they arrived.
struct Mark {
    /// Counted from the first byte of the connection.
    end_offset: u64,
    arrived_at: Time,
}

/// The arrival times of the bytes of one connection.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    marks: VecDeque<Mark>,
    received_bytes: u64,
}

impl ArrivalTimes {
    /// Records the arrival of more bytes.
    pub(super) fn record(&mut self, bytes: usize, now: Time) {
        if bytes == 0 {
            return;
        }
        self.received_bytes += bytes as u64;
        match self.marks.back_mut() {
            Some(mark) if now - mark.arrived_at < MARK_INTERVAL => mark.end_offset = self.received_bytes,
            _ => self.marks.push_back(Mark { end_offset: self.received_bytes, arrived_at: now }),
        }
    }

    /// When the last consumed byte arrived, with `unconsumed` bytes left; `None` where that is unknown.
    pub(super) fn of_last_consumed(&mut self, unconsumed: usize) -> Option<Time> {
        let consumed = self.received_bytes.saturating_sub(unconsumed as u64);
        while self.marks.front().is_some_and(|mark| mark.end_offset < consumed) {
            self.marks.pop_front();
        }
        let arrived_at = self.marks.front()?.arrived_at;
        if unconsumed == 0 {
            // Bytes that arrive next do so on their own and share no mark with consumed ones.
            self.marks.clear();
        }
        Some(arrived_at)
    }
}
