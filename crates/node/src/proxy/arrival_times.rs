//! Records when the bytes of a client's input arrived.
//!
//! A request's time budget counts from the arrival of its last byte, also while the request waits behind
//! another one on its connection.
//!
//! Invariant: arrivals are in the order of the bytes, the newest last. Arrivals of consumed bytes are removed
//! when a later request is read.

use std::collections::VecDeque;

use granitelb_balancer::time::{Span, Time};

/// Bytes that arrive within this time after an arrival count as part of that arrival, with its time. This
/// bounds the number of arrivals where bytes trickle in while a request is in progress.
const MERGE_INTERVAL: Span = Span::from_millis(10);

/// Consecutive bytes of the input with one arrival time.
struct Arrival {
    /// The offset of the end of these bytes, from the first byte of the connection.
    end_offset: u64,
    arrived_at: Time,
}

/// The arrival times of the bytes of one connection.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
    received_bytes: u64,
}

impl ArrivalTimes {
    /// Records the arrival of more bytes.
    pub(super) fn record(&mut self, bytes: usize, now: Time) {
        if bytes == 0 {
            return;
        }
        self.received_bytes += bytes as u64;
        match self.arrivals.back_mut() {
            Some(last) if now - last.arrived_at < MERGE_INTERVAL => last.end_offset = self.received_bytes,
            _ => self.arrivals.push_back(Arrival { end_offset: self.received_bytes, arrived_at: now }),
        }
    }

    /// Returns when the last consumed byte arrived, where `unconsumed` bytes of the input are left; `None`
    /// where that time is unknown.
    pub(super) fn of_last_consumed(&mut self, unconsumed: usize) -> Option<Time> {
        let consumed = self.received_bytes.saturating_sub(unconsumed as u64);
        while self.arrivals.front().is_some_and(|arrival| arrival.end_offset < consumed) {
            self.arrivals.pop_front();
        }
        let arrived_at = self.arrivals.front()?.arrived_at;
        if unconsumed == 0 {
            // The bytes that arrive next belong to another request and must not get the earlier time.
            self.arrivals.clear();
        }
        Some(arrived_at)
    }
}
